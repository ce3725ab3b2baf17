package csfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// simulation runs two planners against simulated VMs and home nodes and a network that delays, reorders, duplicates and
// drops proposals.
type simulation struct {
	t                *testing.T
	seed             uint64
	rng              *rand.Rand
	now              time.Time
	machine          *Machine // restored from snapshots of itself
	replica          *Machine // applies the same commands without restores
	staleMachine     *Machine // state that the second planner sees
	planners         [2]*Planner
	scheduler        *cstask.Scheduler
	active           ActiveConfiguration
	vms              []*simulatedVM
	byID             map[csmodel.VMID]*simulatedVM
	inFlight         []Command
	partitionedZone  csmodel.AvailabilityZone
	partitionedUntil time.Time
	faultFree        bool
	commands         int
	createdVMs       int
	submittedTasks   int
	progress         []WaveProgress
	replaced         []Replacement
	accepted         csmodel.Set[csmodel.TaskID]
	ended            map[csmodel.TaskID]cstask.State
}

type simulatedVM struct {
	Observation
	currentIncarnation csmodel.Incarnation // of the running target; the Observation has the last announced one
	lostUntil          time.Time
	rebootUntil        time.Time
	draining           bool
	tasks              map[csmodel.TaskID]simulatedTask
}

type simulatedTask struct {
	fence csmodel.Fence
	until time.Time
}

const simulationTick = 5 * time.Second

func newSimulation(t *testing.T, seed uint64) *simulation {
	limits := cstask.Limits{Retention: time.Hour, Ended: 500}
	s := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), now: epoch,
		machine: New(Options{Tasks: limits}), replica: New(Options{Tasks: limits}), staleMachine: New(Options{Tasks: limits}),
		scheduler: cstask.NewScheduler(), byID: make(map[csmodel.VMID]*simulatedVM),
		accepted: make(csmodel.Set[csmodel.TaskID]), ended: make(map[csmodel.TaskID]cstask.State),
	}
	s.restartPlanner(0)
	s.restartPlanner(1)
	s.active = ActiveConfiguration{Region: "r", Revision: 2}
	c := &s.active.Configuration
	for i, budget := range []int{1, 2, 3, 2, 4} {
		id := csmodel.PoolID(fmt.Sprintf("p%d", i))
		c.Pools = append(c.Pools, csconfig.Pool{Name: id, Region: "r", Size: 8, Budget: budget, Spare: i == 4})
		c.Jobs = append(c.Jobs, csconfig.Job{Name: csmodel.JobID(id), Pool: id, Class: csconfig.Deferred})
		for range 9 {
			s.addVM(id)
		}
	}
	for i, pools := range [][]csmodel.PoolID{{"p0", "p1", "p2"}, {"p3", "p4"}} {
		c.Waves = append(c.Waves, csconfig.Wave{
			Name: csmodel.WaveID(fmt.Sprint(i)), Pools: pools, Start: epoch, Period: 2 * time.Hour, Parallel: 4, Losses: 4,
		})
	}
	s.scheduler.Configure(c.Jobs)
	return s
}

func (s *simulation) restartPlanner(i int) {
	s.planners[i] = NewPlanner(PlannerOptions{Lease: 3 * simulationTick})
}

func (s *simulation) addVM(pool csmodel.PoolID) *simulatedVM {
	zone := csmodel.AvailabilityZone(fmt.Sprint(s.createdVMs % 3))
	v := &simulatedVM{
		currentIncarnation: 1,
		Observation: Observation{
			VM: csmodel.VMID(fmt.Sprintf("v%03d", s.createdVMs)), Zone: zone,
			Rack: csmodel.Rack(fmt.Sprintf("%s-%d", zone, s.createdVMs/12)), Pool: pool, CPU: 4000, Memory: 16 * csmodel.GiB,
		},
		tasks: make(map[csmodel.TaskID]simulatedTask),
	}
	s.createdVMs++
	s.vms = append(s.vms, v)
	s.byID[v.VM] = v
	return v
}

func (s *simulation) oneIn(n int) bool { return !s.faultFree && s.rng.IntN(n) == 0 }

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(simulationTick)
	s.injectFaults()
	s.runTasks()
	o := s.observe()
	s.plan(0, s.machine, o)
	if s.oneIn(2) {
		s.plan(1, s.staleMachine, o)
	}
	s.submitAndSchedule()
	s.injectCommands()
	s.deliver()
}

