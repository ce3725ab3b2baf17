// Package cscapacity divides the capacity of a region. It decides how many VMs move between pools, how many slots of a
// pool deferred tasks leave free and how much of the running deferred work yields to a burst of requests. A policy is a
// deterministic state machine: its inputs are the observed loads and the current time, its output is a plan.
package cscapacity

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Load describes a pool at one moment.
type Load struct {
	Pool  csmodel.PoolID
	Spare bool
	// Arrivals counts the requests since the start of the reporting nodes.
	Arrivals uint64
	Queued   int // requests
	Busy     int // slots
	Slots    int // of the serving VMs
	VMs      int // serving
	// Lendable is the number of own VMs that the pool can give up within its availability budget.
	Lendable int
	// Borrowed lists the serving VMs that belong to other home pools.
	Borrowed []Borrowed
	// Arriving lists the VMs in moves to the pool, by the pool that they leave.
	Arriving []Borrowed
	// Deferred is the capacity that the running deferred tasks use at full speed, in slots.
	Deferred float64
	// Late is set if a deferred task of the pool cannot start in time for its deadline without more capacity.
	Late bool
}

// Borrowed is a number of VMs of another pool.
type Borrowed struct {
	Home csmodel.PoolID
	VMs  int
}

// Move is a number of VMs that the policy wants to move. The policy repeats it until the loads show its effect.
type Move struct {
	From, To csmodel.PoolID
	VMs      int
}

// DeferredLimit limits the deferred work of a pool.
type DeferredLimit struct {
	Pool csmodel.PoolID
	// Reserved is the number of slots that no new deferred task may take. It includes the slots in use by requests.
	Reserved int
	// Yield is the capacity, in slots, that running deferred tasks must give up now.
	Yield float64
	// Checkpoint is set if the tasks give it up by a checkpoint and a return to the queue. Otherwise they are
	// throttled.
	Checkpoint bool
}

// Plan is the output of a policy. Both lists replace those of the previous plan.
type Plan struct {
	Moves          []Move
	DeferredLimits []DeferredLimit // of the pools that are not spare, in the order of the loads
}

// Policy decides about VM moves and the limits of deferred work.
type Policy interface {
	// Step returns the plan for the loads of all pools of a region, which are in the order of their names.
	Step(now time.Time, loads []Load) Plan
}

// usedSlots returns the number of slots that requests occupy or wait for.
func (l Load) usedSlots() int { return l.Busy + l.Queued }

// slotsPerVM returns the mean number of slots of a serving VM.
func (l Load) slotsPerVM() float64 {
	if l.VMs == 0 {
		return 0
	}
	return float64(l.Slots) / float64(l.VMs)
}

// borrowedVMs returns the number of serving VMs of other home pools.
func (l Load) borrowedVMs() int {
	total := 0
	for _, b := range l.Borrowed {
		total += b.VMs
	}
	return total
}

// arrivingVMs returns the number of VMs in moves to the pool.
func (l Load) arrivingVMs() int {
	total := 0
	for _, b := range l.Arriving {
		total += b.VMs
	}
	return total
}

// returnVMs returns moves of at most count borrowed VMs to their home pools.
func (l Load) returnVMs(count int) []Move {
	var moves []Move
	for _, b := range l.Borrowed {
		n := min(b.VMs, count)
		if n <= 0 {
			break
		}
		count -= n
		moves = append(moves, Move{From: l.Pool, To: b.Home, VMs: n})
	}
	return moves
}
