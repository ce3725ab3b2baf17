package cstarget

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	minHeartbeatInterval = time.Second     // shortest heartbeat interval in regular service
	minTargetLease       = 3 * time.Second // shortest target lease
	leaseHeartbeats      = 3               // heartbeat intervals in a target lease
	// minDrainInterval is the shortest heartbeat interval of a target that is out of service. It is short so that the end of
	// a drain or of the preparation for another pool is noticed soon.
	minDrainInterval = 200 * time.Millisecond
	// heartbeatBytes is the size of an announcement, its reply and their HTTP headers. TestHeartbeatSize checks it.
	heartbeatBytes   = 900
	maxHeartbeatRate = 8 << 10 // limit of the heartbeat traffic of a node, in bytes per second
)

// Config configures a Registry. Zero fields take their defaults.
type Config struct {
	Node csmodel.NodeID
	// Nodes are the HTTP addresses of the entry nodes, sent to targets for failover.
	Nodes []string
	// Started is the start time of the process. No target is reported as lost before the shortest target lease has passed
	// since then. The zero value stands for the time of the first call.
	Started time.Time
	Health  HealthConfig
}

// Ownership is the entry of a VM in the replicated fleet state.
type Ownership struct {
	VM    csmodel.VMID
	Pool  csmodel.PoolID
	Fence csmodel.Fence
	// Usable is false while the VM is draining, being handed over to another pool, rebooting or lost.
	Usable bool
}

// EventKind is the kind of a change of a target.
type EventKind uint8

// Kinds of events.
const (
	TargetNew     EventKind = iota + 1 // first announcement
	TargetChanged                      // new incarnation, address, pool, size or leaving flag
	TargetLost                         // its target lease ended
	TargetLeft                         // its target lease ended and its last announcement was leaving
	TargetDrained                      // not usable or leaving, and no attempt, slot lease or task is left
)

// Event reports a change of a target and its record at that time.
type Event struct {
	Kind   EventKind
	Target Target
}

