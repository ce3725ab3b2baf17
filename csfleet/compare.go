package csfleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Parameters of the comparison. Each pool has one rack of four VMs in each of three zones, and there is one pool for
// each budget.
const (
	compareDuration      = 24 * time.Hour
	compareTick          = 5 * time.Second
	comparePeriod        = time.Hour
	compareVMsPerRack    = 4
	drainDuration        = 30 * time.Second
	rebootDuration       = 3 * time.Minute
	lossDuration         = 10 * time.Minute
	lossProbability      = 1.0 / (100 * 720) // per VM and tick: one loss in 100 hours, at 720 ticks per hour
	partitionProbability = 1.0 / (4 * 720)   // per tick: one partition in four hours
	minPartition         = 10 * time.Minute
	partitionSpread      = 50 * time.Minute
)

// compareBudgets are the budgets of the pools. The escrow share of the first two is zero in at least one zone.
var compareBudgets = []int{1, 2, 3, 4}

// Comparison is the result of one simulated run of maintenance waves.
type Comparison struct {
	Escrow     bool
	Partitions bool // availability zones were unreachable at times
	// Reboots is the number of completed reboots. Passes is the number of passes, out of Periods, that reached every VM
	// of a pool.
	Reboots, Passes, Periods int
	// Violations is the number of ticks in which voluntary steps exceeded the budget of a pool. It must be 0.
	Violations int
}

// CompareBudgets simulates the same waves with undivided budgets and with escrow, each with and without zone
// partitions. Equal seeds give equal results.
func CompareBudgets(seed uint64) []Comparison {
	var all []Comparison
	for _, partitions := range []bool{false, true} {
		for _, escrow := range []bool{false, true} {
			all = append(all, newComparisonRun(seed, escrow, partitions).run())
		}
	}
	return all
}

// comparisonRun simulates the home nodes, the platform and failures around one Machine and one Planner.
type comparisonRun struct {
	Comparison
	rng              *rand.Rand
	machine          *Machine
	planner          *Planner
	active           ActiveConfiguration
	now              time.Time
	vms              []*comparisonVM
	byID             map[csmodel.VMID]*comparisonVM
	zones            []csmodel.AvailabilityZone
	partitionedZone  csmodel.AvailabilityZone
	partitionedUntil time.Time
}

type comparisonVM struct {
	Observation
	currentIncarnation csmodel.Incarnation // of the running target; the Observation has the last announced one
	lostUntil          time.Time
	drainedAt          time.Time
	rebootUntil        time.Time
}

func newComparisonRun(seed uint64, escrow, partitions bool) *comparisonRun {
	r := &comparisonRun{
		Comparison: Comparison{Escrow: escrow, Partitions: partitions},
		rng:        rand.New(rand.NewPCG(seed, seed)),
		machine:    New(Options{Escrow: escrow}),
		planner:    NewPlanner(PlannerOptions{Lease: 3 * compareTick}),
		now:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byID:       make(map[csmodel.VMID]*comparisonVM),
		zones:      []csmodel.AvailabilityZone{"a", "b", "c"},
	}
	r.active = ActiveConfiguration{Region: "r", Revision: 1}
	for i, b := range compareBudgets {
		r.addPool(csmodel.PoolID(fmt.Sprintf("p%d", i+1)), b)
	}
	return r
}

func (r *comparisonRun) addPool(id csmodel.PoolID, budget int) {
	c := &r.active.Configuration
	c.Pools = append(c.Pools, csconfig.Pool{Name: id, Region: "r", Size: compareVMsPerRack * len(r.zones), Budget: budget})
	c.Waves = append(c.Waves, csconfig.Wave{
		Name: csmodel.WaveID(id), Pools: []csmodel.PoolID{id}, Start: r.now, Period: comparePeriod, Parallel: budget, Losses: 3,
	})
	for _, z := range r.zones {
		for n := range compareVMsPerRack {
			v := &comparisonVM{currentIncarnation: 1, Observation: Observation{
				VM: csmodel.VMID(fmt.Sprintf("%s-%s-%d", id, z, n)), Zone: z, Rack: csmodel.Rack(z), Pool: id,
			}}
			r.vms = append(r.vms, v)
			r.byID[v.VM] = v
		}
	}
}

