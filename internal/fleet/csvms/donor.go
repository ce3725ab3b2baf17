package csvms

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// assignment is the state of Balance.
type assignment struct {
	pools     []*PoolView
	donors    []*donors
	transfers []Transfer
}

// donors are the VMs that may be taken from a pool, the best one first. Which VM of a pool is the best does not change
// while others are taken, so a search looks at one VM of each pool.
type donors struct {
	pool *PoolView
	vms  []*Candidate
}

func newAssignment(pools []*PoolView, candidates []Candidate) assignment {
	a := assignment{pools: pools}
	byID := make(map[csmodel.PoolID]*donors, len(pools))
	for _, p := range pools {
		byID[p.ID] = &donors{pool: p}
		a.donors = append(a.donors, byID[p.ID])
	}
	for i := range candidates {
		if d := byID[candidates[i].Pool]; d != nil {
			d.vms = append(d.vms, &candidates[i])
		}
	}
	for _, d := range a.donors {
		slices.SortFunc(d.vms, compareCandidates)
	}
	return a
}

// compareCandidates orders the VMs of a pool: idle ones first, then those that are empty soonest.
func compareCandidates(c, d *Candidate) int {
	switch {
	case c.Idle != d.Idle:
		return compareBool(d.Idle, c.Idle)
	case c.Clear != d.Clear:
		return cmp.Compare(c.Clear, d.Clear)
	default:
		return cmp.Compare(c.ID, d.ID)
	}
}

// cover takes allowed VMs to the pools that lack capacity within a horizon.
func (a *assignment) cover(h horizon, allowed func(*Candidate) bool) {
	for {
		to := neediest(h, a.pools)
		if to == nil {
			return
		}
		from, i := a.donor(h, allowed, to)
		if from == nil {
			return
		}
		c := from.vms[i]
		from.vms = slices.Delete(from.vms, i, i+1)
		from.pool.Supply -= c.CPU
		from.pool.VMs--
		to.Supply += c.CPU
		to.VMs++
		a.transfers = append(a.transfers, Transfer{VM: c.ID, To: to.ID})
	}
}

// donor returns the best VM to take for a pool by its donors and its place there, or nil.
func (a *assignment) donor(h horizon, allowed func(*Candidate) bool, to *PoolView) (best *donors, place int) {
	for _, d := range a.donors {
		if d.pool == to {
			continue
		}
		i := d.first(h, allowed)
		if i >= 0 && (best == nil || betterDonor(d.vms[i], best.vms[place], d.pool, best.pool)) {
			best, place = d, i
		}
	}
	return best, place
}

// first returns the place of the best VM that the pool can do without, or -1.
func (d *donors) first(h horizon, allowed func(*Candidate) bool) int {
	if !d.pool.Standby && d.pool.VMs <= max(d.pool.Floor, d.pool.required(h)) {
		return -1
	}
	most := -d.pool.deficit(h)
	return slices.IndexFunc(d.vms, func(c *Candidate) bool { return (d.pool.Standby || c.CPU <= most) && allowed(c) })
}

// betterDonor tells whether a VM c of a pool p is a better one to take than d of q. A VM that is off costs nothing while it
// waits, but no pool misses it.
func betterDonor(c, d *Candidate, p, q *PoolView) bool {
	return cmp.Or(
		compareBool(d.Idle, c.Idle),
		compareBool(q.Standby, p.Standby),
		cmp.Compare(p.deficit(soon), q.deficit(soon)),
		compareCandidates(c, d),
	) < 0
}
