package csfleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Parameters of the comparison: three zones with one rack of four VMs of each pool, one pool for each budget.
const (
	compareTime   = 24 * time.Hour
	compareTick   = 5 * time.Second
	comparePeriod = time.Hour
	compareRack   = 4
	drainTime     = 30 * time.Second
	rebootTime    = 3 * time.Minute
	lossTime      = 10 * time.Minute
	lossRate      = 1.0 / (100 * 720) // one loss in 100 hours of a VM, at 720 ticks an hour
	cutRate       = 1.0 / (4 * 720)   // one cut in four hours
	cutMinimum    = 10 * time.Minute
	cutRange      = 50 * time.Minute
)

// compareBudgets are the budgets of the pools. Shares of the first two are zero in some zone.
var compareBudgets = []int{1, 2, 3, 4}

// Comparison is the outcome of one simulated run of maintenance waves.
type Comparison struct {
	Escrow bool
	Cuts   bool // availability zones were cut off at times
	// Reboots is the number of VMs that were maintained, Passes the number of passes that reached every VM of a pool, out
	// of Periods.
	Reboots, Passes, Periods int
	// Violations is the number of ticks in which voluntary steps exceeded the budget of a pool. It must be 0.
	Violations int
}

// CompareBudgets runs the same waves with whole budgets and with escrow, each with and without zone cuts.
func CompareBudgets(seed uint64) []Comparison {
	var all []Comparison
	for _, cuts := range []bool{false, true} {
		for _, escrow := range []bool{false, true} {
			all = append(all, newTrial(seed, escrow, cuts).run())
		}
	}
	return all
}

// trial simulates home nodes, platform and failures around one machine and planner.
type trial struct {
	Comparison
	rng      *rand.Rand
	machine  *Machine
	planner  *Planner
	active   Active
	now      time.Time
	vms      []*trialVM
	byID     map[csmodel.VMID]*trialVM
	zones    []csmodel.AvailabilityZone
	cutZone  csmodel.AvailabilityZone
	cutUntil time.Time
}

type trialVM struct {
	Observation
	life        csmodel.Incarnation // of the process; the observation follows when it announces
	lostUntil   time.Time
	drainedAt   time.Time
	rebootUntil time.Time
}

func newTrial(seed uint64, escrow, cuts bool) *trial {
	t := &trial{
		Comparison: Comparison{Escrow: escrow, Cuts: cuts},
		rng:        rand.New(rand.NewPCG(seed, seed)),
		machine:    New(Options{Escrow: escrow}),
		planner:    NewPlanner(PlannerOptions{Lease: 3 * compareTick}),
		now:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byID:       make(map[csmodel.VMID]*trialVM),
		zones:      []csmodel.AvailabilityZone{"a", "b", "c"},
	}
	t.active = Active{Region: "r", Revision: 1}
	for i, b := range compareBudgets {
		t.addPool(csmodel.PoolID(fmt.Sprintf("p%d", i+1)), b)
	}
	return t
}

func (t *trial) addPool(id csmodel.PoolID, budget int) {
	c := &t.active.Configuration
	c.Pools = append(c.Pools, csconfig.Pool{Name: id, Region: "r", Size: compareRack * len(t.zones), Budget: budget})
	c.Waves = append(c.Waves, csconfig.Wave{
		Name: csmodel.WaveID(id), Pools: []csmodel.PoolID{id}, Start: t.now, Period: comparePeriod, Parallel: budget, Losses: 3,
	})
	for _, z := range t.zones {
		for n := range compareRack {
			v := &trialVM{life: 1, Observation: Observation{
				VM: csmodel.VMID(fmt.Sprintf("%s-%s-%d", id, z, n)), Zone: z, Rack: csmodel.Rack(z), Pool: id,
			}}
			t.vms = append(t.vms, v)
			t.byID[v.VM] = v
		}
	}
}

func (t *trial) run() Comparison {
	end := t.now.Add(compareTime)
	for t.now.Before(end) {
		t.now = t.now.Add(compareTick)
		t.fail()
		plan := t.planner.Plan(t.machine, t.active, t.observe(), nil, t.now)
		for _, c := range plan.Commands {
			t.do(c)
		}
		for _, i := range plan.Instructions {
			t.execute(i)
		}
		t.check()
	}
	return t.Comparison
}

// fail draws the same numbers for every variant, so that all see the same failures.
func (t *trial) fail() {
	cut, zone, length := t.rng.Float64() < cutRate, t.rng.IntN(len(t.zones)), t.rng.Int64N(int64(cutRange))
	if t.Cuts && cut && t.now.After(t.cutUntil) {
		t.cutZone = t.zones[zone]
		t.cutUntil = t.now.Add(cutMinimum + time.Duration(length))
	}
	for _, v := range t.vms {
		if t.rng.Float64() < lossRate && t.now.After(v.lostUntil) {
			v.lostUntil = t.now.Add(lossTime)
			v.life++
		}
	}
}

// isolated tells whether the deciding side cannot reach a zone. With escrow each zone decides for itself.
func (t *trial) isolated(z csmodel.AvailabilityZone) bool {
	return !t.Escrow && z == t.cutZone && t.now.Before(t.cutUntil)
}

func (t *trial) observe() Observations {
	var o Observations
	for _, z := range t.zones {
		o.Zones = append(o.Zones, Zone{Name: z, Reachable: !t.isolated(z)})
	}
	for _, v := range t.vms {
		silent := t.now.Before(v.lostUntil) || t.now.Before(v.rebootUntil)
		if !silent && !t.isolated(v.Zone) {
			v.Heard = t.now
			v.Incarnation = v.life
			v.Drained = !v.drainedAt.IsZero() && !t.now.Before(v.drainedAt)
		}
		if !v.Heard.IsZero() {
			o.VMs = append(o.VMs, v.Observation)
		}
	}
	return o
}

func (t *trial) do(c Command) {
	if t.machine.Do(c, t.now).Status != OK {
		return
	}
	switch c := c.(type) {
	case FinishReboot:
		t.Reboots++
	case StartWave:
		if c.Pass == 1 {
			return
		}
		t.Periods++
		if c.Missed == 0 {
			t.Passes++
		}
	default:
	}
}

func (t *trial) execute(i Instruction) {
	switch i := i.(type) {
	case Drain:
		v := t.reach(i.VM)
		if v != nil && v.Fence != i.Fence {
			v.Fence = i.Fence
			v.drainedAt = t.now.Add(drainTime)
		}
	case Reboot:
		v := t.reach(i.VM)
		if v != nil && v.life == i.Incarnation {
			v.life++
			v.rebootUntil = t.now.Add(rebootTime)
			v.drainedAt = time.Time{}
			v.Drained = false
		}
	case Serve:
		if v := t.reach(i.VM); v != nil {
			v.Fence = i.Fence
			v.drainedAt = time.Time{}
		}
	case Prepare: // the trial moves no VM
	}
}

// reach returns a VM that can receive an instruction.
func (t *trial) reach(id csmodel.VMID) *trialVM {
	v := t.byID[id]
	if t.isolated(v.Zone) || t.now.Before(v.lostUntil) || t.now.Before(v.rebootUntil) {
		return nil
	}
	return v
}

func (t *trial) check() {
	for _, p := range t.machine.Pools() {
		voluntary := 0
		for _, v := range t.machine.vms {
			if v.Home == p.Name && v.InReboot() {
				voluntary++
			}
		}
		if voluntary > p.Budget {
			t.Violations++
		}
	}
}