func (s *simulation) injectFaults() {
	if s.oneIn(400) && s.now.After(s.partitionedUntil) {
		s.partitionedZone = csmodel.AvailabilityZone(fmt.Sprint(s.rng.IntN(3)))
		s.partitionedUntil = s.now.Add(time.Duration(s.rng.IntN(600)) * time.Second)
	}
	if s.oneIn(50) {
		v := s.vms[s.rng.IntN(len(s.vms))]
		v.lostUntil = s.now.Add(time.Duration(s.rng.IntN(300)) * time.Second)
		s.restartVM(v)
	}
	if s.oneIn(100) {
		s.restartPlanner(s.rng.IntN(2))
	}
	if s.oneIn(100) {
		s.scheduler = cstask.NewScheduler()
		s.scheduler.Configure(s.active.Configuration.Jobs)
	}
	if s.oneIn(200) {
		s.active.Revision++
	}
}

func (s *simulation) restartVM(v *simulatedVM) {
	v.currentIncarnation++
	v.draining = false
	v.Drained = false
	clear(v.tasks)
}

func (s *simulation) isolated(v *simulatedVM) bool {
	return v.Zone == s.partitionedZone && s.now.Before(s.partitionedUntil)
}

func (s *simulation) silent(v *simulatedVM) bool {
	return s.now.Before(v.lostUntil) || s.now.Before(v.rebootUntil)
}

func (s *simulation) observe() Observations {
	var o Observations
	for _, z := range []csmodel.AvailabilityZone{"0", "1", "2"} {
		o.Zones = append(o.Zones, ZoneReachability{Name: z, Reachable: z != s.partitionedZone || !s.now.Before(s.partitionedUntil)})
	}
	for _, v := range s.vms {
		if !s.silent(v) && !s.isolated(v) {
			v.LastAnnounced = s.now
			v.Incarnation = v.currentIncarnation
			v.Drained = v.draining && len(v.tasks) == 0
		}
		if !v.LastAnnounced.IsZero() {
			o.VMs = append(o.VMs, v.Observation)
		}
	}
	if s.oneIn(300) {
		s.replaceLostVM()
	}
	o.Replaced = s.replaced
	return o
}

// replaceLostVM makes the platform replace a lost VM.
func (s *simulation) replaceLostVM() {
	for i, v := range s.vms {
		r, ok := s.machine.VM(v.VM)
		if ok && r.State == Lost && s.silent(v) {
			n := s.addVM(r.Home)
			s.vms = slices.Delete(s.vms, i, i+1)
			s.replaced = append(s.replaced, Replacement{Old: v.VM, New: n.VM})
			return
		}
	}
}

func (s *simulation) plan(i int, m *Machine, o Observations) {
	var wanted []WantedMoves
	if s.oneIn(10) {
		wanted = append(wanted, WantedMoves{From: s.randomPool(), To: s.randomPool(), Count: 1 + s.rng.IntN(3), Permanent: s.rng.IntN(8) == 0})
	}
	for _, v := range m.VMs() {
		if v.Lent() && v.State == Serving && (s.faultFree || s.rng.IntN(50) == 0) {
			wanted = append(wanted, WantedMoves{From: v.Pool, To: v.Home, Count: 1})
		}
	}
	p := s.planners[i].Plan(m, s.active, o, wanted, s.now)
	s.progress = p.Waves
	s.inFlight = append(s.inFlight, p.Commands...)
	for _, x := range p.Instructions {
		s.execute(x)
	}
}

func (s *simulation) randomPool() csmodel.PoolID {
	return csmodel.PoolID(fmt.Sprintf("p%d", s.rng.IntN(5)))
}

func (s *simulation) execute(i Instruction) {
	switch i := i.(type) {
	case Drain:
		if v := s.acceptInstruction(i.VM, i.Fence); v != nil {
			v.draining = true
			s.releaseTasks(v)
		}
	case Prepare:
		if v := s.acceptInstruction(i.VM, i.Fence); v != nil {
			v.Pool = i.Pool
		}
	case Serve:
		if v := s.acceptInstruction(i.VM, i.Fence); v != nil {
			v.Pool = i.Pool
			v.draining = false
		}
	case Reboot:
		if v := s.acceptInstruction(i.VM, i.Fence); v != nil && v.currentIncarnation == i.Incarnation {
			s.restartVM(v)
			v.rebootUntil = s.now.Add(time.Minute)
		}
	}
}

// acceptInstruction returns a VM that receives an instruction, or nil. Home nodes ignore instructions with an old
// fence.
func (s *simulation) acceptInstruction(id csmodel.VMID, f csmodel.Fence) *simulatedVM {
	v := s.byID[id]
	if v == nil || s.isolated(v) || s.silent(v) || f < v.Fence {
		return nil
	}
	v.Fence = f
	return v
}

func (s *simulation) proposeTasks(c ...cstask.Command) {
	s.inFlight = append(s.inFlight, Tasks{Commands: c})
}

