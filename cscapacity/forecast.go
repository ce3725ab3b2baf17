package cscapacity

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Delays of the actions and the rules for their use. The delays of moves are used until the first one has completed.
const (
	throttleDelay         = 500 * time.Millisecond
	checkpointDelay       = time.Second
	initialSpareMoveDelay = 5 * time.Second
	initialLendMoveDelay  = 8 * time.Second
	// minBenefitFactor is the shortest time for which an action must help, in multiples of its delay. A move takes its
	// VM out of service for its delay, so a move that helps for less time costs more capacity than it adds.
	minBenefitFactor = 2
	// holdFactor is the time without a shortage after which an action is reversed, in multiples of the delay of the
	// action.
	holdFactor = 2
	// checkpointWorkLoss is the work that a task loses by a checkpoint and restart, as a time at full speed.
	checkpointWorkLoss = time.Second
	// rebalanceInterval is the time between two corrections of the division of spare VMs among the pools.
	rebalanceInterval = time.Minute
	// headroomFraction is the capacity that is kept free above the demand, as a fraction of it.
	headroomFraction = 0.2
)

// Forecast expects recent bursts to recur and uses the fastest action that covers the expected shortage. The zero value
// is ready for use.
type Forecast struct {
	pools  map[csmodel.PoolID]*poolState
	delays moveDelays
}

// poolState is the forecast of a pool and the state of its actions.
type poolState struct {
	demandForecast
	lastYield  time.Time // last time at which deferred work had to yield
	yieldSlots float64
	lastNeeded time.Time // last time at which the borrowed VMs were needed
	shortage   int       // VMs
}

// Step returns the plan for the loads of all pools.
func (f *Forecast) Step(now time.Time, loads []Load) Plan {
	f.updatePools(now, loads)
	var plan Plan
	for _, l := range loads {
		if !l.Spare {
			plan.DeferredLimits = append(plan.DeferredLimits, f.deferredLimit(now, l))
		}
	}
	plan.Moves = f.moves(now, loads)
	f.delays.track(now, plan.Moves)
	return plan
}

// updatePools updates the forecasts and drops pools that no longer exist.
func (f *Forecast) updatePools(now time.Time, loads []Load) {
	old := f.pools
	f.pools = make(map[csmodel.PoolID]*poolState, len(loads))
	for _, l := range loads {
		o, ok := old[l.Pool]
		if !ok {
			o = &poolState{lastNeeded: now}
		}
		o.observe(now, l)
		f.pools[l.Pool] = o
	}
	f.delays.observe(now, loads)
}

// deferredLimit decides how much of a pool deferred tasks may use. Throttling is fast enough to start when the burst does, so
// only the present demand is reserved between bursts.
func (f *Forecast) deferredLimit(now time.Time, l Load) DeferredLimit {
	o := f.pools[l.Pool]
	need := o.demand(l)
	if o.bursting && !l.Late {
		need = max(need, o.expectedPeak)
	}
	reserved := min(float64(l.Slots), math.Ceil(need*(1+headroomFraction)))
	s := DeferredLimit{Pool: l.Pool, Reserved: int(reserved)}
	excess := min(need, float64(l.Slots)) + l.Deferred - float64(l.Slots)
	switch {
	case excess > 0:
		o.lastYield = now
		o.yieldSlots = max(o.yieldSlots, excess)
	case now.Sub(o.lastYield) >= holdFactor*throttleDelay:
		o.yieldSlots = 0
	}
	s.Yield = min(o.yieldSlots, l.Deferred)
	s.Checkpoint = s.Yield > 0 && o.remainingSeconds(now) > minBenefitFactor*(checkpointDelay+checkpointWorkLoss).Seconds()
	return s
}

