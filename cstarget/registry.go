package cstarget

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	minInterval    = time.Second     // shortest heartbeat interval
	minTargetLease = 3 * time.Second // shortest target lease
	leaseIntervals = 3               // target lease in heartbeat intervals
	// drainInterval is the heartbeat interval of a target that is out of service, so that its drain and its preparation
	// for another pool are seen soon. Few targets are in this state at once.
	drainInterval = 200 * time.Millisecond
	// heartbeatSize is the size in bytes of an announcement, its reply and their HTTP headers. TestHeartbeatSize checks it.
	heartbeatSize = 900
	heartbeatRate = 8 << 10 // largest heartbeat traffic of a node in bytes per second
)

// Config configures the home node's side. Zero fields take defaults.
type Config struct {
	Node csmodel.NodeID
	// Nodes are the HTTP addresses of the entry nodes, sent to targets for failover.
	Nodes []string
	// Started is the start of the process: no target is reported as lost before one target lease has passed. The zero
	// value stands for the time of the first call.
	Started time.Time
	Health  HealthConfig
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
	Pool        csmodel.PoolID // the pool that owns the VM, empty where unknown
	Fence       csmodel.Fence
	Slots       int
	Connections int
	Cores       csmodel.MilliCPU
	Memory      csmodel.Bytes
	Running     int
	Tasks       int
	Leaving     bool
	Usable      bool
	Quarantined bool
	Announced   time.Time
}

// Registry holds the records of the targets that announce to a node.
type Registry struct {
	config  Config
	base    time.Time
	based   bool
	records []*record // in the order of target ids
	owners  map[csmodel.VMID]Ownership
	names   map[string]string
	grantor *Grantor
	health  *Health
}

// NewRegistry returns an empty registry.
func NewRegistry(c Config) *Registry {
	r := &Registry{
		config: c,
		base:   c.Started,
		based:  !c.Started.IsZero(),
		owners: map[csmodel.VMID]Ownership{},
		names:  map[string]string{},
		health: NewHealth(c.Health),
	}
	r.grantor = &Grantor{registry: r, nodes: map[csmodel.NodeID]*holderState{}}
	return r
}

// Announce stores an announcement and returns the reply. An older announcement never replaces a newer one.
func (r *Registry) Announce(now time.Time, a Announcement) (AnnounceReply, []Event) {
	at := r.since(now)
	index, found := r.find(a.ID)
	if found && r.records[index].older(a) {
		return r.reply(r.records[index], a.Tasks), nil
	}
	kind := TargetNew
	if found {
		kind = TargetChanged
		if !r.records[index].differs(a) {
			kind = 0
		}
	} else {
		r.records = slices.Insert(r.records, index, &record{id: a.ID})
	}
	rec := r.records[index]
	r.store(at, rec, a, !found)
	reply := r.reply(rec, a.Tasks)
	rec.interval = reply.Interval
	if kind == 0 {
		return reply, nil
	}
	return reply, []Event{{Kind: kind, Target: r.export(rec)}}
}

func (r *Registry) store(at time.Duration, rec *record, a Announcement, created bool) {
	switch {
	case a.Moved || created && a.Sequence > 1:
		// Another home node, or this node before a restart, may have leases out.
		rec.grantAfter = at + SlotLease
	case !created && a.Incarnation != rec.incarnation:
		// The target refuses attempts for its previous incarnation.
		rec.leases = nil
		rec.quietAt = at
		rec.drained = false
	}
	if rec.grantAfter > at {
		rec.quietAt = never
	}
	rec.address = a.Address
	rec.zone = csmodel.AvailabilityZone(r.name(string(a.Zone)))
	rec.rack = csmodel.Rack(r.name(string(a.Rack)))
	rec.prepared = csmodel.PoolID(r.name(string(a.Pool)))
	rec.incarnation = a.Incarnation
	rec.sequence = a.Sequence
	rec.memory = a.Memory
	rec.cores = int32(a.Cores)
	rec.slots = clamp(a.Slots)
	rec.connections = clamp(a.Connections)
	rec.running = clamp(a.Running)
	rec.tasks = clamp(len(a.Tasks))
	rec.leaving = a.Leaving
	rec.announced = at
	r.health.Track(rec.id, rec.incarnation, r.owners[rec.id].Pool)
}

func (r *Registry) reply(rec *record, reports []TaskReport) AnnounceReply {
	owner := r.owners[rec.id]
	interval := r.Interval()
	if owner.Pool != "" && !owner.Usable || rec.leaving {
		interval = min(interval, drainInterval)
	}
	return AnnounceReply{
		Node:     r.config.Node,
		Interval: interval,
		Lease:    targetLease(interval),
		Pool:     owner.Pool,
		Fence:    owner.Fence,
		Nodes:    r.config.Nodes,
		Acks:     rec.acknowledged(reports),
	}
}

// Tick ends target leases and reports targets that became lost, left or drained.
func (r *Registry) Tick(now time.Time) []Event {
	at := r.since(now)
	var events []Event
	settled := at >= minTargetLease
	kept := r.records[:0]
	for _, rec := range r.records {
		rec.prune(at)
		if settled && at > rec.announced+targetLease(rec.interval) {
			kind := TargetLost
			if rec.leaving {
				kind = TargetLeft
			}
			events = append(events, Event{Kind: kind, Target: r.export(rec)})
			r.health.Forget(rec.id)
			continue
		}
		kept = append(kept, rec)
		if r.becameDrained(at, rec) {
			events = append(events, Event{Kind: TargetDrained, Target: r.export(rec)})
		}
	}
	clear(r.records[len(kept):])
	r.records = kept
	r.health.Tick(now)
	r.grantor.prune(at)
	return events
}

