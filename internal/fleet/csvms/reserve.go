package csvms

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// keepFor is how long the pools together keep the VMs that they needed at one time. It is longer than a turn of a pool and
	// the change to the next one, in which two pools need VMs.
	keepFor = 20 * time.Second
	// parkAfter is how long a VM has been idle before it is switched off. A pause between two tasks of a busy pool is shorter.
	parkAfter = time.Second
)

// peaks holds the largest values of the last keepFor. The zero value works.
type peaks struct {
	samples []peak // in order of time, from the largest value to the newest one
}

type peak struct {
	at  time.Time
	vms int
}

// observe takes in a value.
func (p *peaks) observe(now time.Time, vms int) {
	for n := len(p.samples); n > 0 && p.samples[n-1].vms <= vms; n-- {
		p.samples = p.samples[:n-1]
	}
	p.samples = append(p.samples, peak{now, vms})
	for now.Sub(p.samples[0].at) > keepFor {
		p.samples = p.samples[1:]
	}
}

// highest returns the largest value, or 0 where there is none.
func (p *peaks) highest() int {
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0].vms
}

// wanted returns the VMs of a size that all pools together should have for present and expected work.
func wanted(pools []*PoolView, perVM csmodel.MilliCPU) int {
	if perVM <= 0 {
		return 0
	}
	n := 0
	for _, p := range pools {
		if !p.Standby {
			n += max(p.Floor, p.required(soon), int((soon.capacity(p)+perVM-1)/perVM))
		}
	}
	return n
}

// mayPark tells whether this leader has seen enough of the demand to switch VMs off: the present turn from its beginning,
// or keepFor. Shortly after a change of the leader, little work arrives although clients are about to come back.
func (f *Fleet) mayPark(now time.Time) bool {
	last, _, _ := f.forecast.present()
	return last.pool != "" && (last.at.After(f.since) || now.Sub(f.since) >= keepFor)
}

// Park returns the transfers to a standby pool of idle VMs beyond those that the pools together keep. It is called after
// Balance. Which pools hold the kept VMs does not matter, because a VM comes from the standby pool as fast as from any
// other one.
func Park(now time.Time, pools []*PoolView, candidates []Candidate, moved []Transfer, keep int) []Transfer {
	standby, working := standbyPool(pools)
	if standby == nil {
		return nil
	}
	idle := parkable(now, candidates, moved)
	var out []Transfer
	for ; working > keep; working-- {
		p := sparest(pools, idle)
		if p == nil {
			break
		}
		c := idle[p.ID][0]
		idle[p.ID] = idle[p.ID][1:]
		p.Supply -= c.CPU
		p.VMs--
		out = append(out, Transfer{VM: c.ID, To: standby.ID})
	}
	return out
}

// standbyPool returns the first standby pool, or nil, and the number of VMs of the working pools.
func standbyPool(pools []*PoolView) (standby *PoolView, working int) {
	for _, p := range pools {
		switch {
		case !p.Standby:
			working += p.VMs
		case standby == nil:
			standby = p
		}
	}
	return standby, working
}

// parkable returns the VMs of each pool that have been idle for a while and are not moved already.
func parkable(now time.Time, candidates []Candidate, moved []Transfer) map[csmodel.PoolID][]Candidate {
	taken := csmodel.NewSet[csmodel.VMID]()
	for _, t := range moved {
		taken.Add(t.VM)
	}
	idle := map[csmodel.PoolID][]Candidate{}
	for _, c := range candidates {
		if c.Idle && !taken.Has(c.ID) && now.Sub(c.Since) >= parkAfter {
			idle[c.Pool] = append(idle[c.Pool], c)
		}
	}
	return idle
}

// sparest returns the working pool with the largest surplus that can do without its first idle VM, or nil.
func sparest(pools []*PoolView, idle map[csmodel.PoolID][]Candidate) *PoolView {
	var best *PoolView
	for _, p := range pools {
		vms := idle[p.ID]
		if p.Standby || len(vms) == 0 || !spares(soon, p, vms[0].CPU) {
			continue
		}
		if best == nil || p.deficit(soon) < best.deficit(soon) {
			best = p
		}
	}
	return best
}