// Target is a copy of the record of a target.
type Target struct {
	ID          csmodel.VMID
	Incarnation csmodel.Incarnation
	Sequence    uint64
	Address     string
	Zone        csmodel.AvailabilityZone
	Rack        csmodel.Rack
	Prepared    csmodel.PoolID // the pool that the VM is prepared for
	Pool        csmodel.PoolID // the pool that owns the VM, empty if unknown
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

// Registry holds the records of the targets that announce to this home node.
type Registry struct {
	config   Config
	base     time.Time
	baseSet  bool
	records  []*record // sorted by target id
	owners   map[csmodel.VMID]Ownership
	interned map[string]string
	grantor  *Grantor
	health   *Health
}

// NewRegistry returns an empty registry.
func NewRegistry(c Config) *Registry {
	r := &Registry{
		config:   c,
		base:     c.Started,
		baseSet:  !c.Started.IsZero(),
		owners:   map[csmodel.VMID]Ownership{},
		interned: map[string]string{},
		health:   NewHealth(c.Health),
	}
	r.grantor = &Grantor{registry: r, nodes: map[csmodel.NodeID]*holderState{}}
	return r
}

// Announce stores an announcement and returns the reply, and an event if the target is new or has changed. A stale
// announcement is answered but not stored.
func (r *Registry) Announce(now time.Time, a Announcement) (AnnounceReply, []Event) {
	at := r.elapsed(now)
	index, found := r.find(a.ID)
	if found && r.records[index].isStale(a) {
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
	return reply, []Event{{Kind: kind, Target: r.snapshot(rec)}}
}

func (r *Registry) store(at time.Duration, rec *record, a Announcement, created bool) {
	switch {
	case a.Moved || created && a.Sequence > 1:
		// Leases granted by another home node, or by this node before a restart, may be unexpired.
		rec.grantAfter = at + SlotLease
	case !created && a.Incarnation != rec.incarnation:
		// The target refuses attempts for its previous incarnation, so its leases have no effect.
		rec.leases = nil
		rec.quietSince = at
		rec.drained = false
	}
	if rec.grantAfter > at {
		rec.quietSince = never
	}
	rec.address = a.Address
	rec.zone = csmodel.AvailabilityZone(r.intern(string(a.Zone)))
	rec.rack = csmodel.Rack(r.intern(string(a.Rack)))
	rec.prepared = csmodel.PoolID(r.intern(string(a.Pool)))
	rec.incarnation = a.Incarnation
	rec.sequence = a.Sequence
	rec.memory = a.Memory
	rec.cores = int32(a.Cores)
	rec.slots = clampUint16(a.Slots)
	rec.connections = clampUint16(a.Connections)
	rec.running = clampUint16(a.Running)
	rec.tasks = clampUint16(len(a.Tasks))
	rec.leaving = a.Leaving
	rec.announced = at
	r.health.Track(rec.id, rec.incarnation, r.owners[rec.id].Pool)
}

func (r *Registry) reply(rec *record, reports []TaskReport) AnnounceReply {
	owner := r.owners[rec.id]
	interval := r.Interval()
	if r.outOfService(rec) {
		interval = min(interval, r.drainInterval())
	}
	return AnnounceReply{
		Node:     r.config.Node,
		Interval: interval,
		Lease:    targetLease(interval),
		Pool:     owner.Pool,
		Fence:    owner.Fence,
		Nodes:    r.config.Nodes,
		Acks:     rec.currentAcks(reports),
	}
}

// outOfService reports whether a target is draining, being prepared for another pool, or back after it was lost.
func (r *Registry) outOfService(rec *record) bool {
	owner, owned := r.owners[rec.id]
	return owned && !owner.Usable || rec.leaving
}

// drainInterval returns the heartbeat interval of a target that is out of service. It grows with the number of these
// targets, so that many of them, for example after a partition, stay within maxHeartbeatRate.
func (r *Registry) drainInterval() time.Duration {
	count := 0
	for _, rec := range r.records {
		if r.outOfService(rec) {
			count++
		}
	}
	return max(minDrainInterval, time.Duration(count)*heartbeatBytes*time.Second/maxHeartbeatRate)
}

// Tick drops targets whose target lease has ended and reports targets that were lost, left or became drained.
func (r *Registry) Tick(now time.Time) []Event {
	at := r.elapsed(now)
	var events []Event
	graceEnded := at >= minTargetLease
	kept := r.records[:0]
	for _, rec := range r.records {
		rec.pruneLeases(at)
		if graceEnded && at > rec.announced+targetLease(rec.interval) {
			kind := TargetLost
			if rec.leaving {
				kind = TargetLeft
			}
			events = append(events, Event{Kind: kind, Target: r.snapshot(rec)})
			r.health.Forget(rec.id)
			continue
		}
		kept = append(kept, rec)
		if r.becameDrained(at, rec) {
			events = append(events, Event{Kind: TargetDrained, Target: r.snapshot(rec)})
		}
	}
	clear(r.records[len(kept):])
	r.records = kept
	r.health.Tick(now)
	r.grantor.pruneNodes(at)
	return events
}

// becameDrained reports, once for each drain, that a target out of service has no work left. Attempts may start until every
// lease has ended or its holder has confirmed the reduction to 0 slots, so only a later announcement proves it.
func (r *Registry) becameDrained(at time.Duration, rec *record) bool {
	r.grantor.updateQuietSince(at, rec)
	owner, owned := r.owners[rec.id]
	if !rec.leaving && (!owned || owner.Usable) {
		rec.drained = false
		return false
	}
	idle := rec.running == 0 && rec.tasks == 0 && rec.announced >= rec.quietSince
	if !idle || rec.drained {
		return false
	}
	rec.drained = true
	return true
}

// SetOwnership applies the entry of a VM in the replicated fleet state and reports the target if this makes it drained. An
// entry with a lower fence than the known one is ignored.
func (r *Registry) SetOwnership(now time.Time, o Ownership) []Event {
	if old, ok := r.owners[o.VM]; ok && old.Fence > o.Fence {
		return nil
	}
	o.Pool = csmodel.PoolID(r.intern(string(o.Pool)))
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
	if r.becameDrained(r.elapsed(now), rec) {
		return []Event{{Kind: TargetDrained, Target: r.snapshot(rec)}}
	}
	return nil
}

// RemoveOwnership removes the ownership of a VM that the replicated fleet state no longer contains.
func (r *Registry) RemoveOwnership(vm csmodel.VMID) { delete(r.owners, vm) }

// Acknowledge adds an acknowledgement to the replies to a target until the target no longer reports the task.
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

// RemoveMoved drops the record of a target that has sent a newer announcement to another node.
func (r *Registry) RemoveMoved(vm csmodel.VMID, incarnation csmodel.Incarnation, sequence uint64) {
	index, found := r.find(vm)
	if !found || r.records[index].isStale(Announcement{Incarnation: incarnation, Sequence: sequence}) {
		return
	}
	r.records = slices.Delete(r.records, index, index+1)
	r.health.Forget(vm)
}

// StartupGraceEnded reports whether the grace period after the start of the process has passed.
func (r *Registry) StartupGraceEnded(now time.Time) bool { return r.elapsed(now) >= minTargetLease }

// Interval returns the heartbeat interval of targets in service. It grows with the number of targets, so that the heartbeat
// traffic of the node stays within maxHeartbeatRate.
func (r *Registry) Interval() time.Duration {
	interval := time.Duration(len(r.records)) * heartbeatBytes * time.Second / maxHeartbeatRate
	return max(minHeartbeatInterval, interval)
}

// targetLease returns the time without an announcement after which a target with this heartbeat interval counts as lost.
func targetLease(interval time.Duration) time.Duration {
	return max(minTargetLease, leaseHeartbeats*interval)
}

// Target returns a copy of the record of a target and whether there is one.
func (r *Registry) Target(vm csmodel.VMID) (Target, bool) {
	index, found := r.find(vm)
	if !found {
		return Target{}, false
	}
	return r.snapshot(r.records[index]), true
}

// Targets returns copies of all records, sorted by target id.
func (r *Registry) Targets() []Target {
	targets := make([]Target, 0, len(r.records))
	for _, rec := range r.records {
		targets = append(targets, r.snapshot(rec))
	}
	return targets
}

// Grantor returns the grantor of leases on the registry's targets.
func (r *Registry) Grantor() *Grantor { return r.grantor }

// Health returns the quarantine state of the registry's targets.
func (r *Registry) Health() *Health { return r.health }

func (r *Registry) find(vm csmodel.VMID) (int, bool) {
	return slices.BinarySearchFunc(r.records, vm, func(rec *record, id csmodel.VMID) int {
		return cmp.Compare(rec.id, id)
	})
}

// elapsed converts a time to the duration since the base time, as in the records. The first call sets a missing base time.
func (r *Registry) elapsed(now time.Time) time.Duration {
	if !r.baseSet {
		r.base = now
		r.baseSet = true
	}
	return now.Sub(r.base)
}

// intern returns the shared copy of a name, so that records do not keep the buffers of announcements alive.
func (r *Registry) intern(s string) string {
	if known, ok := r.interned[s]; ok {
		return known
	}
	s = strings.Clone(s)
	r.interned[s] = s
	return s
}

func (r *Registry) snapshot(rec *record) Target {
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
