package cstarget

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// connectionsPerSlot is used for targets that announce no number of connections.
const connectionsPerSlot = 8

// divide renews and changes a node's leases on the targets of a pool.
func (g *Grantor) divide(now time.Time, at time.Duration, pool csmodel.PoolID, r SlotRequest) []TargetGrant {
	state := g.nodes[r.Node]
	wanted, _ := state.wants(pool)
	var usable []*record
	var grants []TargetGrant
	capacity := 0
	for _, rec := range g.registry.records {
		if g.registry.owners[rec.id].Pool != pool {
			continue
		}
		if !g.grantable(at, rec) {
			g.withhold(at, rec, r)
			continue
		}
		if g.registry.health.Quarantined(rec.id) {
			if probe, ok := g.probe(now, at, rec, r, wanted); ok {
				grants = append(grants, probe)
			}
			continue
		}
		usable = append(usable, rec)
		capacity += int(rec.slots)
	}
	quota := g.quota(at, pool, r.Node, capacity)
	slots := g.spread(at, usable, state, r.Node, quota)
	for i, rec := range usable {
		l := rec.lease(r.Node)
		l.probe = false
		until := min(at+SlotLease, rec.grantEnd())
		l.set(at, slots[i], until, r.Sequence)
		if slots[i] > 0 {
			rec.quietAt = never
			grants = append(grants, g.export(rec, l, at))
		}
	}
	return grants
}

// grantEnd is the latest end of a lease. The target may have moved to another home node after its last announcement; that
// node grants nothing for one slot lease, counted at the earliest from one heartbeat interval after that announcement.
func (r *record) grantEnd() time.Duration { return r.announced + r.interval + SlotLease }

// grantable tells whether slots of a target may be granted at all.
func (g *Grantor) grantable(at time.Duration, rec *record) bool {
	owner := g.registry.owners[rec.id]
	return owner.Usable && owner.Pool == rec.prepared && !rec.leaving && at >= rec.grantAfter && at < rec.grantEnd()
}

// withhold lets the node's lease run out.
func (g *Grantor) withhold(at time.Duration, rec *record, r SlotRequest) {
	for i := range rec.leases {
		l := &rec.leases[i]
		if l.node == r.Node && l.slots > 0 {
			l.set(at, 0, at, r.Sequence)
		}
	}
}

// probe grants one slot of a quarantined target to one node at a time.
func (g *Grantor) probe(now time.Time, at time.Duration, rec *record, r SlotRequest, wanted int) (TargetGrant, bool) {
	l := rec.lease(r.Node)
	if l.probe && l.until > at {
		return g.export(rec, l, at), true
	}
	l.probe = false
	l.set(at, 0, at, r.Sequence)
	if wanted == 0 || rec.leased(at) >= int(rec.slots) || !g.registry.health.Probe(now, rec.id) {
		return TargetGrant{}, false
	}
	until := min(at+SlotLease, rec.grantEnd())
	l.set(at, 1, until, r.Sequence)
	l.probe = true
	rec.quietAt = never
	return g.export(rec, l, at), true
}

// quota returns the node's share of a pool's slots: its demand where all demand fits, plus, among the nodes that use the
// pool, an equal part of half of what remains, so that a burst needs no round trip and the other half serves new demand at
// once.
func (g *Grantor) quota(at time.Duration, pool csmodel.PoolID, node csmodel.NodeID, capacity int) int {
	total := 0
	active := 0
	for _, state := range g.nodes {
		if slots, listed := state.wants(pool); listed && at < state.seen+SlotLease {
			total += slots
			active++
		}
	}
	wanted, listed := g.nodes[node].wants(pool)
	if !listed {
		return 0
	}
	if total <= capacity {
		return wanted + (capacity-total)/2/max(1, active)
	}
	share := (wanted*capacity + total - 1) / total
	return min(wanted, share)
}

// spread chooses the node's slots on each target. It changes present leases as little as possible, never takes a slot in
// use and balances the rest.
func (g *Grantor) spread(at time.Duration, usable []*record, state *holderState, node csmodel.NodeID, quota int) []int {
	slots := make([]int, len(usable))
	busy := make([]int, len(usable))
	room := make([]int, len(usable)) // largest number of slots that the node may have
	total := 0
	for i, rec := range usable {
		l := rec.lease(node)
		others := rec.leased(at) - l.counted(at)
		room[i] = max(0, int(rec.slots)-others)
		busy[i] = min(state.busyOn(rec.id), room[i])
		slots[i] = busy[i]
		if l.until > at && !l.probe {
			slots[i] = max(busy[i], min(l.slots, room[i]))
		}
		total += slots[i]
	}
	for total > quota {
		i := pick(slots, func(i int) int { return slots[i] - busy[i] })
		if i < 0 {
			break
		}
		slots[i]--
		total--
	}
	for total < quota {
		i := pick(slots, func(i int) int { return room[i] - slots[i] })
		if i < 0 {
			break
		}
		slots[i]++
		total++
	}
	return slots
}

// pick returns the index with the largest positive value, or -1.
func pick(slots []int, value func(int) int) int {
	best := -1
	for i := range slots {
		if v := value(i); v > 0 && (best < 0 || v > value(best)) {
			best = i
		}
	}
	return best
}

func (g *Grantor) export(rec *record, l *lease, at time.Duration) TargetGrant {
	connections := int(rec.connections)
	if connections == 0 {
		connections = connectionsPerSlot * int(rec.slots)
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
	if left := l.until - at; left < SlotLease {
		grant.Lease = left
	}
	return grant
}
