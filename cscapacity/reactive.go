package cscapacity

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Defaults of Reactive.
const (
	defaultHighUtilisation = 0.85 // utilisation above which a pool borrows
	defaultLowUtilisation  = 0.5  // utilisation below which a pool returns VMs
	defaultHold            = 10 * time.Second
)

// Reactive borrows VMs and slows deferred tasks when the utilisation of a pool exceeds a threshold, and returns VMs
// when the utilisation has stayed low. It is a baseline for other policies. The zero value uses the defaults.
type Reactive struct {
	High, Low float64
	// Hold is the time for which the utilisation must stay low before VMs are returned.
	Hold time.Duration

	lowSince map[csmodel.PoolID]time.Time
}

// Step returns the plan for the loads of all pools.
func (r *Reactive) Step(now time.Time, loads []Load) Plan {
	r.defaults()
	var plan Plan
	allocator := newVMAllocator(loads)
	for _, l := range loads {
		if l.Spare {
			continue
		}
		plan.DeferredLimits = append(plan.DeferredLimits, r.deferredLimit(l))
		if l.Slots == 0 {
			continue
		}
		used := float64(l.usedSlots())
		switch {
		case used > r.High*float64(l.Slots):
			delete(r.lowSince, l.Pool)
			missing := int(math.Ceil(used/(r.High*l.slotsPerVM()))) - l.VMs - l.arrivingVMs()
			moves := allocator.borrow(l, missing, true, nil)
			moves = append(moves, allocator.borrow(l, missing-additionalVMs(l, moves), false, idleVMs)...)
			plan.Moves = append(plan.Moves, moves...)
		case used < r.Low*float64(l.Slots):
			plan.Moves = append(plan.Moves, r.returnVMs(now, l, used)...)
		default:
			delete(r.lowSince, l.Pool)
		}
	}
	return plan
}

// deferredLimit reserves the slots that the present requests need at utilisation High.
func (r *Reactive) deferredLimit(l Load) DeferredLimit {
	reserved := min(float64(l.Slots), math.Ceil(float64(l.usedSlots())/r.High))
	s := DeferredLimit{Pool: l.Pool, Reserved: int(reserved)}
	if float64(l.usedSlots()) > r.High*float64(l.Slots) {
		s.Yield = l.Deferred
	}
	return s
}

func (r *Reactive) defaults() {
	if r.High == 0 {
		r.High = defaultHighUtilisation
	}
	if r.Low == 0 {
		r.Low = defaultLowUtilisation
	}
	if r.Hold == 0 {
		r.Hold = defaultHold
	}
	if r.lowSince == nil {
		r.lowSince = map[csmodel.PoolID]time.Time{}
	}
}

// idleVMs returns the number of VMs that a pool does not need at half utilisation.
func idleVMs(l Load) int {
	if l.VMs == 0 || l.Slots == 0 {
		return 0
	}
	return l.VMs - max(1, int(math.Ceil(float64(l.usedSlots())*2/l.slotsPerVM())))
}

func (r *Reactive) returnVMs(now time.Time, l Load, used float64) []Move {
	since, ok := r.lowSince[l.Pool]
	if !ok {
		r.lowSince[l.Pool] = now
		return nil
	}
	if now.Sub(since) < r.Hold {
		return nil
	}
	return l.returnVMs(l.VMs - int(math.Ceil(used/(r.Low*l.slotsPerVM()))))
}
