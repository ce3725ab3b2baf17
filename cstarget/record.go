package cstarget

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// record is the soft state of one target. Times are durations since the registry's base time, which preserves the monotonic
// clock reading in 8 bytes. Zone, rack and pool names are interned and shared with the other records.
type record struct {
	id          csmodel.VMID
	address     string
	zone        csmodel.AvailabilityZone
	rack        csmodel.Rack
	prepared    csmodel.PoolID
	incarnation csmodel.Incarnation
	sequence    uint64
	memory      csmodel.Bytes
	announced   time.Duration
	interval    time.Duration // in the last reply
	grantAfter  time.Duration // slots are granted from this time on
	quietSince  time.Duration // since when no node may start an attempt or has one in flight; never while one may
	leases      []lease       // sorted by node id
	acks        []TaskAck
	cores       int32
	slots       uint16
	connections uint16
	running     uint16
	tasks       uint16
	leaving     bool
	drained     bool // TargetDrained was reported
}

// lease is the slots of one target that are leased to one node.
type lease struct {
	node              csmodel.NodeID
	slots             int
	until             time.Duration
	probe             bool
	reductionSequence uint64 // sequence of the grant that lowered the slots
	// previous is the number of slots before a reduction. These slots stay reserved until the holder confirms the reduction
	// or previousUntil has passed.
	previous      int
	previousUntil time.Duration
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// clampUint16 limits a count to the range of the fields of a record.
func clampUint16(n int) uint16 { return uint16(max(0, min(n, math.MaxUint16))) }

// reservedSlots returns the number of slots that the node may be using.
func (l *lease) reservedSlots(at time.Duration) int {
	slots := 0
	if l.until > at {
		slots = l.slots
	}
	if l.previousUntil > at {
		slots = max(slots, l.previous)
	}
	return slots
}

// set changes the lease. A reduction takes effect when the holder confirms the grant with this sequence or the previous
// lease has ended.
func (l *lease) set(at time.Duration, slots int, until time.Duration, sequence uint64) {
	if l.until > at && slots < l.slots {
		if l.previousUntil <= at {
			l.previous = 0
		}
		l.previous = max(l.previous, l.slots)
		l.previousUntil = max(l.previousUntil, l.until)
		l.reductionSequence = sequence
	}
	l.slots = slots
	l.until = until
}

// confirm frees the previous slots if the holder has applied the grant that reduced them.
func (l *lease) confirm(applied uint64) {
	if applied >= l.reductionSequence {
		l.previous = 0
		l.previousUntil = 0
	}
}

// reservedSlots returns the number of slots that nodes may be using.
func (r *record) reservedSlots(at time.Duration) int {
	total := 0
	for i := range r.leases {
		total += r.leases[i].reservedSlots(at)
	}
	return total
}

// leaseOf returns the node's lease and adds an empty one if there is none.
func (r *record) leaseOf(node csmodel.NodeID) *lease {
	i := 0
	for i < len(r.leases) && r.leases[i].node < node {
		i++
	}
	if i == len(r.leases) || r.leases[i].node != node {
		r.leases = append(r.leases, lease{})
		copy(r.leases[i+1:], r.leases[i:])
		r.leases[i] = lease{node: node}
	}
	return &r.leases[i]
}

// pruneLeases removes leases that have ended.
func (r *record) pruneLeases(at time.Duration) {
	kept := r.leases[:0]
	for _, l := range r.leases {
		if l.reservedSlots(at) > 0 {
			kept = append(kept, l)
		}
	}
	r.leases = kept
}

// differs reports whether an announcement changes the incarnation, address, pool, size or leaving flag, and not only the
// sequence and the load.
func (r *record) differs(a Announcement) bool {
	return r.incarnation != a.Incarnation ||
		r.address != a.Address ||
		r.prepared != a.Pool ||
		r.leaving != a.Leaving ||
		int(r.slots) != a.Slots ||
		int(r.connections) != a.Connections
}

// isStale reports whether an announcement is not newer than the record.
func (r *record) isStale(a Announcement) bool {
	if a.Incarnation != r.incarnation {
		return a.Incarnation < r.incarnation
	}
	return a.Sequence <= r.sequence
}

// currentAcks returns the acknowledgements of the reported tasks and drops those of tasks no longer reported.
func (r *record) currentAcks(reports []TaskReport) []TaskAck {
	kept := r.acks[:0]
	for _, ack := range r.acks {
		for _, t := range reports {
			if t.ID == ack.ID && t.Fence == ack.Fence {
				kept = append(kept, ack)
				break
			}
		}
	}
	r.acks = kept
	return append([]TaskAck(nil), kept...)
}
