package cscapacity

import (
	"math"
	"time"
)

// defaultBuffer is the part of a pool's slots that Static keeps from deferred tasks.
const defaultBuffer = 0.5

// Static holds a fixed buffer in each pool. It is a baseline. The zero value uses the defaults.
type Static struct {
	// Buffer is the part of the slots of each pool that deferred tasks never take.
	Buffer float64
	// Lent is the part of the VMs that spare pools may give up which is lent evenly to the other pools, once and for good.
	Lent float64
}

// Step handles the loads of all pools.
func (s *Static) Step(_ time.Time, loads []Load) Plan {
	buffer := s.Buffer
	if buffer == 0 {
		buffer = defaultBuffer
	}
	var plan Plan
	for _, l := range loads {
		if !l.Spare {
			plan.Shares = append(plan.Shares, Share{Pool: l.Pool, Reserved: int(math.Ceil(buffer * float64(l.Slots)))})
		}
	}
	plan.Moves = s.lend(loads)
	return plan
}

// lend moves VMs until each pool has its part of what the spare pools can give up.
func (s *Static) lend(loads []Load) []Move {
	pools := 0
	total := 0
	for _, l := range loads {
		if l.Spare {
			total += l.Lendable
			continue
		}
		pools++
		total += l.borrowed() + l.arriving()
	}
	if pools == 0 {
		return nil
	}
	each := int(s.Lent*float64(total)) / pools
	market := newMarket(loads)
	var moves []Move
	for _, l := range loads {
		if !l.Spare {
			moves = append(moves, market.borrow(l, each-l.borrowed()-l.arriving(), true, nil)...)
		}
	}
	return moves
}
