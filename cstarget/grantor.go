package cstarget

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// SlotLease is the length of a slot lease.
const SlotLease = 2 * time.Second

// nodeStateTTL is the time without a request after which the state of a node, with its request sequence, is dropped. It
// exceeds the age of any message that links still deliver, so that a delayed request is never taken for a new one.
const nodeStateTTL = time.Minute

// SlotRequest asks a home node for slots and renews the leases held. It replaces all earlier requests of the same node.
type SlotRequest struct {
	Node        csmodel.NodeID      `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64              `cbor:"3,keyasint"`
	// Applied is the sequence of the last grant that the holder applied. It confirms the reductions in that grant.
	Applied uint64       `cbor:"4,keyasint,omitempty"`
	Demand  []PoolDemand `cbor:"5,keyasint,omitempty"`
	Uses    []TargetUse  `cbor:"6,keyasint,omitempty"`
}

// PoolDemand is the number of slots that a node needs in a pool.
type PoolDemand struct {
	Pool  csmodel.PoolID `cbor:"1,keyasint"`
	Slots int            `cbor:"2,keyasint"`
}

// TargetUse reports the attempts that a node has in flight on a target (InFlight) and the numbers of successes (Succeeded) and
// failures (Failed) since the previous report.
type TargetUse struct {
	Target      csmodel.VMID        `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	InFlight    int                 `cbor:"3,keyasint,omitempty"`
	Succeeded   int                 `cbor:"4,keyasint,omitempty"`
	Failed      int                 `cbor:"5,keyasint,omitempty"`
}

// SlotGrant answers a SlotRequest. It replaces all earlier grants of the home node to the same node.
type SlotGrant struct {
	Home     csmodel.NodeID `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"` // Sequence of the answered request
	Lease    time.Duration  `cbor:"3,keyasint"` // counted from the time the holder sent the request
	Targets  []TargetGrant  `cbor:"4,keyasint,omitempty"`
}