func (r *comparisonRun) run() Comparison {
	end := r.now.Add(compareDuration)
	for r.now.Before(end) {
		r.now = r.now.Add(compareTick)
		r.injectFailures()
		plan := r.planner.Plan(r.machine, r.active, r.observe(), nil, r.now)
		for _, c := range plan.Commands {
			r.apply(c)
		}
		for _, i := range plan.Instructions {
			r.execute(i)
		}
		r.countViolations()
	}
	return r.Comparison
}

// injectFailures draws the same random numbers for every variant, so that all variants have the same failures.
func (r *comparisonRun) injectFailures() {
	partition, zone, length := r.rng.Float64() < partitionProbability, r.rng.IntN(len(r.zones)), r.rng.Int64N(int64(partitionSpread))
	if r.Partitions && partition && r.now.After(r.partitionedUntil) {
		r.partitionedZone = r.zones[zone]
		r.partitionedUntil = r.now.Add(minPartition + time.Duration(length))
	}
	for _, v := range r.vms {
		if r.rng.Float64() < lossProbability && r.now.After(v.lostUntil) {
			v.lostUntil = r.now.Add(lossDuration)
			v.currentIncarnation++
		}
	}
}

// isolated reports whether the planner cannot reach a zone. With escrow each zone decides for itself.
func (r *comparisonRun) isolated(z csmodel.AvailabilityZone) bool {
	return !r.Escrow && z == r.partitionedZone && r.now.Before(r.partitionedUntil)
}

func (r *comparisonRun) observe() Observations {
	var o Observations
	for _, z := range r.zones {
		o.Zones = append(o.Zones, ZoneReachability{Name: z, Reachable: !r.isolated(z)})
	}
	for _, v := range r.vms {
		silent := r.now.Before(v.lostUntil) || r.now.Before(v.rebootUntil)
		if !silent && !r.isolated(v.Zone) {
			v.LastAnnounced = r.now
			v.Incarnation = v.currentIncarnation
			v.Drained = !v.drainedAt.IsZero() && !r.now.Before(v.drainedAt)
		}
		if !v.LastAnnounced.IsZero() {
			o.VMs = append(o.VMs, v.Observation)
		}
	}
	return o
}

func (r *comparisonRun) apply(c Command) {
	if r.machine.Do(c, r.now).Status != OK {
		return
	}
	switch c := c.(type) {
	case FinishReboot:
		r.Reboots++
	case StartWave:
		if c.Pass == 1 {
			return
		}
		r.Periods++
		if c.Missed == 0 {
			r.Passes++
		}
	default:
	}
}

func (r *comparisonRun) execute(i Instruction) {
	switch i := i.(type) {
	case Drain:
		v := r.reachableVM(i.VM)
		if v != nil && v.Fence != i.Fence {
			v.Fence = i.Fence
			v.drainedAt = r.now.Add(drainDuration)
		}
	case Reboot:
		v := r.reachableVM(i.VM)
		if v != nil && v.currentIncarnation == i.Incarnation {
			v.currentIncarnation++
			v.rebootUntil = r.now.Add(rebootDuration)
			v.drainedAt = time.Time{}
			v.Drained = false
		}
	case Serve:
		if v := r.reachableVM(i.VM); v != nil {
			v.Fence = i.Fence
			v.drainedAt = time.Time{}
		}
	case Prepare: // the simulation moves no VM
	}
}

// reachableVM returns a VM if it can receive an instruction, and nil otherwise.
func (r *comparisonRun) reachableVM(id csmodel.VMID) *comparisonVM {
	v := r.byID[id]
	if r.isolated(v.Zone) || r.now.Before(v.lostUntil) || r.now.Before(v.rebootUntil) {
		return nil
	}
	return v
}

func (r *comparisonRun) countViolations() {
	for _, p := range r.machine.Pools() {
		voluntary := 0
		for _, v := range r.machine.vms {
			if v.Home == p.Name && v.InReboot() {
				voluntary++
			}
		}
		if voluntary > p.Budget {
			r.Violations++
		}
	}
}
