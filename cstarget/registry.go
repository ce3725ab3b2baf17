package cstarget

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Config configures the home node's side. Zero fields take defaults.
type Config struct {
	Node csmodel.NodeID
	// Nodes are the HTTP addresses of the entry nodes, sent to targets for failover.
	Nodes []string
	// Started is the start of the process: no target is reported as lost before one target lease has passed.
	Started time.Time
}

// Ownership is what the replicated fleet state says about a VM.
type Ownership struct {
	VM    csmodel.VMID
	Pool  csmodel.PoolID
	Fence csmodel.Fence
	// Usable is false where the VM is draining, handed over, rebooting or lost.
	Usable bool
}

// EventKind tells what happened to a target.
type EventKind uint8

// Kinds of events.
const (
	TargetNew     EventKind = iota + 1 // first announcement
	TargetChanged                      // new incarnation, address, pool, size or leaving flag
	TargetLost                         // its target lease ended
	TargetLeft                         // its target lease ended after it was leaving
	TargetDrained                      // not usable or leaving, and no attempt, slot lease or task is left
)

// Event reports a change of a target.
type Event struct {
	Kind   EventKind
	Target Target
}

// Target is a copy of a target's record.
type Target struct {
	ID          csmodel.VMID
	Incarnation csmodel.Incarnation
	Sequence    uint64
	Address     string
	Zone        csmodel.AvailabilityZone
	Rack        csmodel.Rack
	Prepared    csmodel.PoolID // the pool that the VM is prepared for
	Pool        csmodel.PoolID // the pool that owns the VM
	Fence       csmodel.Fence
	Slots       int
	Connections int
	Cores       csmodel.MilliCPU
	Memory      csmodel.Bytes
	Running     int
	Tasks       int
	Leaving     bool
	Usable      bool
	Announced   time.Time
}

// Registry holds the records of the targets that announce to a node.
type Registry struct{}

// NewRegistry returns an empty registry.
func NewRegistry(c Config) *Registry { return &Registry{} }

// Announce stores an announcement and returns the reply. An older announcement never replaces a newer one.
func (r *Registry) Announce(now time.Time, a Announcement) (AnnounceReply, []Event) {
	return AnnounceReply{}, nil
}

// Tick ends target leases and reports targets that became lost, left or drained.
func (r *Registry) Tick(now time.Time) []Event { return nil }

// Own applies an update of the replicated fleet state. An update with an older fence is ignored.
func (r *Registry) Own(now time.Time, o Ownership) []Event { return nil }

// Disown removes the ownership of a VM that the replicated fleet state no longer contains.
func (r *Registry) Disown(now time.Time, vm csmodel.VMID) {}

// Acknowledge makes the next replies to the target acknowledge the end of a task until the target stops reporting it.
func (r *Registry) Acknowledge(vm csmodel.VMID, ack TaskAck) {}

// Rehomed drops the record of a target that has announced to another node with a later sequence number.
func (r *Registry) Rehomed(vm csmodel.VMID, incarnation csmodel.Incarnation, sequence uint64) {}

// Settled tells whether the grace period after the start has passed.
func (r *Registry) Settled(now time.Time) bool { return false }

// Interval returns the heartbeat interval for the present number of targets.
func (r *Registry) Interval() time.Duration { return 0 }

// Target returns the record of a target.
func (r *Registry) Target(vm csmodel.VMID) (Target, bool) { return Target{}, false }

// Targets returns all records in the order of their ids.
func (r *Registry) Targets() []Target { return nil }

// Summaries returns the state of each pool and availability zone, for the other nodes. The waits are those of the node's
// own queues.
func (r *Registry) Summaries(now time.Time, waits []csmodel.PoolWait) []csmodel.PoolSummary {
	return nil
}

// Grantor returns the registry's grantor of slot leases.
func (r *Registry) Grantor() *Grantor { return nil }

// Health returns the registry's quarantine decisions.
func (r *Registry) Health() *Health { return nil }