// TargetGrant is the part of a SlotGrant for one target.
type TargetGrant struct {
	Target      csmodel.VMID             `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation      `cbor:"2,keyasint"`
	Address     string                   `cbor:"3,keyasint"`
	Pool        csmodel.PoolID           `cbor:"4,keyasint"`
	Zone        csmodel.AvailabilityZone `cbor:"5,keyasint"`
	Slots       int                      `cbor:"6,keyasint"`
	Connections int                      `cbor:"7,keyasint"`
	Probe       bool                     `cbor:"8,keyasint,omitempty"`
	// Lease is the length of the lease on this target. It is shorter than SlotGrant.Lease if the target's announcement is
	// overdue; 0 means SlotGrant.Lease.
	Lease time.Duration `cbor:"9,keyasint,omitempty"`
}

// holderState is the last request of a node.
type holderState struct {
	incarnation csmodel.Incarnation
	sequence    uint64
	lastRequest time.Duration
	demand      []PoolDemand
	uses        []TargetUse // sorted by target id
}

// demandFor returns the node's demand for slots of a pool and whether its request lists the pool at all.
func (s *holderState) demandFor(pool csmodel.PoolID) (slots int, listed bool) {
	for _, d := range s.demand {
		if d.Pool == pool {
			return max(0, d.Slots), true
		}
	}
	return 0, false
}

func (s *holderState) busyOn(vm csmodel.VMID) int {
	for _, u := range s.uses {
		if u.Target == vm {
			return u.InFlight
		}
	}
	return 0
}

// Grantor leases the slots of the home node's targets to nodes. The unexpired leases on a target never exceed its slots.
type Grantor struct {
	registry *Registry
	nodes    map[csmodel.NodeID]*holderState
}

// Request handles a request for slots and returns the grant. An outdated request gets a grant with lease 0, which the
// holder ignores.
func (g *Grantor) Request(now time.Time, r SlotRequest) SlotGrant {
	at := g.registry.elapsed(now)
	grant := SlotGrant{Home: g.registry.config.Node, Sequence: r.Sequence}
	state, known := g.nodes[r.Node]
	switch {
	case !known:
		state = &holderState{incarnation: r.Incarnation}
		g.nodes[r.Node] = state
	case r.Incarnation < state.incarnation:
		return grant
	case r.Incarnation == state.incarnation && r.Sequence <= state.sequence:
		return grant
	case r.Incarnation > state.incarnation:
		// The previous process of the node may use its slots until its leases end.
		g.orphanLeases(r.Node, state.incarnation)
		state.incarnation = r.Incarnation
	}
	state.sequence = r.Sequence
	state.lastRequest = at
	state.demand = r.Demand
	state.uses = r.Uses
	g.recordOutcomes(now, r.Uses)
	g.confirmReductions(r.Node, r.Applied)
	grant.Lease = SlotLease
	for _, pool := range g.pools() {
		grant.Targets = append(grant.Targets, g.allocate(now, at, pool, r)...)
	}
	return grant
}

// Release ends all leases of a node that shuts down gracefully. The node must have no attempt in flight.
func (g *Grantor) Release(node csmodel.NodeID) {
	delete(g.nodes, node)
	for _, rec := range g.registry.records {
		kept := rec.leases[:0]
		for _, l := range rec.leases {
			if l.node != node {
				kept = append(kept, l)
			}
		}
		rec.leases = kept
	}
}

// ReservedSlots returns the number of slots of a target that nodes may be using.
func (g *Grantor) ReservedSlots(now time.Time, vm csmodel.VMID) int {
	index, found := g.registry.find(vm)
	if !found {
		return 0
	}
	return g.registry.records[index].reservedSlots(g.registry.elapsed(now))
}

func (g *Grantor) recordOutcomes(now time.Time, uses []TargetUse) {
	for _, u := range uses {
		if index, found := g.registry.find(u.Target); found && g.registry.records[index].incarnation == u.Incarnation {
			g.registry.health.Observe(now, u)
		}
	}
}

func (g *Grantor) confirmReductions(node csmodel.NodeID, applied uint64) {
	for _, rec := range g.registry.records {
		for i := range rec.leases {
			if rec.leases[i].node == node {
				rec.leases[i].confirm(applied)
			}
		}
	}
}

// orphanLeases moves the leases of a node to a holder id that no request uses. They stay reserved until they end, whatever
// the next process of the node confirms.
func (g *Grantor) orphanLeases(node csmodel.NodeID, incarnation csmodel.Incarnation) {
	orphan := csmodel.NodeID(fmt.Sprintf("%s#%d", node, incarnation))
	for _, rec := range g.registry.records {
		for i := range rec.leases {
			if rec.leases[i].node == node {
				rec.leases[i].node = orphan
			}
		}
		slices.SortFunc(rec.leases, func(a, b lease) int { return cmp.Compare(a.node, b.node) })
	}
}

// updateQuietSince records since when a target is quiet: no node holds an unexpired lease, none has reported an attempt in
// flight within the last slot lease, and no earlier home node can have unexpired leases. Attempts of a node that no longer
// sends requests still appear in the target's own count of running attempts.
func (g *Grantor) updateQuietSince(at time.Duration, rec *record) {
	active := at < rec.grantAfter || rec.reservedSlots(at) > 0
	for _, state := range g.nodes {
		active = active || at < state.lastRequest+SlotLease && state.busyOn(rec.id) > 0
	}
	switch {
	case active:
		rec.quietSince = never
	case rec.quietSince == never:
		rec.quietSince = at
	}
}

// pruneNodes drops the state of nodes that no longer send requests.
func (g *Grantor) pruneNodes(at time.Duration) {
	for node, state := range g.nodes {
		if at > state.lastRequest+nodeStateTTL {
			delete(g.nodes, node)
		}
	}
}

// pools returns the pools that own the home node's targets, sorted by id.
func (g *Grantor) pools() []csmodel.PoolID {
	var pools []csmodel.PoolID
	for _, rec := range g.registry.records {
		pool := g.registry.owners[rec.id].Pool
		if i, found := slices.BinarySearch(pools, pool); !found && pool != "" {
			pools = slices.Insert(pools, i, pool)
		}
	}
	return pools
}
