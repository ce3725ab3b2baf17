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

// plannerHarness runs a planner tick by tick. Every VM announces on each tick unless it is silent or its zone is
// unreachable.
type plannerHarness struct {
	t            *testing.T
	m            *Machine
	p            *Planner
	active       ActiveConfiguration
	now          time.Time
	silent       csmodel.Set[csmodel.VMID]
	unreachable  csmodel.AvailabilityZone
	drained      csmodel.Set[csmodel.VMID]
	incarnations map[csmodel.VMID]csmodel.Incarnation
	fences       map[csmodel.VMID]csmodel.Fence
}

// newPlannerHarness returns a harness with a pool p of 12 VMs in zones a, b and c, two to a rack, and a wave w.
func newPlannerHarness(t *testing.T, budget int) *plannerHarness {
	h := &plannerHarness{
		t: t, m: New(Options{}), p: NewPlanner(PlannerOptions{}), now: epoch,
		silent: csmodel.NewSet[csmodel.VMID](), drained: csmodel.NewSet[csmodel.VMID](),
		incarnations: make(map[csmodel.VMID]csmodel.Incarnation), fences: make(map[csmodel.VMID]csmodel.Fence),
	}
	h.active = ActiveConfiguration{Region: "r", Revision: 1, Configuration: csconfig.Configuration{
		Pools: []csconfig.Pool{{Name: "p", Region: "r", Size: 12, Budget: budget}, {Name: "q", Region: "r"}, {Name: "far", Region: "s"}},
		Waves: []csconfig.Wave{{Name: "w", Pools: []csmodel.PoolID{"p"}, Start: epoch.Add(time.Minute), Period: 24 * time.Hour, Parallel: 8, Losses: 1}},
	}}
	h.tick(nil)
	for i := range 12 {
		zone := csmodel.AvailabilityZone("abc"[i/4 : i/4+1])
		id := csmodel.VMID(fmt.Sprintf("v%02d", i))
		apply(t, h.m, []Command{RegisterVM{VM: id, Home: "p", Zone: zone, Rack: csmodel.Rack(fmt.Sprint(i / 2)), Incarnation: 1}})
		h.incarnations[id] = 1
	}
	return h
}

func (h *plannerHarness) tick(wanted []WantedMoves) Plan {
	h.now = h.now.Add(time.Second)
	var o Observations
	for _, z := range []csmodel.AvailabilityZone{"a", "b", "c"} {
		o.Zones = append(o.Zones, ZoneReachability{Name: z, Reachable: z != h.unreachable})
	}
	for _, v := range h.m.VMs() {
		if h.silent.Has(v.ID) || v.Zone == h.unreachable {
			continue
		}
		o.VMs = append(o.VMs, Observation{
			VM: v.ID, Incarnation: h.incarnations[v.ID], LastAnnounced: h.now, Zone: v.Zone, Rack: v.Rack, Pool: v.Pool, Fence: h.fences[v.ID],
			Drained: h.drained.Has(v.ID),
		})
	}
	plan := h.p.Plan(h.m, h.active, o, wanted, h.now)
	for _, c := range plan.Commands {
		if r := h.m.Do(c, h.now); !r.Status.Accepted() {
			h.t.Errorf("%T %+v: got status %d", c, c, r.Status)
		}
	}
	h.execute(plan.Instructions)
	return plan
}

func (h *plannerHarness) execute(all []Instruction) {
	for _, i := range all {
		switch i := i.(type) {
		case Drain:
			h.fences[i.VM] = i.Fence
			h.drained.Add(i.VM)
		case Prepare:
			h.fences[i.VM] = i.Fence
		case Serve:
			h.fences[i.VM] = i.Fence
			h.drained.Delete(i.VM)
		case Reboot:
			h.incarnations[i.VM] = i.Incarnation + 1
		}
	}
}

func (h *plannerHarness) run(seconds int) (last Plan) {
	for range seconds {
		last = h.tick(nil)
	}
	return last
}

