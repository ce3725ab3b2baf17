package csfleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// desk drives a planner by hand: every VM announces on each tick unless it is muted.
type desk struct {
	t       *testing.T
	m       *Machine
	p       *Planner
	active  Active
	now     time.Time
	muted   csmodel.Set[csmodel.VMID]
	cut     csmodel.AvailabilityZone
	drained csmodel.Set[csmodel.VMID]
	booted  map[csmodel.VMID]csmodel.Incarnation
	fences  map[csmodel.VMID]csmodel.Fence
}

// newDesk has one pool p of 12 VMs in zones a, b and c with racks of two, and a wave w.
func newDesk(t *testing.T, budget int) *desk {
	d := &desk{
		t: t, m: New(Options{}), p: NewPlanner(PlannerOptions{}), now: epoch,
		muted: csmodel.NewSet[csmodel.VMID](), drained: csmodel.NewSet[csmodel.VMID](),
		booted: make(map[csmodel.VMID]csmodel.Incarnation), fences: make(map[csmodel.VMID]csmodel.Fence),
	}
	d.active = Active{Region: "r", Revision: 1, Configuration: csconfig.Configuration{
		Pools: []csconfig.Pool{{Name: "p", Region: "r", Size: 12, Budget: budget}, {Name: "q", Region: "r"}, {Name: "far", Region: "s"}},
		Waves: []csconfig.Wave{{Name: "w", Pools: []csmodel.PoolID{"p"}, Start: epoch.Add(time.Minute), Period: 24 * time.Hour, Parallel: 8, Losses: 1}},
	}}
	d.tick(nil)
	for i := range 12 {
		zone := csmodel.AvailabilityZone("abc"[i/4 : i/4+1])
		id := csmodel.VMID(fmt.Sprintf("v%02d", i))
		apply(t, d.m, []Command{RegisterVM{VM: id, Home: "p", Zone: zone, Rack: csmodel.Rack(fmt.Sprint(i / 2)), Incarnation: 1}})
		d.booted[id] = 1
	}
	return d
}

func (d *desk) tick(wanted []Wanted) Plan {
	d.now = d.now.Add(time.Second)
	var o Observations
	for _, z := range []csmodel.AvailabilityZone{"a", "b", "c"} {
		o.Zones = append(o.Zones, Zone{Name: z, Reachable: z != d.cut})
	}
	for _, v := range d.m.VMs() {
		if d.muted.Has(v.ID) || v.Zone == d.cut {
			continue
		}
		o.VMs = append(o.VMs, Observation{
			VM: v.ID, Incarnation: d.booted[v.ID], Heard: d.now, Zone: v.Zone, Rack: v.Rack, Pool: v.Pool, Fence: d.fences[v.ID],
			Drained: d.drained.Has(v.ID),
		})
	}
	plan := d.p.Plan(d.m, d.active, o, wanted, d.now)
	for _, c := range plan.Commands {
		if r := d.m.Do(c, d.now); !r.Status.Accepted() {
			d.t.Errorf("%T %+v: got status %d", c, c, r.Status)
		}
	}
	d.execute(plan.Instructions)
	return plan
}

func (d *desk) execute(all []Instruction) {
	for _, i := range all {
		switch i := i.(type) {
		case Drain:
			d.fences[i.VM] = i.Fence
			d.drained.Add(i.VM)
		case Prepare:
			d.fences[i.VM] = i.Fence
		case Serve:
			d.fences[i.VM] = i.Fence
			d.drained.Delete(i.VM)
		case Reboot:
			d.booted[i.VM] = i.Incarnation + 1
		}
	}
}

func (d *desk) run(seconds int) (last Plan) {
	for range seconds {
		last = d.tick(nil)
	}
	return last
}

