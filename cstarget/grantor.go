package cstarget

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// SlotLease is the length of a slot lease.
const SlotLease = 2 * time.Second

// SlotRequest asks a home node for slots and renews the slots held. A request replaces all earlier ones of the node.
type SlotRequest struct {
	Node        csmodel.NodeID      `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64              `cbor:"3,keyasint"`
	// Applied is the sequence of the last grant that the holder applied.
	Applied uint64       `cbor:"4,keyasint,omitempty"`
	Demand  []PoolDemand `cbor:"5,keyasint,omitempty"`
	Uses    []TargetUse  `cbor:"6,keyasint,omitempty"`
}

// PoolDemand is the number of slots that a node wants in a pool.
type PoolDemand struct {
	Pool  csmodel.PoolID `cbor:"1,keyasint"`
	Slots int            `cbor:"2,keyasint"`
}

// TargetUse reports the attempts in flight on a target and the outcomes since the previous report.
type TargetUse struct {
	Target      csmodel.VMID        `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Busy        int                 `cbor:"3,keyasint,omitempty"`
	Good        int                 `cbor:"4,keyasint,omitempty"`
	Bad         int                 `cbor:"5,keyasint,omitempty"`
}

// SlotGrant answers a SlotRequest. It replaces everything that the home node granted to the node before.
type SlotGrant struct {
	Home     csmodel.NodeID `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"` // of the request
	Lease    time.Duration  `cbor:"3,keyasint"` // counted by the holder from the time it sent the request
	Targets  []TargetGrant  `cbor:"4,keyasint,omitempty"`
}

// TargetGrant is a number of slots on one target.
type TargetGrant struct {
	Target      csmodel.VMID             `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation      `cbor:"2,keyasint"`
	Address     string                   `cbor:"3,keyasint"`
	Pool        csmodel.PoolID           `cbor:"4,keyasint"`
	Zone        csmodel.AvailabilityZone `cbor:"5,keyasint"`
	Slots       int                      `cbor:"6,keyasint"`
	Connections int                      `cbor:"7,keyasint"`
	Probe       bool                     `cbor:"8,keyasint,omitempty"`
	// Lease is shorter than the grant's lease where the target's announcement is overdue. 0 means the grant's lease.
	Lease time.Duration `cbor:"9,keyasint,omitempty"`
}

// Grantor divides the slots of the home node's targets among nodes.
type Grantor struct{}

// Request handles a request for slots and returns the grant.
func (g *Grantor) Request(now time.Time, r SlotRequest) SlotGrant { return SlotGrant{} }

// Release ends all leases of a node that stops in order. The node must have no attempt in flight.
func (g *Grantor) Release(now time.Time, node csmodel.NodeID) {}

// Leased returns the number of slots of a target in unexpired leases.
func (g *Grantor) Leased(now time.Time, vm csmodel.VMID) int { return 0 }
