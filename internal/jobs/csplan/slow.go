package csplan

import (
	"cmp"
	"slices"
)

const (
	// slowCost is the cost from which a target is slow: its runs take half as long again as expected. Run times vary by a fifth without
	// any fault of a target.
	slowCost = 1.5
	// maxSlowShare is the divisor of the largest fraction of a pool's targets that count as slow.
	maxSlowShare = 4
)

// MarkSlow makes slow targets those that get a task only when no other target can take it. Work is placed in order of urgency, so they get
// less urgent tasks. It returns the slow ones, at most a quarter of the slots. A target is slow compared to the median of the others: where
// all runs take longer than expected, it is the expectation that is wrong.
func MarkSlow(slots []*Slot) []*Slot {
	var slow []*Slot
	for _, s := range slots {
		if Slow(s.Cost) {
			slow = append(slow, s)
		}
	}
	if len(slow) == 0 {
		return nil
	}
	usual := medianCost(slots)
	slow = slices.DeleteFunc(slow, func(s *Slot) bool { return !Slow(s.Cost / usual) })
	if most := len(slots) / maxSlowShare; len(slow) > most {
		slices.SortStableFunc(slow, func(a, b *Slot) int { return cmp.Compare(b.Cost, a.Cost) })
		slow = slow[:most]
	}
	for _, s := range slow {
		s.Preferred = false
	}
	return slow
}

// medianCost returns the median of the known costs. At least one has to be known.
func medianCost(slots []*Slot) float64 {
	var costs []float64
	for _, s := range slots {
		if s.Cost > 0 {
			costs = append(costs, s.Cost)
		}
	}
	slices.Sort(costs)
	return costs[len(costs)/2]
}

// Slow reports whether a cost, as a multiple of the usual one, is that of a slow target.
func Slow(cost float64) bool { return cost >= slowCost }