func (d *desk) rebooting() (ids []csmodel.VMID) {
	for _, v := range d.m.VMs() {
		if v.InReboot() {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

func (d *desk) state(id csmodel.VMID) State {
	v, _ := d.m.VM(id)
	return v.State
}

func blocker(p Plan, b Block) int {
	for _, x := range p.Waves[0].Blockers {
		if x.Block == b {
			return x.Count
		}
	}
	return 0
}

// Guards against a wave that takes VMs of two racks at once, exceeds the budget, misses a VM or does not resume after a
// restart of the planner.
func TestWaveReachesEveryVM(t *testing.T) {
	d := newDesk(t, 3)
	for i := range 600 {
		plan := d.tick(nil)
		racks := csmodel.NewSet[csmodel.Rack]()
		for _, id := range d.rebooting() {
			v, _ := d.m.VM(id)
			racks.Add(v.Rack)
		}
		if len(racks) > 1 || d.m.Unavailable("p") > 3 {
			t.Fatalf("tick %d: %d racks in maintenance, %d unavailable", i, len(racks), d.m.Unavailable("p"))
		}
		if i%20 == 19 {
			d.p = NewPlanner(PlannerOptions{})
		}
		if plan.Waves[0].Done == 12 {
			return
		}
	}
	t.Error("the wave has not reached every VM after 10 minutes")
}

// Guards against a wave that goes on during unplanned losses, resumes by itself after an operator's pause, or stays
// paused when the losses are over.
func TestWavePauses(t *testing.T) {
	d := newDesk(t, 4)
	d.run(10)
	d.muted.Add("v00")
	d.muted.Add("v04")
	d.run(60)
	if w, _ := d.m.Wave("w"); !w.Paused || w.Manual || len(d.rebooting()) > 0 {
		t.Fatalf("got %+v and %v in reboot after 2 losses, want a pause", w, d.rebooting())
	}
	clear(d.muted)
	d.m.Do(PauseWave{Wave: "w", Operator: true, Reason: "x"}, d.now)
	d.run(700)
	w, _ := d.m.Wave("w")
	if !w.Paused || len(d.rebooting()) > 0 {
		t.Fatalf("got %+v, want the operator's pause", w)
	}
	d.m.Do(ResumeWave{Wave: "w", Operator: true}, d.now)
	if plan := d.run(120); plan.Waves[0].Done == 0 {
		t.Errorf("got %+v, want progress after the operator resumed", plan.Waves[0])
	}
	d = newDesk(t, 4)
	d.muted.Add("v00")
	d.muted.Add("v04")
	d.run(70)
	clear(d.muted)
	if plan := d.run(720); plan.Waves[0].Paused || plan.Waves[0].Done == 0 {
		t.Errorf("got %+v, want the wave to resume 10 minutes after the losses", plan.Waves[0])
	}
}

// Guards against interrupting a deferred task that could miss its deadline, and against waiting after its checkpoint.
func TestWaveSkipsTasks(t *testing.T) {
	d := newDesk(t, 2)
	task := func(c cstask.Command) { d.m.Do(Tasks{Commands: []cstask.Command{c}}, d.now) }
	for i := range 12 {
		id := csmodel.TaskID(fmt.Sprint(i))
		task(cstask.Submit{ID: id, Job: "j", Runtime: 2 * time.Hour, Deadline: d.now.Add(time.Hour)})
		task(cstask.Lease{ID: id, VM: csmodel.VMID(fmt.Sprintf("v%02d", i)), Fence: 1, Expiry: d.now.Add(time.Hour)})
	}
	plan := d.run(90)
	if got := blocker(plan, BlockTasks); got != 12 || len(d.rebooting()) > 0 {
		t.Fatalf("got %d VMs blocked by tasks and %v in reboot, want 12 and none", got, d.rebooting())
	}
	task(cstask.Checkpoint{ID: "5", Fence: 1, Sequence: 1, Data: []byte("c")})
	d.run(2)
	if got := d.rebooting(); !slices.Equal(got, []csmodel.VMID{"v05"}) {
		t.Errorf("got %v in reboot after the checkpoint, want v05", got)
	}
}

// Guards against voluntary steps in or because of an unreachable zone, and against reporting its VMs as lost.
func TestUnreachableZone(t *testing.T) {
	d := newDesk(t, 4)
	d.run(30)
	d.cut = "a"
	plan := d.run(60)
	if got := d.m.Losses([]csmodel.PoolID{"p"}, d.now); got != 0 || len(d.rebooting()) > 0 {
		t.Errorf("got %d losses and %v in reboot, want none", got, d.rebooting())
	}
	if got := d.m.Unavailable("p"); got != 4 || blocker(plan, BlockZone) != 4 || blocker(plan, BlockBudget) != 8 {
		t.Errorf("got %d unavailable, blockers %+v; want 4, 4 by zone and 8 by budget", got, plan.Waves[0].Blockers)
	}
	d.cut = ""
	if plan := d.run(60); plan.Waves[0].Done == 0 || d.m.Losses([]csmodel.PoolID{"p"}, d.now) > 0 {
		t.Errorf("got %+v after the zone returned, want progress and no losses", plan.Waves[0])
	}
}

// Guards against a new leader that reports every VM as lost before it could hear from them, and against one that never
// does.
func TestNewLeaderObservesFirst(t *testing.T) {
	d := newDesk(t, 4)
	d.run(5)
	d.muted.Add("v03")
	d.p = NewPlanner(PlannerOptions{})
	for range 4 {
		d.tick(nil)
		if got := d.state("v03"); got != Serving {
			t.Fatalf("got state %d within a target lease of a new leader", got)
		}
	}
	d.run(2)
	if got := d.state("v03"); got != Lost {
		t.Errorf("got state %d after a target lease, want lost", got)
	}
	clear(d.muted)
	d.run(2)
	if got := d.state("v03"); got != Serving {
		t.Errorf("got state %d after the VM announced again, want serving", got)
	}
	d.now = d.now.Add(time.Minute) // the leader was suspended
	d.muted.Add("v03")
	for range 4 {
		d.tick(nil)
		if got := d.state("v03"); got != Serving {
			t.Fatalf("got state %d within a target lease of a pause", got)
		}
	}
	d.run(2)
	if got := d.state("v03"); got != Lost {
		t.Errorf("got state %d after a pause and a target lease, want lost", got)
	}
}

// Guards against moves that start more often than wanted, stop half-way when the leader changes, or hold the budget when
// the VM does not drain.
func TestMoves(t *testing.T) {
	d := newDesk(t, 2)
	wanted := []Wanted{{From: "p", To: "q", Count: 2}}
	d.tick(wanted)
	d.tick(wanted)
	moving := 0
	for _, v := range d.m.VMs() {
		if v.InMove() {
			moving++
		}
	}
	if moving != 2 {
		t.Errorf("got %d moves under way, want 2", moving)
	}
	d.p = NewPlanner(PlannerOptions{})
	d.run(10)
	lent := 0
	for _, v := range d.m.VMs() {
		if v.Pool == "q" && v.State == Serving {
			lent++
		}
	}
	if lent != 2 || d.m.Unavailable("p") != 2 {
		t.Errorf("got %d VMs lent and %d unavailable, want 2 and 2", lent, d.m.Unavailable("p"))
	}
	d.tick([]Wanted{{From: "q", To: "p", Count: 2}})
	d.run(10)
	if got := d.m.Unavailable("p"); got != 0 {
		t.Errorf("got %d unavailable after the return, want 0", got)
	}
	d = newDesk(t, 1)
	d.m.Do(StartMove{VM: "v01", Fence: 1, To: "q"}, d.now)
	for range int(DefaultDrainLimit/time.Second) + 5 {
		clear(d.drained)
		d.tick(nil)
		d.active.Configuration.Waves = nil
	}
	if got := d.state("v01"); got != Serving || d.m.Unavailable("p") != 0 {
		t.Errorf("got state %d and %d unavailable after the drain limit, want serving and 0", got, d.m.Unavailable("p"))
	}
}

// Guards against pools of other regions and VMs of unknown pools.
func TestRegistration(t *testing.T) {
	d := newDesk(t, 1)
	if got := d.m.Pools(); len(got) != 2 {
		t.Errorf("got %d pools, want the 2 of the region", len(got))
	}
	o := Observations{VMs: []Observation{
		{VM: "n1", Pool: "q", Zone: "a", Rack: "1", Incarnation: 7, Heard: d.now},
		{VM: "n2", Pool: "far", Zone: "a", Rack: "1", Incarnation: 7, Heard: d.now},
	}}
	plan := d.p.Plan(d.m, d.active, o, nil, d.now)
	want := RegisterVM{VM: "n1", Home: "q", Zone: "a", Rack: "1", Incarnation: 7}
	if len(plan.Commands) != 1 || plan.Commands[0] != want {
		t.Errorf("got %+v, want %+v", plan.Commands, want)
	}
}
