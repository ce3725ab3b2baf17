package cstarget

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// HolderConfig configures the holder of slots. Zero fields take defaults.
type HolderConfig struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Zone        csmodel.AvailabilityZone
}

// AddressedRequest is a slot request and the home node that it goes to.
type AddressedRequest struct {
	Home    csmodel.NodeID
	Request SlotRequest
}

// Holder keeps the slots that home nodes granted to a node.
type Holder struct{}

// NewHolder returns a holder without slots.
func NewHolder(c HolderConfig) *Holder { return &Holder{} }

// Summaries replaces what is known about the targets of a home node. The holder sends requests to home nodes that have
// targets of a demanded pool.
func (h *Holder) Summaries(now time.Time, home csmodel.NodeID, pools []csmodel.PoolSummary) {}

// Demand replaces the demand for slots of a pool.
func (h *Holder) Demand(now time.Time, d csmodel.SlotDemand) {}

// Uses adds the attempts in flight and outcomes that the next requests report.
func (h *Holder) Uses(uses []TargetUse) {}

// Requests returns the requests to send now: one to each home node that holds targets of a demanded pool and whose
// renewal is due or whose demand grew.
func (h *Holder) Requests(now time.Time) []AddressedRequest { return nil }

// Granted applies a grant and tells whether the leases changed. A late or duplicated grant is ignored.
func (h *Holder) Granted(now time.Time, g SlotGrant) bool { return false }

// MayStart tells whether an attempt may start now on a target where the node already runs the given number.
func (h *Holder) MayStart(now time.Time, vm csmodel.VMID, running int) bool { return false }

// Leases returns the unexpired leases in the order of target ids.
func (h *Holder) Leases(now time.Time) []csmodel.SlotLease { return nil }
