package csvms

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// headroom is the capacity that a pool should have for each unit of work that wants to run. An idle VM costs about a
	// fifteenth of what a busy one earns, so too much is cheaper than too little.
	headroom = 1.25
	// bareHeadroom is the capacity that work takes at the least: tasks do not fill a VM exactly.
	bareHeadroom = 1.1
	// longestClear is how long a VM may take to be emptied: the length of a task of the long kind. A busy phase of some
	// seconds is over when a VM comes much later.
	longestClear = 2 * time.Second
	// floorVMs is the number of VMs that a pool keeps for the first moments of its next busy phase.
	floorVMs = 3
	// spareVMs is the number of VMs beyond those that the tasks that last need: they move there while a VM is away. A pool
	// whose present work lacks cores gets the spare VM of another one.
	spareVMs = 1
	// memoryHeadroom allows for memory that no task of the right size fits into.
	memoryHeadroom = 1.3
)

// Candidate is a VM that may be taken.
type Candidate struct {
	ID    csmodel.VMID
	Pool  csmodel.PoolID
	CPU   csmodel.MilliCPU
	Idle  bool          // nothing runs there
	Clear time.Duration // until its runs have ended, if it gets no new ones
	Lasts bool          // a task that lasts runs there
	Since time.Time     // since when it has been idle
}

// PoolView is what the policy knows of a pool.
type PoolView struct {
	ID      csmodel.PoolID
	Standby bool
	Need    csmodel.MilliCPU // work that wants to run now or soon
	// Expected is work that a forecast expects soon. It takes VMs that no present work needs.
	Expected csmodel.MilliCPU
	Certain  csmodel.MilliCPU // the part of it that can be relied on, for which busy VMs are emptied
	Supply   csmodel.MilliCPU // of VMs that are up or on their way
	VMs      int              // that are up or on their way
	Floor    int              // least number of VMs that it keeps
	Required int              // least number of VMs that it must have
}

// Transfer takes a VM to a pool.
type Transfer struct {
	VM csmodel.VMID
	To csmodel.PoolID
}

// horizon is what a decision is about.
type horizon struct {
	capacity func(*PoolView) csmodel.MilliCPU // that a pool should have
	tight    bool                             // the spare VM of tasks that last counts as well
}

func scale(work csmodel.MilliCPU, by float64) csmodel.MilliCPU {
	return csmodel.MilliCPU(by * float64(work))
}

var (
	// bare is what the present work takes at the least.
	bare = horizon{func(p *PoolView) csmodel.MilliCPU { return scale(p.Need, bareHeadroom) }, true}
	// present is what the present work should have.
	present = horizon{func(p *PoolView) csmodel.MilliCPU { return scale(p.Need, headroom) }, false}
	// bareSoon also covers the least that work takes which is certain to come.
	bareSoon = horizon{func(p *PoolView) csmodel.MilliCPU { return scale(max(p.Need, p.Certain), bareHeadroom) }, true}
	// soon also covers the work that is expected.
	soon = horizon{func(p *PoolView) csmodel.MilliCPU { return scale(max(p.Need, p.Expected), headroom) }, false}
)

// required returns the VMs that a pool needs for its tasks that last.
func (p *PoolView) required(h horizon) int {
	if h.tight {
		return p.Required - spareVMs
	}
	return p.Required
}

// deficit returns what a pool lacks. A pool with too few VMs lacks something, however many cores it has.
func (p *PoolView) deficit(h horizon) csmodel.MilliCPU {
	d := h.capacity(p) - p.Supply
	if p.VMs < p.required(h) {
		d = max(d, 1)
	}
	return d
}

// requiredVMs returns the number of VMs that the tasks that last need to be spread over and to have their memory, with a
// spare one.
func requiredVMs(width int, memory, perVM float64) int {
	n := width
	if perVM > 0 {
		n = max(n, int(math.Ceil(memoryHeadroom*memory/perVM)))
	}
	if n == 0 {
		return 0
	}
	return n + spareVMs
}

// Balance returns the transfers that cover the deficits, the largest one first, from idle VMs of the pools with the
// largest surplus. Present work goes before expected work. Where the idle VMs do not cover what present work takes at the
// least, busy VMs are emptied for it: a pool whose busy phase is over would otherwise keep them for its last runs. It
// changes the views to what they will be.
func Balance(pools []*PoolView, candidates []Candidate) []Transfer {
	a := newAssignment(pools, candidates)
	a.cover(bare, anyRuns)
	a.cover(present, noRuns)
	a.cover(bareSoon, anyRuns)
	a.cover(soon, noRuns)
	return a.transfers
}

// noRuns allows only idle VMs.
func noRuns(c *Candidate) bool { return c.Idle }

// anyRuns allows VMs that can be emptied soon.
func anyRuns(c *Candidate) bool { return c.Idle || (!c.Lasts && c.Clear <= longestClear) }

// neediest returns the pool with the largest deficit that is worth a VM, or nil.
func neediest(h horizon, pools []*PoolView) *PoolView {
	var best *PoolView
	for _, p := range pools {
		if p.Standby || p.deficit(h) <= 0 {
			continue
		}
		if best == nil || p.deficit(h) > best.deficit(h) {
			best = p
		}
	}
	return best
}

// spares tells whether a pool can do without a VM.
func spares(h horizon, p *PoolView, cpu csmodel.MilliCPU) bool {
	if p.Standby {
		return true
	}
	return p.VMs > max(p.Floor, p.required(h)) && p.deficit(h)+cpu <= 0
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
