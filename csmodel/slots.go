package csmodel

import "time"

// SlotLease is the right of one node to run attempts on a target until a point in time.
type SlotLease struct {
	Target      VMID
	Incarnation Incarnation
	Address     string
	Pool        PoolID
	Zone        AvailabilityZone
	Home        NodeID
	// Slots is the largest number of attempts that the holder may have in flight on the target.
	Slots int
	// Connections is the largest number of connections that the holder may have open to the target.
	Connections int
	// Probe marks a single slot on a quarantined target. Only an idempotent request may use it.
	Probe bool
	// Until is the end of the lease on the clock of the holder.
	Until time.Time
}

// PoolSummary describes the targets of one pool and one availability zone that announce to one home node.
type PoolSummary struct {
	Node        NodeID           `cbor:"1,keyasint"`
	Pool        PoolID           `cbor:"2,keyasint"`
	Zone        AvailabilityZone `cbor:"3,keyasint"` // of the targets
	Targets     int              `cbor:"4,keyasint,omitempty"`
	Quarantined int              `cbor:"5,keyasint,omitempty"`
	Slots       int              `cbor:"6,keyasint,omitempty"`
	Free        int              `cbor:"7,keyasint,omitempty"`
	Busy        int              `cbor:"8,keyasint,omitempty"`
	Wait        time.Duration    `cbor:"9,keyasint,omitempty"` // expected queue wait on the node
}

// PoolWait is the expected queue wait of a pool on one node.
type PoolWait struct {
	Pool PoolID
	Wait time.Duration
}

// SlotDemand is the number of slots of a pool that a node wants, in its own availability zone and in others.
type SlotDemand struct {
	Pool   PoolID
	Local  int
	Remote int
}