func (h *plannerHarness) rebooting() (ids []csmodel.VMID) {
	for _, v := range h.m.VMs() {
		if v.InReboot() {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

func (h *plannerHarness) state(id csmodel.VMID) State {
	v, _ := h.m.VM(id)
	return v.State
}

func blockedCount(p Plan, b BlockReason) int {
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
	h := newPlannerHarness(t, 3)
	for i := range 600 {
		plan := h.tick(nil)
		racks := csmodel.NewSet[csmodel.Rack]()
		for _, id := range h.rebooting() {
			v, _ := h.m.VM(id)
			racks.Add(v.Rack)
		}
		if len(racks) > 1 || h.m.Unavailable("p") > 3 {
			t.Fatalf("tick %d: %d racks in maintenance, %d unavailable", i, len(racks), h.m.Unavailable("p"))
		}
		if i%20 == 19 {
			h.p = NewPlanner(PlannerOptions{})
		}
		if plan.Waves[0].Done == 12 {
			return
		}
	}
	t.Error("the wave has not reached every VM after 10 minutes")
}

// Guards against a wave that continues during unplanned losses, resumes an operator's pause by itself, or stays paused
// after the losses have left the window.
func TestWavePauses(t *testing.T) {
	h := newPlannerHarness(t, 4)
	h.run(10)
	h.silent.Add("v00")
	h.silent.Add("v04")
	h.run(60)
	if w, _ := h.m.Wave("w"); !w.Paused || w.PausedByOperator || len(h.rebooting()) > 0 {
		t.Fatalf("got %+v and %v in reboot after 2 losses, want a pause", w, h.rebooting())
	}
	clear(h.silent)
	h.m.Do(PauseWave{Wave: "w", Operator: true, Reason: "x"}, h.now)
	h.run(700)
	w, _ := h.m.Wave("w")
	if !w.Paused || len(h.rebooting()) > 0 {
		t.Fatalf("got %+v, want the operator's pause", w)
	}
	h.m.Do(ResumeWave{Wave: "w", Operator: true}, h.now)
	if plan := h.run(120); plan.Waves[0].Done == 0 {
		t.Errorf("got %+v, want progress after the operator resumed", plan.Waves[0])
	}
	h = newPlannerHarness(t, 4)
	h.silent.Add("v00")
	h.silent.Add("v04")
	h.run(70)
	clear(h.silent)
	if plan := h.run(720); plan.Waves[0].Paused || plan.Waves[0].Done == 0 {
		t.Errorf("got %+v, want the wave to resume 10 minutes after the losses", plan.Waves[0])
	}
}

// Guards against interrupting a deferred task that could then miss its deadline, and against waiting after it has a
// checkpoint.
func TestWaveWaitsForTasks(t *testing.T) {
	h := newPlannerHarness(t, 2)
	task := func(c cstask.Command) { h.m.Do(Tasks{Commands: []cstask.Command{c}}, h.now) }
	for i := range 12 {
		id := csmodel.TaskID(fmt.Sprint(i))
		task(cstask.Submit{ID: id, Job: "j", Runtime: 2 * time.Hour, Deadline: h.now.Add(time.Hour)})
		task(cstask.Lease{ID: id, VM: csmodel.VMID(fmt.Sprintf("v%02d", i)), Fence: 1, Expiry: h.now.Add(time.Hour)})
	}
	plan := h.run(90)
	if got := blockedCount(plan, BlockTasks); got != 12 || len(h.rebooting()) > 0 {
		t.Fatalf("got %d VMs blocked by tasks and %v in reboot, want 12 and none", got, h.rebooting())
	}
	task(cstask.Checkpoint{ID: "5", Fence: 1, Sequence: 1, Data: []byte("c")})
	h.run(2)
	if got := h.rebooting(); !slices.Equal(got, []csmodel.VMID{"v05"}) {
		t.Errorf("got %v in reboot after the checkpoint, want v05", got)
	}
}

// Guards against voluntary steps in an unreachable zone or beyond the budget that its VMs use up, and against reporting
// its VMs as lost.
func TestUnreachableZone(t *testing.T) {
	h := newPlannerHarness(t, 4)
	h.run(30)
	h.unreachable = "a"
	plan := h.run(60)
	if got := h.m.Losses([]csmodel.PoolID{"p"}, h.now); got != 0 || len(h.rebooting()) > 0 {
		t.Errorf("got %d losses and %v in reboot, want none", got, h.rebooting())
	}
	if got := h.m.Unavailable("p"); got != 4 || blockedCount(plan, BlockZone) != 4 || blockedCount(plan, BlockBudget) != 8 {
		t.Errorf("got %d unavailable, blockers %+v; want 4, 4 by zone and 8 by budget", got, plan.Waves[0].Blockers)
	}
	h.unreachable = ""
	if plan := h.run(60); plan.Waves[0].Done == 0 || h.m.Losses([]csmodel.PoolID{"p"}, h.now) > 0 {
		t.Errorf("got %+v after the zone returned, want progress and no losses", plan.Waves[0])
	}
}

// Guards against a new leader that reports VMs as lost before they could announce to it, and against one that never
// reports a loss.
func TestNewLeaderObservesFirst(t *testing.T) {
	h := newPlannerHarness(t, 4)
	h.run(5)
	h.silent.Add("v03")
	h.p = NewPlanner(PlannerOptions{})
	for range 4 {
		h.tick(nil)
		if got := h.state("v03"); got != Serving {
			t.Fatalf("got state %d within a target lease of a new leader", got)
		}
	}
	h.run(2)
	if got := h.state("v03"); got != Lost {
		t.Errorf("got state %d after a target lease, want lost", got)
	}
	clear(h.silent)
	h.run(2)
	if got := h.state("v03"); got != Serving {
		t.Errorf("got state %d after the VM announced again, want serving", got)
	}
	h.now = h.now.Add(time.Minute) // the leader was suspended
	h.silent.Add("v03")
	for range 4 {
		h.tick(nil)
		if got := h.state("v03"); got != Serving {
			t.Fatalf("got state %d within a target lease of a pause", got)
		}
	}
	h.run(2)
	if got := h.state("v03"); got != Lost {
		t.Errorf("got state %d after a pause and a target lease, want lost", got)
	}
}

// Guards against moves that start more often than wanted, never complete after a change of leader, or keep the budget
// in use when the VM does not drain.
func TestMoves(t *testing.T) {
	h := newPlannerHarness(t, 2)
	wanted := []WantedMoves{{From: "p", To: "q", Count: 2}}
	h.tick(wanted)
	h.tick(wanted)
	moving := 0
	for _, v := range h.m.VMs() {
		if v.InMove() {
			moving++
		}
	}
	if moving != 2 {
		t.Errorf("got %d moves under way, want 2", moving)
	}
	h.p = NewPlanner(PlannerOptions{})
	h.run(10)
	lent := 0
	for _, v := range h.m.VMs() {
		if v.Pool == "q" && v.State == Serving {
			lent++
		}
	}
	if lent != 2 || h.m.Unavailable("p") != 2 {
		t.Errorf("got %d VMs lent and %d unavailable, want 2 and 2", lent, h.m.Unavailable("p"))
	}
	h.tick([]WantedMoves{{From: "q", To: "p", Count: 2}})
	h.run(10)
	if got := h.m.Unavailable("p"); got != 0 {
		t.Errorf("got %d unavailable after the return, want 0", got)
	}
	h = newPlannerHarness(t, 1)
	h.m.Do(StartMove{VM: "v01", Fence: 1, To: "q"}, h.now)
	for range int(DefaultDrainLimit/time.Second) + 5 {
		clear(h.drained)
		h.tick(nil)
		h.active.Configuration.Waves = nil
	}
	if got := h.state("v01"); got != Serving || h.m.Unavailable("p") != 0 {
		t.Errorf("got state %d and %d unavailable after the drain limit, want serving and 0", got, h.m.Unavailable("p"))
	}
}

// Guards against configuring pools of other regions and registering VMs of unknown pools.
func TestRegistration(t *testing.T) {
	h := newPlannerHarness(t, 1)
	if got := h.m.Pools(); len(got) != 2 {
		t.Errorf("got %d pools, want the 2 of the region", len(got))
	}
	o := Observations{VMs: []Observation{
		{VM: "n1", Pool: "q", Zone: "a", Rack: "1", Incarnation: 7, LastAnnounced: h.now},
		{VM: "n2", Pool: "far", Zone: "a", Rack: "1", Incarnation: 7, LastAnnounced: h.now},
	}}
	plan := h.p.Plan(h.m, h.active, o, nil, h.now)
	want := RegisterVM{VM: "n1", Home: "q", Zone: "a", Rack: "1", Incarnation: 7}
	if len(plan.Commands) != 1 || plan.Commands[0] != want {
		t.Errorf("got %+v, want %+v", plan.Commands, want)
	}
}