// becameDrained tells once that a target has no work. Attempts may start until every lease has ended or its holder has
// confirmed its end, so only a later announcement proves it.
func (r *Registry) becameDrained(at time.Duration, rec *record) bool {
	r.grantor.settle(at, rec)
	owner, owned := r.owners[rec.id]
	if !rec.leaving && (!owned || owner.Usable) {
		rec.drained = false
		return false
	}
	idle := rec.running == 0 && rec.tasks == 0 && rec.announced >= rec.quietAt
	if !idle || rec.drained {
		return false
	}
	rec.drained = true
	return true
}

// Own applies an update of the replicated fleet state. An update with an older fence is ignored.
func (r *Registry) Own(now time.Time, o Ownership) []Event {
	if old, ok := r.owners[o.VM]; ok && old.Fence > o.Fence {
		return nil
	}
	o.Pool = csmodel.PoolID(r.name(string(o.Pool)))
	old := r.owners[o.VM]
	r.owners[o.VM] = o
	index, found := r.find(o.VM)
	if !found {
		return nil
	}
	rec := r.records[index]
	if old.Fence != o.Fence {
		rec.drained = false
	}
	r.health.Track(rec.id, rec.incarnation, o.Pool)
	if r.becameDrained(r.since(now), rec) {
		return []Event{{Kind: TargetDrained, Target: r.export(rec)}}
	}
	return nil
}

// Disown removes the ownership of a VM that the replicated fleet state no longer contains.
func (r *Registry) Disown(vm csmodel.VMID) { delete(r.owners, vm) }

// Acknowledge makes the next replies to the target acknowledge the end of a task until the target stops reporting it.
func (r *Registry) Acknowledge(vm csmodel.VMID, ack TaskAck) {
	index, found := r.find(vm)
	if !found {
		return
	}
	rec := r.records[index]
	if !slices.Contains(rec.acks, ack) {
		rec.acks = append(rec.acks, ack)
	}
}

// Rehomed drops the record of a target that has announced to another node with a later sequence number.
func (r *Registry) Rehomed(vm csmodel.VMID, incarnation csmodel.Incarnation, sequence uint64) {
	index, found := r.find(vm)
	if !found || r.records[index].older(Announcement{Incarnation: incarnation, Sequence: sequence}) {
		return
	}
	r.records = slices.Delete(r.records, index, index+1)
	r.health.Forget(vm)
}

// Settled tells whether the grace period after the start has passed.
func (r *Registry) Settled(now time.Time) bool { return r.since(now) >= minTargetLease }

// Interval returns the heartbeat interval for the present number of targets.
func (r *Registry) Interval() time.Duration {
	interval := time.Duration(len(r.records)) * heartbeatSize * time.Second / heartbeatRate
	return max(minInterval, interval)
}

func targetLease(interval time.Duration) time.Duration {
	return max(minTargetLease, leaseIntervals*interval)
}

// Target returns the record of a target.
func (r *Registry) Target(vm csmodel.VMID) (Target, bool) {
	index, found := r.find(vm)
	if !found {
		return Target{}, false
	}
	return r.export(r.records[index]), true
}

// Targets returns all records in the order of their ids.
func (r *Registry) Targets() []Target {
	targets := make([]Target, 0, len(r.records))
	for _, rec := range r.records {
		targets = append(targets, r.export(rec))
	}
	return targets
}

// Grantor returns the registry's grantor of slot leases.
func (r *Registry) Grantor() *Grantor { return r.grantor }

// Health returns the registry's quarantine decisions.
func (r *Registry) Health() *Health { return r.health }

func (r *Registry) find(vm csmodel.VMID) (int, bool) {
	return slices.BinarySearchFunc(r.records, vm, func(rec *record, id csmodel.VMID) int {
		return cmp.Compare(rec.id, id)
	})
}

// since converts a time to the time base of the records.
func (r *Registry) since(now time.Time) time.Duration {
	if !r.based {
		r.base = now
		r.based = true
	}
	return now.Sub(r.base)
}

// name returns one shared copy of a name, so that records do not keep the buffers of announcements alive.
func (r *Registry) name(s string) string {
	if known, ok := r.names[s]; ok {
		return known
	}
	s = strings.Clone(s)
	r.names[s] = s
	return s
}

func (r *Registry) export(rec *record) Target {
	owner := r.owners[rec.id]
	return Target{
		ID:          rec.id,
		Incarnation: rec.incarnation,
		Sequence:    rec.sequence,
		Address:     rec.address,
		Zone:        rec.zone,
		Rack:        rec.rack,
		Prepared:    rec.prepared,
		Pool:        owner.Pool,
		Fence:       owner.Fence,
		Slots:       int(rec.slots),
		Connections: int(rec.connections),
		Cores:       csmodel.MilliCPU(rec.cores),
		Memory:      rec.memory,
		Running:     int(rec.running),
		Tasks:       int(rec.tasks),
		Leaving:     rec.leaving,
		Usable:      owner.Usable,
		Quarantined: r.health.Quarantined(rec.id),
		Announced:   r.base.Add(rec.announced),
	}
}
