package csvms

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// peakWindow is how long the pools together keep the VMs that they needed at one time. It is longer than a turn of a pool and
	// the change to the next one, in which two pools need VMs.
	peakWindow = 20 * time.Second
	// parkAfterIdle is how long a VM has to be idle before it is switched off. A pause between two tasks of a busy pool is
	// shorter.
	parkAfterIdle = time.Second
)

// slidingMax is the maximum number of VMs over the last peakWindow. The zero value is ready to use.
type slidingMax struct {
	samples []vmSample // in order of time, with decreasing numbers of VMs
}

type vmSample struct {
	at  time.Time
	vms int
}

// observe adds a sample.
func (p *slidingMax) observe(now time.Time, vms int) {
	for n := len(p.samples); n > 0 && p.samples[n-1].vms <= vms; n-- {
		p.samples = p.samples[:n-1]
	}
	p.samples = append(p.samples, vmSample{now, vms})
	for now.Sub(p.samples[0].at) > peakWindow {
		p.samples = p.samples[1:]
	}
}

// maximum returns the largest sample in the window, or 0 if there is none.
func (p *slidingMax) maximum() int {
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0].vms
}

// totalDesiredVMs returns the number of VMs with the CPU cpuPerVM that all pools together should have for present and expected
// demand.
func totalDesiredVMs(pools []*PoolView, cpuPerVM csmodel.MilliCPU) int {
	if cpuPerVM <= 0 {
		return 0
	}
	n := 0
	for _, p := range pools {
		if !p.Standby {
			n += max(p.MinVMs, p.requiredFor(forecastDesired), int((forecastDesired.desired(p)+cpuPerVM-1)/cpuPerVM))
		}
	}
	return n
}

// mayPark reports whether this leader has seen enough of the demand to switch VMs off: the current turn from its start, or a
// whole peakWindow. Shortly after a change of the leader, little work arrives although clients are about to return.
func (f *Fleet) mayPark(now time.Time) bool {
	last, _, _ := f.forecast.currentTurn()
	return last.pool != "" && (last.at.After(f.leadingSince) || now.Sub(f.leadingSince) >= peakWindow)
}

// Park returns the transfers to a standby pool of idle VMs beyond the keepVMs that the pools together keep, and updates the
// views. It is called after Balance, with its transfers as planned. Which pools hold the kept VMs does not matter, because a VM
// arrives from the standby pool as fast as from any other one.
func Park(now time.Time, pools []*PoolView, candidates []Candidate, planned []Transfer, keepVMs int) []Transfer {
	standby, activeVMs := standbyPool(pools)
	if standby == nil {
		return nil
	}
	idle := parkableVMs(now, candidates, planned)
	var out []Transfer
	for ; activeVMs > keepVMs; activeVMs-- {
		p := largestSurplus(pools, idle)
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

// standbyPool returns the first standby pool, or nil, and the number of VMs in active pools.
func standbyPool(pools []*PoolView) (standby *PoolView, activeVMs int) {
	for _, p := range pools {
		switch {
		case !p.Standby:
			activeVMs += p.VMs
		case standby == nil:
			standby = p
		}
	}
	return standby, activeVMs
}

// parkableVMs returns the VMs of each pool that have been idle for parkAfterIdle and have no planned transfer.
func parkableVMs(now time.Time, candidates []Candidate, planned []Transfer) map[csmodel.PoolID][]Candidate {
	taken := csmodel.NewSet[csmodel.VMID]()
	for _, t := range planned {
		taken.Add(t.VM)
	}
	idle := map[csmodel.PoolID][]Candidate{}
	for _, c := range candidates {
		if c.Idle && !taken.Has(c.ID) && now.Sub(c.IdleSince) >= parkAfterIdle {
			idle[c.Pool] = append(idle[c.Pool], c)
		}
	}
	return idle
}

// largestSurplus returns the active pool with the largest surplus that can spare its first idle VM, or nil.
func largestSurplus(pools []*PoolView, idle map[csmodel.PoolID][]Candidate) *PoolView {
	var best *PoolView
	for _, p := range pools {
		vms := idle[p.ID]
		if p.Standby || len(vms) == 0 || !canSpare(forecastDesired, p, vms[0].CPU) {
			continue
		}
		if best == nil || p.deficit(forecastDesired) < best.deficit(forecastDesired) {
			best = p
		}
	}
	return best
}
