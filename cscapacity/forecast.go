package cscapacity

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Delays of the actions before the first one has been measured, and the rules of their use.
const (
	throttleDelay   = 500 * time.Millisecond
	checkpointDelay = time.Second
	spareDelay      = 5 * time.Second
	lendDelay       = 8 * time.Second
	// worthFactor is the time for which an action must be useful, in multiples of its delay. A move takes its VM out of
	// service for as long as its delay, so one that helps for a shorter time costs more than it gives.
	worthFactor = 2
	// holdFactor is the time for which a shortage must have been absent before an action is reversed, in multiples of the
	// delay of the action.
	holdFactor = 2
	// restartLoss is the work that a checkpointed task loses, as a time at full speed.
	restartLoss = time.Second
	// settleTime is the time between two corrections of the division of spare VMs.
	settleTime = time.Minute
	// headroom is the part of the demand that is kept free above it.
	headroom = 0.2
)

// Forecast expects the recent bursts to come back and uses the fastest action that covers the expected shortage. The zero
// value is ready for use.
type Forecast struct {
	pools  map[csmodel.PoolID]*outlook
	delays delays
}

// outlook is what the policy knows about a pool.
type outlook struct {
	rates
	yielding time.Time // last time at which deferred work had to give way
	yield    float64
	wanted   time.Time // last time at which the borrowed VMs were needed
	missing  int       // VMs
}

// Step handles the loads of all pools.
func (f *Forecast) Step(now time.Time, loads []Load) Plan {
	f.follow(now, loads)
	var plan Plan
	for _, l := range loads {
		if !l.Spare {
			plan.Shares = append(plan.Shares, f.share(now, l))
		}
	}
	plan.Moves = f.moves(now, loads)
	f.delays.started(now, plan.Moves)
	return plan
}

// follow updates the forecasts and forgets pools that no longer exist.
func (f *Forecast) follow(now time.Time, loads []Load) {
	old := f.pools
	f.pools = make(map[csmodel.PoolID]*outlook, len(loads))
	for _, l := range loads {
		o, ok := old[l.Pool]
		if !ok {
			o = &outlook{wanted: now}
		}
		o.observe(now, l)
		f.pools[l.Pool] = o
	}
	f.delays.observe(now, loads)
}

// share decides how much of a pool deferred tasks may use. Throttling is fast enough to wait for the burst itself, so only
// the present demand is reserved between bursts.
func (f *Forecast) share(now time.Time, l Load) Share {
	o := f.pools[l.Pool]
	need := o.demand(l)
	if o.bursting && !l.Late {
		need = max(need, o.peak)
	}
	reserved := min(float64(l.Slots), math.Ceil(need*(1+headroom)))
	s := Share{Pool: l.Pool, Reserved: int(reserved)}
	excess := min(need, float64(l.Slots)) + l.Deferred - float64(l.Slots)
	switch {
	case excess > 0:
		o.yielding = now
		o.yield = max(o.yield, excess)
	case now.Sub(o.yielding) >= holdFactor*throttleDelay:
		o.yield = 0
	}
	s.Yield = min(o.yield, l.Deferred)
	s.Checkpoint = s.Yield > 0 && o.remaining(now) > worthFactor*(checkpointDelay+restartLoss).Seconds()
	return s
}

// moves decides about VMs. Spare VMs are divided among the pools in proportion to the shortage that their recurring bursts
// cause, and stay there between bursts, where deferred tasks use them. Pools lend to each other only for a shortage that
// lasts.
func (f *Forecast) moves(now time.Time, loads []Load) []Move {
	allowed := f.divide(now, loads)
	market := newMarket(loads)
	var moves []Move
	for i, l := range loads {
		if l.Spare {
			continue
		}
		o := f.pools[l.Pool]
		has := l.borrowed() + l.arriving()
		borrowed := market.borrow(l, allowed[i]-has, true, nil)
		lasting := o.remaining(now) > worthFactor*f.delays.of(false).Seconds()
		if lasting {
			missing := o.missing - has - taken(l, borrowed)
			borrowed = append(borrowed, market.borrow(l, missing, false, f.idle(now))...)
		}
		moves = append(moves, borrowed...)
		moves = append(moves, f.giveBack(now, l, allowed[i])...)
	}
	return moves
}

// divide returns the number of borrowed VMs that each pool should have.
func (f *Forecast) divide(now time.Time, loads []Load) []int {
	allowed := make([]int, len(loads))
	total := 0
	sum := 0
	for i, l := range loads {
		if l.Spare {
			total += l.Lendable
			continue
		}
		total += l.borrowed() + l.arriving()
		o := f.pools[l.Pool]
		o.missing = f.missing(now, l, o)
		allowed[i] = o.missing
		sum += o.missing
	}
	if sum <= total {
		return allowed
	}
	// The largest shortages get the remainder, so that the division does not depend on the order of the pools alone.
	left := total
	for i := range allowed {
		allowed[i] = allowed[i] * total / sum
		left -= allowed[i]
	}
	for ; left > 0; left-- {
		best := -1
		for i, l := range loads {
			if !l.Spare && (best < 0 || f.lacks(loads[i], allowed[i]) > f.lacks(loads[best], allowed[best])) {
				best = i
			}
		}
		allowed[best]++
	}
	return allowed
}

func (f *Forecast) lacks(l Load, allowed int) int { return f.pools[l.Pool].missing - allowed }

// missing is the number of VMs that a pool lacks at the expected peak: the one of recurring bursts, or the present one
// where it lasts long enough for a move.
func (f *Forecast) missing(now time.Time, l Load, o *outlook) int {
	own := l.VMs - l.borrowed()
	if own <= 0 || l.Slots == 0 {
		return 0
	}
	need := 0.0
	if o.recurring(now) {
		need = o.peak
	}
	if o.remaining(now) > worthFactor*f.delays.of(true).Seconds() {
		need = max(need, o.demand(l), o.top)
	}
	return max(0, int(math.Ceil(need/l.perVM()))-own)
}

// idle tells how many VMs a pool can lend: those that it needs neither now nor in its next burst. A pool whose deferred
// tasks are late lends nothing.
func (f *Forecast) idle(now time.Time) func(Load) int {
	return func(l Load) int {
		o := f.pools[l.Pool]
		if l.Late || o.bursting || l.VMs == 0 || l.Slots == 0 {
			return 0
		}
		need := o.demand(l) * (1 + headroom)
		if o.recurring(now) {
			need = max(need, o.peak)
		}
		return l.VMs - max(1, int(math.Ceil((need+l.Deferred)/l.perVM())))
	}
}

// giveBack returns VMs after the shortage has been absent for the hold time. A single VM too many stays until the pool
// needs none, because the division of the spare VMs follows peaks that vary.
func (f *Forecast) giveBack(now time.Time, l Load, allowed int) []Move {
	o := f.pools[l.Pool]
	surplus := l.borrowed() - allowed
	hold := holdFactor * f.delays.of(false)
	if allowed > 0 {
		hold = settleTime
	}
	if surplus <= 0 || allowed > 0 && surplus < 2 {
		o.wanted = now
		return nil
	}
	if now.Sub(o.wanted) < hold {
		return nil
	}
	return l.giveBack(surplus)
}
