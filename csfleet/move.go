package csfleet

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

type poolPair struct{ from, to csmodel.PoolID }

// planMoves starts the moves that the capacity policy wants and that are not yet under way.
func (t *tick) planMoves(wanted []WantedMoves) {
	if len(wanted) == 0 {
		return
	}
	active := t.activeMoves()
	for _, w := range wanted {
		r := poolPair{from: w.From, to: w.To}
		missing := w.Count - active[r]
		active[r] += t.startMoves(w, missing)
	}
}

func (t *tick) activeMoves() map[poolPair]int {
	active := make(map[poolPair]int)
	for _, v := range t.m.sortedVMs {
		if v.InMove() {
			active[poolPair{from: v.From, to: v.To}]++
		}
	}
	for _, s := range t.pending {
		if s.step == StepMove {
			active[poolPair{from: s.from, to: s.to}]++
		}
	}
	return active
}

func (t *tick) startMoves(w WantedMoves, count int) int {
	to, ok := t.m.pools[w.To]
	if !ok || !to.configured || count <= 0 {
		return 0
	}
	candidates, servingByZone := t.moveCandidates(w, to)
	started := 0
	for started < count && len(candidates) > 0 {
		i := t.bestCandidate(candidates, servingByZone, w)
		v := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		if !t.withinBudget(v, w.To) {
			continue
		}
		t.recordPending(v, pendingStep{step: StepMove, from: w.From, to: w.To})
		t.propose(StartMove{VM: v.ID, Fence: v.Fence, To: w.To, Permanent: w.Permanent})
		servingByZone[v.Zone]--
		started++
	}
	return started
}

// moveCandidates returns the VMs that may make a move, and the number of serving VMs of the source pool by zone.
func (t *tick) moveCandidates(w WantedMoves, to *pool) ([]*VM, map[csmodel.AvailabilityZone]int) {
	var candidates []*VM
	servingByZone := make(map[csmodel.AvailabilityZone]int)
	for _, v := range t.m.sortedVMs {
		if v.Pool != w.From || v.State != Serving || t.zoneUnavailable(v.Zone) {
			continue
		}
		servingByZone[v.Zone]++
		_, pending := t.pending[v.ID]
		blocked := w.Permanent && w.To != v.Home && !t.m.pool(v.Home).canReleaseHomeVM()
		if !pending && !blocked && to.accepts(v.Zone) {
			candidates = append(candidates, v)
		}
	}
	return candidates, servingByZone
}

// bestCandidate returns the index of the best candidate: VMs that return home first, then home VMs of the source, then
// from the zone with the most serving VMs, without deferred tasks and with the fewest attempts.
func (t *tick) bestCandidate(candidates []*VM, servingByZone map[csmodel.AvailabilityZone]int, w WantedMoves) int {
	best := 0
	for i, v := range candidates {
		if t.compareCandidates(v, candidates[best], servingByZone, w) < 0 {
			best = i
		}
	}
	return best
}

func (t *tick) compareCandidates(a, b *VM, servingByZone map[csmodel.AvailabilityZone]int, w WantedMoves) int {
	return cmp.Or(
		cmp.Compare(homePreference(a, w), homePreference(b, w)),
		cmp.Compare(servingByZone[b.Zone], servingByZone[a.Zone]),
		cmp.Compare(t.m.tasks.LeaseCount(a.ID), t.m.tasks.LeaseCount(b.ID)),
		cmp.Compare(t.attempts(a.ID), t.attempts(b.ID)),
		cmp.Compare(a.ID, b.ID),
	)
}

func homePreference(v *VM, w WantedMoves) int {
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
	if ob, ok := t.observed[id]; ok {
		return ob.Attempts
	}
	return 0
}

// withinBudget reports whether the budget allows a voluntary step in addition to those that are not committed yet.
func (t *tick) withinBudget(v *VM, to csmodel.PoolID) bool {
	if t.m.checkBudget(v, to) != OK || t.zoneUnavailable(v.Zone) {
		return false
	}
	if v.Lent() && to == v.Home || !t.m.pool(v.Home).configured {
		return true
	}
	a, used, limit := t.m.budget.account(t.m, v)
	used += t.uncounted[a]
	if t.m.available(v) {
		used++
	}
	return used <= limit
}

// recordPending keeps a proposed step until it is committed or expires, and charges it to the budget in this tick.
func (t *tick) recordPending(v *VM, s pendingStep) {
	s.fence = v.Fence
	s.expiry = t.now.Add(pendingTimeout)
	t.pending[v.ID] = s
	if t.m.available(v) {
		a, _, _ := t.m.budget.account(t.m, v)
		t.uncounted[a]++
	}
}
