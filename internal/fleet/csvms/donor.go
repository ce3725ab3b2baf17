package csvms

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// transferPlanner is the working state of Balance.
type transferPlanner struct {
	pools     []*PoolView
	donors    []*donorPool
	transfers []Transfer
}

// donorPool holds the VMs that may be taken from a pool, the best one first. Which VM of a pool is the best does not change while
// others are taken, so a search looks at one VM of each pool.
type donorPool struct {
	pool       *PoolView
	candidates []*Candidate
}

func newTransferPlanner(pools []*PoolView, candidates []Candidate) transferPlanner {
	t := transferPlanner{pools: pools}
	byID := make(map[csmodel.PoolID]*donorPool, len(pools))
	for _, p := range pools {
		byID[p.ID] = &donorPool{pool: p}
		t.donors = append(t.donors, byID[p.ID])
	}
	for i := range candidates {
		if d := byID[candidates[i].Pool]; d != nil {
			d.candidates = append(d.candidates, &candidates[i])
		}
	}
	for _, d := range t.donors {
		slices.SortFunc(d.candidates, compareCandidates)
	}
	return t
}

// compareCandidates orders the VMs of a pool: idle ones first, then those that drain soonest.
func compareCandidates(c, d *Candidate) int {
	switch {
	case c.Idle != d.Idle:
		return compareBool(d.Idle, c.Idle)
	case c.DrainTime != d.DrainTime:
		return cmp.Compare(c.DrainTime, d.DrainTime)
	default:
		return cmp.Compare(c.ID, d.ID)
	}
}

// coverDeficits moves allowed VMs to the pools with a deficit under a goal, until none has one or no VM can be taken for the
// largest one.
func (t *transferPlanner) coverDeficits(goal capacityGoal, allowed func(*Candidate) bool) {
	for {
		to := largestDeficit(goal, t.pools)
		if to == nil {
			return
		}
		from, i := t.bestDonor(goal, allowed, to)
		if from == nil {
			return
		}
		c := from.candidates[i]
		from.candidates = slices.Delete(from.candidates, i, i+1)
		from.pool.Supply -= c.CPU
		from.pool.VMs--
		to.Supply += c.CPU
		to.VMs++
		t.transfers = append(t.transfers, Transfer{VM: c.ID, To: to.ID})
	}
}

// bestDonor returns the best VM to take for a pool, as its donor pool and its index there. The donor pool is nil if there is
// none.
func (t *transferPlanner) bestDonor(goal capacityGoal, allowed func(*Candidate) bool, to *PoolView) (best *donorPool, index int) {
	for _, d := range t.donors {
		if d.pool == to {
			continue
		}
		i := d.firstAvailable(goal, allowed)
		if i >= 0 && (best == nil || betterDonor(d.candidates[i], best.candidates[index], d.pool, best.pool)) {
			best, index = d, i
		}
	}
	return best, index
}

// firstAvailable returns the index of the best VM that the pool can spare, or -1.
func (d *donorPool) firstAvailable(goal capacityGoal, allowed func(*Candidate) bool) int {
	if !d.pool.Standby && d.pool.VMs <= max(d.pool.MinVMs, d.pool.requiredFor(goal)) {
		return -1
	}
	surplus := -d.pool.deficit(goal)
	return slices.IndexFunc(d.candidates, func(c *Candidate) bool { return (d.pool.Standby || c.CPU <= surplus) && allowed(c) })
}

// betterDonor reports whether VM c of pool p is a better one to take than VM d of pool q. VMs of a standby pool are preferred: a
// VM that is off costs nothing while it waits, but no pool misses it.
func betterDonor(c, d *Candidate, p, q *PoolView) bool {
	return cmp.Or(
		compareBool(d.Idle, c.Idle),
		compareBool(q.Standby, p.Standby),
		cmp.Compare(p.deficit(forecastDesired), q.deficit(forecastDesired)),
		compareCandidates(c, d),
	) < 0
}