// releaseTasks checkpoints the tasks of a draining VM.
func (s *simulation) releaseTasks(v *simulatedVM) {
	for _, id := range csmodel.SortedKeys(v.tasks) {
		s.proposeTasks(cstask.Checkpoint{ID: id, Fence: v.tasks[id].fence, Sequence: 1, Data: []byte("c"), Release: true})
		delete(v.tasks, id)
	}
}

// runTasks ends the tasks that have run long enough on VMs that can report it.
func (s *simulation) runTasks() {
	for _, v := range s.vms {
		if s.silent(v) {
			continue
		}
		for _, id := range csmodel.SortedKeys(v.tasks) {
			x := v.tasks[id]
			if s.now.Before(x.until) || s.isolated(v) {
				continue
			}
			delete(v.tasks, id)
			if s.oneIn(20) {
				s.proposeTasks(cstask.Fail{ID: id, Fence: x.fence, Final: s.oneIn(5)})
				continue
			}
			s.proposeTasks(cstask.Finish{ID: id, Fence: x.fence, Used: cstask.Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute}})
		}
	}
}

func (s *simulation) submitAndSchedule() {
	if !s.faultFree {
		for range s.rng.IntN(3) {
			s.submittedTasks++
			s.proposeTasks(cstask.Submit{
				ID: csmodel.TaskID(fmt.Sprint(s.submittedTasks)), Job: csmodel.JobID(s.randomPool()), Team: "t",
				CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute, Deadline: s.now.Add(30 * time.Minute),
			})
		}
	}
	var workers []cstask.Worker
	for _, r := range s.machine.VMs() {
		v := s.byID[r.ID]
		x := cstask.Worker{
			VM: r.ID, Pool: r.Pool, Zone: r.Zone, Rack: r.Rack, CPU: 4000, Memory: 16 * csmodel.GiB,
			FreeCPU: 4000 - 1000*csmodel.MilliCPU(len(v.tasks)), FreeMemory: 8 * csmodel.GiB,
			Serving: r.State == Serving && !s.isolated(v), ReportedAt: v.LastAnnounced,
		}
		for _, id := range csmodel.SortedKeys(v.tasks) {
			x.Running = append(x.Running, cstask.Running{Task: id, Fence: v.tasks[id].fence})
		}
		workers = append(workers, x)
	}
	for _, a := range s.scheduler.Tick(s.machine.Tasks(), workers, s.now) {
		switch a := a.(type) {
		case cstask.Propose:
			s.proposeTasks(a.Command)
		case cstask.Stop:
			if v := s.byID[a.VM]; !s.isolated(v) {
				delete(v.tasks, a.Task)
			}
		default:
		}
	}
}

// injectCommands adds commands of operators and callers, many with stale fences.
func (s *simulation) injectCommands() {
	if s.faultFree {
		return
	}
	v := s.vms[s.rng.IntN(len(s.vms))]
	r, ok := s.machine.VM(v.VM)
	if !ok {
		return // registering the VM in a random pool would preempt the home node's registration
	}
	f := r.Fence - csmodel.Fence(s.rng.IntN(2))
	id := csmodel.TaskID(fmt.Sprint(max(1, s.submittedTasks-s.rng.IntN(50))))
	wave := csmodel.WaveID(fmt.Sprint(s.rng.IntN(2)))
	s.proposeTasks(cstask.Cancel{ID: id})
	all := []Command{
		StartReboot{VM: v.VM, Fence: f}, StartMove{VM: v.VM, Fence: f, To: s.randomPool()}, UndoStep{VM: v.VM, Fence: f},
		HandOver{VM: v.VM, Fence: f}, Admit{VM: v.VM, Fence: f}, ReportLost{VM: v.VM, Fence: f},
		RegisterVM{VM: v.VM, Home: s.randomPool(), Zone: v.Zone, Incarnation: v.currentIncarnation},
		PauseWave{Wave: wave, Operator: true}, ResumeWave{Wave: wave, Operator: true}, Configure{Revision: 1},
	}
	s.inFlight = append(s.inFlight, all[s.rng.IntN(len(all))])
}

// deliver applies proposals in random order. Some are dropped, some are delayed and some are applied again later.
func (s *simulation) deliver() {
	s.rng.Shuffle(len(s.inFlight), func(i, j int) { s.inFlight[i], s.inFlight[j] = s.inFlight[j], s.inFlight[i] })
	var later []Command
	for _, c := range s.inFlight {
		switch {
		case s.oneIn(20): // dropped
			continue
		case s.oneIn(10):
			later = append(later, c)
			continue
		case s.oneIn(4):
			later = append(later, c)
		}
		s.apply(c)
	}
	s.inFlight = later
}
