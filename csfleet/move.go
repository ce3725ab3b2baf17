package csfleet

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

type route struct{ from, to csmodel.PoolID }

// move starts the moves that the capacity policy wants and that are not under way.
func (t *tick) move(wanted []Wanted) {
	if len(wanted) == 0 {
		return
	}
	active := t.activeMoves()
	for _, w := range wanted {
		r := route{from: w.From, to: w.To}
		missing := w.Count - active[r]
		active[r] += t.startMoves(w, missing)
	}
}

func (t *tick) activeMoves() map[route]int {
	active := make(map[route]int)
	for _, v := range t.m.order {
		if v.InMove() {
			active[route{from: v.From, to: v.To}]++
		}
	}
	for _, s := range t.pending {
		if s.step == StepMove {
			active[route{from: s.from, to: s.to}]++
		}
	}
	return active
}

func (t *tick) startMoves(w Wanted, count int) int {
	to, ok := t.m.pools[w.To]
	if !ok || !to.configured || count <= 0 {
		return 0
	}
	candidates, zones := t.movable(w, to)
	started := 0
	for started < count && len(candidates) > 0 {
		i := t.pick(candidates, zones, w)
		v := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		if !t.affordable(v, w.To) {
			continue
		}
		t.start(v, start{step: StepMove, from: w.From, to: w.To})
		t.propose(StartMove{VM: v.ID, Fence: v.Fence, To: w.To, Permanent: w.Permanent})
		zones[v.Zone]--
		started++
	}
	return started
}

// movable returns the VMs that may make a move, and the number of serving VMs of the source by zone.
func (t *tick) movable(w Wanted, to *pool) ([]*VM, map[csmodel.AvailabilityZone]int) {
	var candidates []*VM
	zones := make(map[csmodel.AvailabilityZone]int)
	for _, v := range t.m.order {
		if v.Pool != w.From || v.State != Serving || t.cut(v.Zone) {
			continue
		}
		zones[v.Zone]++
		_, pending := t.pending[v.ID]
		blocked := w.Permanent && w.To != v.Home && !t.m.pool(v.Home).canGiveUp()
		if !pending && !blocked && to.accepts(v.Zone) {
			candidates = append(candidates, v)
		}
	}
	return candidates, zones
}

// pick returns the best candidate: VMs that return home first, then home VMs of the source, then from the zone with the
// most serving VMs, without deferred tasks and with the fewest attempts.
func (t *tick) pick(candidates []*VM, zones map[csmodel.AvailabilityZone]int, w Wanted) int {
	best := 0
	for i, v := range candidates {
		if t.compare(v, candidates[best], zones, w) < 0 {
			best = i
		}
	}
	return best
}

func (t *tick) compare(a, b *VM, zones map[csmodel.AvailabilityZone]int, w Wanted) int {
	return cmp.Or(
		cmp.Compare(kinship(a, w), kinship(b, w)),
		cmp.Compare(zones[b.Zone], zones[a.Zone]),
		cmp.Compare(t.m.tasks.Held(a.ID), t.m.tasks.Held(b.ID)),
		cmp.Compare(t.attempts(a.ID), t.attempts(b.ID)),
		cmp.Compare(a.ID, b.ID),
	)
}

func kinship(v *VM, w Wanted) int {
	switch v.Home {
	case w.To:
		return 0
	case w.From:
		return 1
	default:
		return 2
	}
}

func (t *tick) attempts(id csmodel.VMID) int {
	if ob, ok := t.seen[id]; ok {
		return ob.Attempts
	}
	return 0
}

// affordable tells whether the budget allows a voluntary step together with those that are not committed yet.
func (t *tick) affordable(v *VM, to csmodel.PoolID) bool {
	if t.m.allows(v, to) != OK || t.cut(v.Zone) {
		return false
	}
	if v.Lent() && to == v.Home || !t.m.pool(v.Home).configured {
		return true
	}
	a, used, limit := t.m.budget.account(t.m, v)
	used += t.started[a]
	if t.m.available(v) {
		used++
	}
	return used <= limit
}

// start notes a voluntary step until it is committed.
func (t *tick) start(v *VM, s start) {
	s.fence = v.Fence
	s.until = t.now.Add(pendingTime)
	t.pending[v.ID] = s
	if t.m.available(v) {
		a, _, _ := t.m.budget.account(t.m, v)
		t.started[a]++
	}
}
