package csvms

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// headroomFactor is the capacity that a pool should have relative to its demand. An idle VM costs about a fifteenth of what a
	// busy one earns, so excess capacity is cheaper than a shortage.
	headroomFactor = 1.25
	// minHeadroomFactor is the least capacity relative to the demand: tasks do not fill a VM exactly.
	minHeadroomFactor = 1.1
	// maxDrainTime is the longest time that draining a VM may take: the length of a task of the long kind. A busy phase lasts
	// some seconds and is over when a VM arrives much later.
	maxDrainTime = 2 * time.Second
	// minPoolVMs is the number of VMs that a pool keeps for the start of its next busy phase.
	minPoolVMs = 3
	// spareVMs is the number of VMs beyond those that long-running tasks need: the tasks move there while a VM is away. A pool
	// whose present work lacks CPU gets the spare VM of another pool.
	spareVMs = 1
	// memoryHeadroomFactor allows for remainders of memory that no task fits into.
	memoryHeadroomFactor = 1.3
)

// Candidate is a VM that may be taken from its pool.
type Candidate struct {
	ID          csmodel.VMID
	Pool        csmodel.PoolID
	CPU         csmodel.MilliCPU
	Idle        bool          // it has no runs
	DrainTime   time.Duration // until its runs have ended if it gets no new ones
	LongRunning bool          // it runs a long-running task
	IdleSince   time.Time     // start of the idle time; zero if it is busy
}

// PoolView is the supply and the demand of a pool, in millicores.
type PoolView struct {
	ID            csmodel.PoolID
	Standby       bool
	PresentDemand csmodel.MilliCPU // work that wants to run now or soon
	// ExpectedDemand is work that the forecast expects soon. It gets only VMs that present work does not need.
	ExpectedDemand csmodel.MilliCPU
	CertainDemand  csmodel.MilliCPU // reliable part of ExpectedDemand, for which busy VMs are drained
	Supply         csmodel.MilliCPU // CPU of the VMs that are up or on their way
	VMs            int              // number of VMs that are up or on their way
	MinVMs         int              // number of VMs that it keeps even when it is quiet
	RequiredVMs    int              // number of VMs that its long-running tasks need, with a spare one
}

// Transfer is a move of a VM to a pool.
type Transfer struct {
	VM csmodel.VMID
	To csmodel.PoolID
}

// capacityGoal is the capacity that one pass of Balance aims for.
type capacityGoal struct {
	desired     func(*PoolView) csmodel.MilliCPU // CPU that a pool should have
	useSpareVMs bool                             // the spare VMs of long-running tasks may be taken and used
}

func scale(work csmodel.MilliCPU, factor float64) csmodel.MilliCPU {
	return csmodel.MilliCPU(factor * float64(work))
}

var (
	// presentMinimum is the least capacity for the present demand.
	presentMinimum = capacityGoal{func(p *PoolView) csmodel.MilliCPU { return scale(p.PresentDemand, minHeadroomFactor) }, true}
	// presentDesired is the present demand with headroom.
	presentDesired = capacityGoal{func(p *PoolView) csmodel.MilliCPU { return scale(p.PresentDemand, headroomFactor) }, false}
	// forecastMinimum is the least capacity for the larger of the present and the certain demand.
	forecastMinimum = capacityGoal{func(p *PoolView) csmodel.MilliCPU {
		return scale(max(p.PresentDemand, p.CertainDemand), minHeadroomFactor)
	}, true}
	// forecastDesired is the larger of the present and the expected demand with headroom.
	forecastDesired = capacityGoal{func(p *PoolView) csmodel.MilliCPU {
		return scale(max(p.PresentDemand, p.ExpectedDemand), headroomFactor)
	}, false}
)

// requiredFor returns the number of VMs that a pool needs for its long-running tasks under a goal.
func (p *PoolView) requiredFor(goal capacityGoal) int {
	if goal.useSpareVMs {
		return p.RequiredVMs - spareVMs
	}
	return p.RequiredVMs
}

// deficit returns the CPU that a pool lacks; a negative value is a surplus. A pool with too few VMs has a deficit however much
// CPU it has.
func (p *PoolView) deficit(goal capacityGoal) csmodel.MilliCPU {
	d := goal.desired(p) - p.Supply
	if p.VMs < p.requiredFor(goal) {
		d = max(d, 1)
	}
	return d
}

// requiredVMs returns the number of VMs that long-running tasks need to be spread over and to have their memory, with a spare
// one. It is 0 if there are no such tasks. memory and memoryPerVM are in the same unit.
func requiredVMs(spread int, memory, memoryPerVM float64) int {
	n := spread
	if memoryPerVM > 0 {
		n = max(n, int(math.Ceil(memoryHeadroomFactor*memory/memoryPerVM)))
	}
	if n == 0 {
		return 0
	}
	return n + spareVMs
}

// Balance returns the transfers that cover the deficits, the largest one first, with idle VMs of the pools with the largest
// surplus. Present demand goes before expected demand. Where the idle VMs do not cover the least capacity for present demand,
// busy VMs are drained for it: a pool whose busy phase is over would otherwise keep them for its last runs. Balance updates the
// views to the state after the transfers.
func Balance(pools []*PoolView, candidates []Candidate) []Transfer {
	planner := newTransferPlanner(pools, candidates)
	planner.coverDeficits(presentMinimum, idleOrDrainable)
	planner.coverDeficits(presentDesired, idleOnly)
	planner.coverDeficits(forecastMinimum, idleOrDrainable)
	planner.coverDeficits(forecastDesired, idleOnly)
	return planner.transfers
}

// idleOnly allows only idle VMs.
func idleOnly(c *Candidate) bool { return c.Idle }

// idleOrDrainable allows idle VMs and those without long-running tasks that can be drained within maxDrainTime.
func idleOrDrainable(c *Candidate) bool {
	return c.Idle || (!c.LongRunning && c.DrainTime <= maxDrainTime)
}

// largestDeficit returns the active pool (one that is not a standby pool) with the largest deficit, or nil if none has a deficit.
func largestDeficit(goal capacityGoal, pools []*PoolView) *PoolView {
	var best *PoolView
	for _, p := range pools {
		if p.Standby || p.deficit(goal) <= 0 {
			continue
		}
		if best == nil || p.deficit(goal) > best.deficit(goal) {
			best = p
		}
	}
	return best
}

// canSpare reports whether a pool still meets the goal and its least number of VMs after it loses a VM with this CPU.
func canSpare(goal capacityGoal, p *PoolView, cpu csmodel.MilliCPU) bool {
	if p.Standby {
		return true
	}
	return p.VMs > max(p.MinVMs, p.requiredFor(goal)) && p.deficit(goal)+cpu <= 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
