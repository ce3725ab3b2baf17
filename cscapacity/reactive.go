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

// Reactive borrows VMs when the utilisation of a pool exceeds a threshold and returns them when it has stayed low. The zero
// value uses the defaults.
type Reactive struct {
	High, Low float64
	// Hold is the time for which the utilisation must stay low before VMs are returned.
	Hold time.Duration

	low map[csmodel.PoolID]time.Time
}

// Step handles the loads of all pools.
func (r *Reactive) Step(now time.Time, loads []Load) []Move {
	r.defaults()
	var moves []Move
	given := map[csmodel.PoolID]int{}
	for _, l := range loads {
		if l.Spare || l.Slots == 0 {
			continue
		}
		used := float64(l.Busy + l.Queued)
		perVM := float64(l.Slots) / float64(l.VMs)
		switch {
		case used > r.High*float64(l.Slots):
			delete(r.low, l.Pool)
			missing := int(math.Ceil(used/(r.High*perVM))) - l.VMs
			moves = append(moves, borrow(l.Pool, missing, loads, given)...)
		case used < r.Low*float64(l.Slots):
			moves = append(moves, r.giveBack(now, l, used, perVM)...)
		default:
			delete(r.low, l.Pool)
		}
	}
	return moves
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

// borrow takes VMs of spare pools first, then of pools with little load.
func borrow(to csmodel.PoolID, missing int, loads []Load, given map[csmodel.PoolID]int) []Move {
	var moves []Move
	for _, spare := range []bool{true, false} {
		for _, l := range loads {
			if l.Pool == to || l.Spare != spare || missing <= 0 {
				continue
			}
			free := l.Lendable - given[l.Pool]
			if !spare {
				free = min(free, idleVMs(l)-given[l.Pool])
			}
			count := min(missing, free)
			if count <= 0 {
				continue
			}
			given[l.Pool] += count
			missing -= count
			moves = append(moves, Move{From: l.Pool, To: to, VMs: count})
		}
	}
	return moves
}

// idleVMs is the number of VMs that a pool does not need at half utilisation.
func idleVMs(l Load) int {
	if l.VMs == 0 || l.Slots == 0 {
		return 0
	}
	needed := math.Ceil(float64(l.Busy+l.Queued) * 2 * float64(l.VMs) / float64(l.Slots))
	return l.VMs - max(1, int(needed))
}

func (r *Reactive) giveBack(now time.Time, l Load, used, perVM float64) []Move {
	since, ok := r.low[l.Pool]
	if !ok {
		r.low[l.Pool] = now
		return nil
	}
	if now.Sub(since) < r.Hold {
		return nil
	}
	var moves []Move
	surplus := l.VMs - int(math.Ceil(used/(r.Low*perVM)))
	for _, b := range l.Borrowed {
		count := min(b.VMs, surplus)
		if count <= 0 {
			break
		}
		surplus -= count
		moves = append(moves, Move{From: l.Pool, To: b.Home, VMs: count})
	}
	return moves
}
