// Package cscapacity decides how many VMs move between pools. A policy is a deterministic state machine: the observed
// loads and the current time go in, wanted moves come out.
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
}

// Borrowed is a number of VMs of another home pool.
type Borrowed struct {
	Home csmodel.PoolID
	VMs  int
}

// Move is a number of VMs that the policy wants to move. It is repeated until the loads show its effect.
type Move struct {
	From, To csmodel.PoolID
	VMs      int
}

// Policy decides about moves.
type Policy interface {
	// Step handles the loads of all pools of a region, in the order of their names.
	Step(now time.Time, loads []Load) []Move
}
