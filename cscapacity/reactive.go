package cscapacity

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Defaults of Reactive.
const (
	defaultHigh = 0.85 // utilisation above which a pool borrows
	defaultLow  = 0.5  // utilisation below which a pool returns VMs
	defaultHold = 10 * time.Second
)

// Reactive borrows VMs and slows deferred tasks when the utilisation of a pool exceeds a threshold, and returns VMs when
// it has stayed low. It is a baseline. The zero value uses the defaults.
type Reactive struct {
	High, Low float64
	// Hold is the time for which the utilisation must stay low before VMs are returned.
	Hold time.Duration

	low map[csmodel.PoolID]time.Time
}

// Step handles the loads of all pools.
func (r *Reactive) Step(now time.Time, loads []Load) Plan {
	r.defaults()
	var plan Plan
	market := newMarket(loads)
	for _, l := range loads {
		if l.Spare {
			continue
		}
		plan.Shares = append(plan.Shares, r.share(l))
		if l.Slots == 0 {
			continue
		}
		used := float64(l.used())
		switch {
		case used > r.High*float64(l.Slots):
			delete(r.low, l.Pool)
			missing := int(math.Ceil(used/(r.High*l.perVM()))) - l.VMs - l.arriving()
			moves := market.borrow(l, missing, true, nil)
			moves = append(moves, market.borrow(l, missing-taken(l, moves), false, idleVMs)...)
			plan.Moves = append(plan.Moves, moves...)
		case used < r.Low*float64(l.Slots):
			plan.Moves = append(plan.Moves, r.giveBack(now, l, used)...)
		default:
			delete(r.low, l.Pool)
		}
	}
	return plan
}

// share reserves what requests use now at the high utilisation.
func (r *Reactive) share(l Load) Share {
	reserved := min(float64(l.Slots), math.Ceil(float64(l.used())/r.High))
	s := Share{Pool: l.Pool, Reserved: int(reserved)}
	if float64(l.used()) > r.High*float64(l.Slots) {
		s.Yield = l.Deferred
	}
	return s
}

func (r *Reactive) defaults() {
	if r.High == 0 {
		r.High = defaultHigh
	}
	if r.Low == 0 {
		r.Low = defaultLow
	}
	if r.Hold == 0 {
		r.Hold = defaultHold
	}
	if r.low == nil {
		r.low = map[csmodel.PoolID]time.Time{}
	}
}

// idleVMs is the number of VMs that a pool does not need at half utilisation.
func idleVMs(l Load) int {
	if l.VMs == 0 || l.Slots == 0 {
		return 0
	}
	return l.VMs - max(1, int(math.Ceil(float64(l.used())*2/l.perVM())))
}

func (r *Reactive) giveBack(now time.Time, l Load, used float64) []Move {
	since, ok := r.low[l.Pool]
	if !ok {
		r.low[l.Pool] = now
		return nil
	}
	if now.Sub(since) < r.Hold {
		return nil
	}
	return l.giveBack(l.VMs - int(math.Ceil(used/(r.Low*l.perVM()))))
}