// moves returns the wanted moves. Spare VMs are divided among the pools in proportion to the shortage that their
// recurring bursts cause, and stay there between bursts, where deferred tasks use them. Pools lend to each other only
// for a shortage that lasts.
func (f *Forecast) moves(now time.Time, loads []Load) []Move {
	allowed := f.divideSpareVMs(now, loads)
	allocator := newVMAllocator(loads)
	var moves []Move
	for i, l := range loads {
		if l.Spare {
			continue
		}
		o := f.pools[l.Pool]
		has := l.borrowedVMs() + l.arrivingVMs()
		borrowed := allocator.borrow(l, allowed[i]-has, true, nil)
		lasting := o.remainingSeconds(now) > minBenefitFactor*f.delays.mean(false).Seconds()
		if lasting {
			missing := o.shortage - has - additionalVMs(l, borrowed)
			borrowed = append(borrowed, allocator.borrow(l, missing, false, f.idleVMs(now))...)
		}
		moves = append(moves, borrowed...)
		moves = append(moves, f.returnVMs(now, l, allowed[i])...)
	}
	return moves
}

// divideSpareVMs returns the number of borrowed VMs that each pool should have.
func (f *Forecast) divideSpareVMs(now time.Time, loads []Load) []int {
	allowed := make([]int, len(loads))
	total := 0
	sum := 0
	for i, l := range loads {
		if l.Spare {
			total += l.Lendable
			continue
		}
		total += l.borrowedVMs() + l.arrivingVMs()
		o := f.pools[l.Pool]
		o.shortage = f.expectedShortage(now, l, o)
		allowed[i] = o.shortage
		sum += o.shortage
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
			if !l.Spare && (best < 0 || f.uncovered(loads[i], allowed[i]) > f.uncovered(loads[best], allowed[best])) {
				best = i
			}
		}
		allowed[best]++
	}
	return allowed
}

func (f *Forecast) uncovered(l Load, allowed int) int { return f.pools[l.Pool].shortage - allowed }

// expectedShortage returns the number of VMs that a pool lacks at the expected peak: that of recurring bursts, or that
// of the present burst if it lasts long enough for a move.
func (f *Forecast) expectedShortage(now time.Time, l Load, o *poolState) int {
	own := l.VMs - l.borrowedVMs()
	if own <= 0 || l.Slots == 0 {
		return 0
	}
	need := 0.0
	if o.recurring(now) {
		need = o.expectedPeak
	}
	if o.remainingSeconds(now) > minBenefitFactor*f.delays.mean(true).Seconds() {
		need = max(need, o.demand(l), o.currentPeak)
	}
	return max(0, int(math.Ceil(need/l.slotsPerVM()))-own)
}

// idleVMs returns a function for the number of VMs that a pool can lend: those that it needs neither now nor in its
// next burst. A pool whose deferred tasks are late lends nothing.
func (f *Forecast) idleVMs(now time.Time) func(Load) int {
	return func(l Load) int {
		o := f.pools[l.Pool]
		if l.Late || o.bursting || l.VMs == 0 || l.Slots == 0 {
			return 0
		}
		need := o.demand(l) * (1 + headroomFraction)
		if o.recurring(now) {
			need = max(need, o.expectedPeak)
		}
		return l.VMs - max(1, int(math.Ceil((need+l.Deferred)/l.slotsPerVM())))
	}
}

// returnVMs returns borrowed VMs when there has been no shortage for the hold time. A single surplus VM stays until the
// pool needs none, because the division of the spare VMs follows peaks that vary.
func (f *Forecast) returnVMs(now time.Time, l Load, allowed int) []Move {
	o := f.pools[l.Pool]
	surplus := l.borrowedVMs() - allowed
	hold := holdFactor * f.delays.mean(false)
	if allowed > 0 {
		hold = rebalanceInterval
	}
	if surplus <= 0 || allowed > 0 && surplus < 2 {
		o.lastNeeded = now
		return nil
	}
	if now.Sub(o.lastNeeded) < hold {
		return nil
	}
	return l.returnVMs(surplus)
}
