package cstarget

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// defaultConnectionsPerSlot applies to targets that announce no number of connections.
const defaultConnectionsPerSlot = 8

// allocate renews and resizes a node's leases on the targets of a pool and returns the resulting grants.
func (g *Grantor) allocate(now time.Time, at time.Duration, pool csmodel.PoolID, r SlotRequest) []TargetGrant {
	state := g.nodes[r.Node]
	demanded, _ := state.demandFor(pool)
	var usable []*record
	var grants []TargetGrant
	capacity := 0
	for _, rec := range g.registry.records {
		if g.registry.owners[rec.id].Pool != pool {
			continue
		}
		if !g.grantable(at, rec) {
			g.revoke(at, rec, r)
			continue
		}
		if g.registry.health.Quarantined(rec.id) {
			if probe, ok := g.probe(now, at, rec, r, demanded); ok {
				grants = append(grants, probe)
			}
			continue
		}
		usable = append(usable, rec)
		capacity += int(rec.slots)
	}
	quota := g.quota(at, pool, r.Node, capacity)
	slots := g.distribute(at, usable, state, r.Node, quota)
	for i, rec := range usable {
		l := rec.leaseOf(r.Node)
		l.probe = false
		until := min(at+SlotLease, rec.maxLeaseEnd())
		l.set(at, slots[i], until, r.Sequence)
		if slots[i] > 0 {
			rec.quietSince = never
			grants = append(grants, g.targetGrant(rec, l, at))
		}
	}
	return grants
}

// maxLeaseEnd returns the latest time at which a lease on the target may end. The target may have moved to another home
// node after its last announcement. That node grants nothing for one slot lease, which begins no earlier than one heartbeat
// interval after that announcement.
func (r *record) maxLeaseEnd() time.Duration { return r.announced + r.interval + SlotLease }

// grantable reports whether slots of a target may be granted at all.
func (g *Grantor) grantable(at time.Duration, rec *record) bool {
	owner := g.registry.owners[rec.id]
	return owner.Usable && owner.Pool == rec.prepared && !rec.leaving && at >= rec.grantAfter && at < rec.maxLeaseEnd()
}

// revoke reduces the node's lease to 0 slots. The previous slots stay reserved until the node confirms the reduction or the
// lease has ended.
func (g *Grantor) revoke(at time.Duration, rec *record, r SlotRequest) {
	for i := range rec.leases {
		l := &rec.leases[i]
		if l.node == r.Node && l.slots > 0 {
			l.set(at, 0, at, r.Sequence)
		}
	}
}

// probe grants one slot of a quarantined target to one node at a time. It reports whether this node holds the slot.
func (g *Grantor) probe(now time.Time, at time.Duration, rec *record, r SlotRequest, demanded int) (TargetGrant, bool) {
	l := rec.leaseOf(r.Node)
	if l.probe && l.until > at {
		return g.targetGrant(rec, l, at), true
	}
	l.probe = false
	l.set(at, 0, at, r.Sequence)
	if demanded == 0 || rec.reservedSlots(at) >= int(rec.slots) || !g.registry.health.Probe(now, rec.id) {
		return TargetGrant{}, false
	}
	until := min(at+SlotLease, rec.maxLeaseEnd())
	l.set(at, 1, until, r.Sequence)
	l.probe = true
	rec.quietSince = never
	return g.targetGrant(rec, l, at), true
}

// quota returns the node's share of a pool's slots. If the capacity covers the demand of all nodes, the share is the
// node's own demand plus an equal part, among the nodes that use the pool, of half of the spare slots: a burst then needs no
// round trip, and the other half is free for new demand at once. Otherwise the capacity is shared in proportion to demand.
func (g *Grantor) quota(at time.Duration, pool csmodel.PoolID, node csmodel.NodeID, capacity int) int {
	totalDemand := 0
	activeNodes := 0
	for _, state := range g.nodes {
		if slots, listed := state.demandFor(pool); listed && at < state.lastRequest+SlotLease {
			totalDemand += slots
			activeNodes++
		}
	}
	demanded, listed := g.nodes[node].demandFor(pool)
	if !listed {
		return 0
	}
	if totalDemand <= capacity {
		return demanded + (capacity-totalDemand)/2/max(1, activeNodes)
	}
	share := (demanded*capacity + totalDemand - 1) / totalDemand
	return min(demanded, share)
}

// distribute returns the node's number of slots on each target. It changes existing leases as little as possible, never
// takes away a slot in use, and balances the rest over the targets.
func (g *Grantor) distribute(at time.Duration, usable []*record, state *holderState, node csmodel.NodeID, quota int) []int {
	slots := make([]int, len(usable))
	busy := make([]int, len(usable))
	limit := make([]int, len(usable)) // largest number of slots that the node may have
	total := 0
	for i, rec := range usable {
		l := rec.leaseOf(node)
		reservedByOthers := rec.reservedSlots(at) - l.reservedSlots(at)
		limit[i] = max(0, int(rec.slots)-reservedByOthers)
		busy[i] = min(state.busyOn(rec.id), limit[i])
		slots[i] = busy[i]
		if l.until > at && !l.probe {
			slots[i] = max(busy[i], min(l.slots, limit[i]))
		}
		total += slots[i]
	}
	for total > quota {
		i := argMaxPositive(slots, func(i int) int { return slots[i] - busy[i] })
		if i < 0 {
			break
		}
		slots[i]--
		total--
	}
	for total < quota {
		i := argMaxPositive(slots, func(i int) int { return limit[i] - slots[i] })
		if i < 0 {
			break
		}
		slots[i]++
		total++
	}
	return slots
}

// argMaxPositive returns the first index with the largest positive value, or -1 if no value is positive.
func argMaxPositive(slots []int, value func(int) int) int {
	best := -1
	for i := range slots {
		if v := value(i); v > 0 && (best < 0 || v > value(best)) {
			best = i
		}
	}
	return best
}

func (g *Grantor) targetGrant(rec *record, l *lease, at time.Duration) TargetGrant {
	connections := int(rec.connections)
	if connections == 0 {
		connections = defaultConnectionsPerSlot * int(rec.slots)
	}
	grant := TargetGrant{
		Target:      rec.id,
		Incarnation: rec.incarnation,
		Address:     rec.address,
		Pool:        g.registry.owners[rec.id].Pool,
		Zone:        rec.zone,
		Slots:       l.slots,
		Connections: max(1, connections*l.slots/max(1, int(rec.slots))),
		Probe:       l.probe,
	}
	if remaining := l.until - at; remaining < SlotLease {
		grant.Lease = remaining
	}
	return grant
}
