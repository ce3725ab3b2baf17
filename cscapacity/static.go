package cscapacity

import (
	"math"
	"time"
)

// defaultBufferFraction is the fraction of a pool's slots that Static keeps free of deferred tasks.
const defaultBufferFraction = 0.5

// Static keeps a fixed buffer in each pool. It is a baseline for other policies. The zero value uses the defaults.
type Static struct {
	// Buffer is the fraction of the slots of each pool that deferred tasks never take.
	Buffer float64
	// Lent is the fraction of the VMs that spare pools can give up that is lent to the other pools in equal numbers.
	// The VMs are not returned.
	Lent float64
}

// Step returns the plan for the loads of all pools.
func (s *Static) Step(_ time.Time, loads []Load) Plan {
	buffer := s.Buffer
	if buffer == 0 {
		buffer = defaultBufferFraction
	}
	var plan Plan
	for _, l := range loads {
		if !l.Spare {
			plan.DeferredLimits = append(plan.DeferredLimits, DeferredLimit{Pool: l.Pool, Reserved: int(math.Ceil(buffer * float64(l.Slots)))})
		}
	}
	plan.Moves = s.lendMoves(loads)
	return plan
}

// lendMoves returns the moves that give each pool its equal number of VMs from the spare pools.
func (s *Static) lendMoves(loads []Load) []Move {
	pools := 0
	total := 0
	for _, l := range loads {
		if l.Spare {
			total += l.Lendable
			continue
		}
		pools++
		total += l.borrowedVMs() + l.arrivingVMs()
	}
	if pools == 0 {
		return nil
	}
	perPool := int(s.Lent*float64(total)) / pools
	allocator := newVMAllocator(loads)
	var moves []Move
	for _, l := range loads {
		if !l.Spare {
			moves = append(moves, allocator.borrow(l, perPool-l.borrowedVMs()-l.arrivingVMs(), true, nil)...)
		}
	}
	return moves
}
