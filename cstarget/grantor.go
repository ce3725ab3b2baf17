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

// forgetNode is the time without a request after which the request sequence of a node is forgotten. It exceeds the age of
// any message that links still deliver.
const forgetNode = time.Minute

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

// holderState is what the grantor knows about a node that asks for slots.
type holderState struct {
	incarnation csmodel.Incarnation
	sequence    uint64
	seen        time.Duration
	demand      []PoolDemand
	busy        []TargetUse // in the order of target ids
}

// wants returns the slots that a node demands in a pool, and whether the node uses the pool at all.
func (s *holderState) wants(pool csmodel.PoolID) (slots int, listed bool) {
	for _, d := range s.demand {
		if d.Pool == pool {
			return max(0, d.Slots), true
		}
	}
	return 0, false
}

func (s *holderState) busyOn(vm csmodel.VMID) int {
	for _, u := range s.busy {
		if u.Target == vm {
			return u.Busy
		}
	}
	return 0
}

// Grantor divides the slots of the home node's targets among nodes. The unexpired leases of a target never exceed its
// slots.
type Grantor struct {
	registry *Registry
	nodes    map[csmodel.NodeID]*holderState
}

// Request handles a request for slots and returns the grant. A grant with lease 0 answers an outdated request and is
// ignored by the holder.
func (g *Grantor) Request(now time.Time, r SlotRequest) SlotGrant {
	at := g.registry.since(now)
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
		// The previous process may still use its slots until its leases end.
		g.retire(r.Node, state.incarnation)
		state.incarnation = r.Incarnation
	}
	state.sequence = r.Sequence
	state.seen = at
	state.demand = r.Demand
	state.busy = r.Uses
	g.observe(now, r.Uses)
	g.confirm(r.Node, r.Applied)
	grant.Lease = SlotLease
	for _, pool := range g.pools() {
		grant.Targets = append(grant.Targets, g.divide(now, at, pool, r)...)
	}
	return grant
}

// Release ends all leases of a node that stops in order. The node must have no attempt in flight.
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

// Leased returns the number of slots of a target in unexpired leases.
func (g *Grantor) Leased(now time.Time, vm csmodel.VMID) int {
	index, found := g.registry.find(vm)
	if !found {
		return 0
	}
	return g.registry.records[index].leased(g.registry.since(now))
}

func (g *Grantor) observe(now time.Time, uses []TargetUse) {
	for _, u := range uses {
		if index, found := g.registry.find(u.Target); found && g.registry.records[index].incarnation == u.Incarnation {
			g.registry.health.Observe(now, u)
		}
	}
}

func (g *Grantor) confirm(node csmodel.NodeID, applied uint64) {
	for _, rec := range g.registry.records {
		for i := range rec.leases {
			if rec.leases[i].node == node {
				rec.leases[i].confirm(applied)
			}
		}
	}
}

// retire makes the present leases of a node count until they end, whatever its next process confirms.
func (g *Grantor) retire(node csmodel.NodeID, incarnation csmodel.Incarnation) {
	retired := csmodel.NodeID(fmt.Sprintf("%s#%d", node, incarnation))
	for _, rec := range g.registry.records {
		for i := range rec.leases {
			if rec.leases[i].node == node {
				rec.leases[i].node = retired
			}
		}
		slices.SortFunc(rec.leases, func(a, b lease) int { return cmp.Compare(a.node, b.node) })
	}
}

// settle records since when a target is quiet: no node holds an unexpired lease, none has reported an attempt in flight
// within the last slot lease, and no earlier home node can have leases out. The attempts of a node that went silent end
// up in the target's own count of running attempts.
func (g *Grantor) settle(at time.Duration, rec *record) {
	active := at < rec.grantAfter || rec.leased(at) > 0
	for _, state := range g.nodes {
		active = active || at < state.seen+SlotLease && state.busyOn(rec.id) > 0
	}
	switch {
	case active:
		rec.quietAt = never
	case rec.quietAt == never:
		rec.quietAt = at
	}
}

// prune forgets nodes that stopped asking.
func (g *Grantor) prune(at time.Duration) {
	for node, state := range g.nodes {
		if at > state.seen+forgetNode {
			delete(g.nodes, node)
		}
	}
}

// pools returns the pools of the home node's targets in order.
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
