package cstarget

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// record is the soft state of one target. Times are durations since the registry's base time, which keeps the monotonic
// clock reading in 8 bytes. Zone, rack and pool names are shared with the other records.
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
	interval    time.Duration // of the last reply
	grantAfter  time.Duration // no grant before this time
	quietAt     time.Duration // since when no node can start an attempt or has one in flight; never while one can
	leases      []lease       // in the order of node ids
	acks        []TaskAck
	cores       int32
	slots       uint16
	connections uint16
	running     uint16
	tasks       uint16
	leaving     bool
	drained     bool // TargetDrained was reported
}

// lease is the share of one node in the slots of one target.
type lease struct {
	node    csmodel.NodeID
	slots   int
	until   time.Duration
	probe   bool
	reduced uint64 // sequence of the grant that lowered the slots
	// previous slots still count until the holder has confirmed the reduction or their lease has ended.
	previous      int
	previousUntil time.Duration
}

// never stands for a time that has not come.
const never = time.Duration(math.MaxInt64)

// clamp returns a count as it is stored in a record.
func clamp(n int) uint16 { return uint16(max(0, min(n, math.MaxUint16))) }

// counted returns the slots that the node may be using.
func (l *lease) counted(at time.Duration) int {
	slots := 0
	if l.until > at {
		slots = l.slots
	}
	if l.previousUntil > at {
		slots = max(slots, l.previous)
	}
	return slots
}

// set replaces the slots. A reduction counts from the confirmation of the sequence.
func (l *lease) set(at time.Duration, slots int, until time.Duration, sequence uint64) {
	if l.until > at && slots < l.slots {
		if l.previousUntil <= at {
			l.previous = 0
		}
		l.previous = max(l.previous, l.slots)
		l.previousUntil = max(l.previousUntil, l.until)
		l.reduced = sequence
	}
	l.slots = slots
	l.until = until
}

// confirm drops the previous slots once the holder has applied the grant that lowered them.
func (l *lease) confirm(applied uint64) {
	if applied >= l.reduced {
		l.previous = 0
		l.previousUntil = 0
	}
}

// leased returns the slots in unexpired leases.
func (r *record) leased(at time.Duration) int {
	total := 0
	for i := range r.leases {
		total += r.leases[i].counted(at)
	}
	return total
}

// lease returns the node's lease, which is added if missing.
func (r *record) lease(node csmodel.NodeID) *lease {
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

// prune removes leases that have ended.
func (r *record) prune(at time.Duration) {
	kept := r.leases[:0]
	for _, l := range r.leases {
		if l.counted(at) > 0 {
			kept = append(kept, l)
		}
	}
	r.leases = kept
}

// differs tells whether an announcement changes more than the sequence and the use.
func (r *record) differs(a Announcement) bool {
	return r.incarnation != a.Incarnation ||
		r.address != a.Address ||
		r.prepared != a.Pool ||
		r.leaving != a.Leaving ||
		int(r.slots) != a.Slots ||
		int(r.connections) != a.Connections
}

// older tells whether an announcement is not newer than the record.
func (r *record) older(a Announcement) bool {
	if a.Incarnation != r.incarnation {
		return a.Incarnation < r.incarnation
	}
	return a.Sequence <= r.sequence
}

// acknowledged returns the acknowledgements for reported tasks and forgets the others.
func (r *record) acknowledged(reports []TaskReport) []TaskAck {
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
