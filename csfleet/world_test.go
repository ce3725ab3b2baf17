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

// world simulates VMs, home nodes, two planners and a network that delays, reorders, duplicates and drops proposals.
type world struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Time
	machine   *Machine // restored from snapshots of itself
	replica   *Machine // applies the same commands without restores
	old       *Machine // state that the second planner sees
	planners  [2]*Planner
	scheduler *cstask.Scheduler
	active    Active
	vms       []*worldVM
	byID      map[csmodel.VMID]*worldVM
	network   []Command
	cutZone   csmodel.AvailabilityZone
	cutUntil  time.Time
	calm      bool // no faults
	commands  int
	spawned   int
	submitted int
	progress  []WaveProgress
	replaced  []Replacement
	accepted  csmodel.Set[csmodel.TaskID]
	ended     map[csmodel.TaskID]cstask.State
}

type worldVM struct {
	Observation
	life        csmodel.Incarnation // of the process; the observation follows when it announces
	lostUntil   time.Time
	rebootUntil time.Time
	draining    bool
	tasks       map[csmodel.TaskID]worldTask
}

type worldTask struct {
	fence csmodel.Fence
	until time.Time
}

const worldTick = 5 * time.Second

func newWorld(t *testing.T, seed uint64) *world {
	limits := cstask.Limits{Retention: time.Hour, Ended: 500}
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), now: epoch,
		machine: New(Options{Tasks: limits}), replica: New(Options{Tasks: limits}), old: New(Options{Tasks: limits}),
		scheduler: cstask.NewScheduler(), byID: make(map[csmodel.VMID]*worldVM),
		accepted: make(csmodel.Set[csmodel.TaskID]), ended: make(map[csmodel.TaskID]cstask.State),
	}
	w.restartPlanner(0)
	w.restartPlanner(1)
	w.active = Active{Region: "r", Revision: 2}
	c := &w.active.Configuration
	for i, budget := range []int{1, 2, 3, 2, 4} {
		id := csmodel.PoolID(fmt.Sprintf("p%d", i))
		c.Pools = append(c.Pools, csconfig.Pool{Name: id, Region: "r", Size: 8, Budget: budget, Spare: i == 4})
		c.Jobs = append(c.Jobs, csconfig.Job{Name: csmodel.JobID(id), Pool: id, Class: csconfig.Deferred})
		for range 9 {
			w.addVM(id)
		}
	}
	for i, pools := range [][]csmodel.PoolID{{"p0", "p1", "p2"}, {"p3", "p4"}} {
		c.Waves = append(c.Waves, csconfig.Wave{
			Name: csmodel.WaveID(fmt.Sprint(i)), Pools: pools, Start: epoch, Period: 2 * time.Hour, Parallel: 4, Losses: 4,
		})
	}
	w.scheduler.Configure(c.Jobs)
	return w
}

func (w *world) restartPlanner(i int) {
	w.planners[i] = NewPlanner(PlannerOptions{Lease: 3 * worldTick})
}

func (w *world) addVM(pool csmodel.PoolID) *worldVM {
	zone := csmodel.AvailabilityZone(fmt.Sprint(w.spawned % 3))
	v := &worldVM{
		life: 1,
		Observation: Observation{
			VM: csmodel.VMID(fmt.Sprintf("v%03d", w.spawned)), Zone: zone,
			Rack: csmodel.Rack(fmt.Sprintf("%s-%d", zone, w.spawned/12)), Pool: pool, CPU: 4000, Memory: 16 * csmodel.GiB,
		},
		tasks: make(map[csmodel.TaskID]worldTask),
	}
	w.spawned++
	w.vms = append(w.vms, v)
	w.byID[v.VM] = v
	return v
}

func (w *world) chance(n int) bool { return !w.calm && w.rng.IntN(n) == 0 }

// step advances the simulation by one tick.
func (w *world) step() {
	w.now = w.now.Add(worldTick)
	w.faults()
	w.work()
	o := w.observe()
	w.plan(0, w.machine, o)
	if w.chance(2) {
		w.plan(1, w.old, o)
	}
	w.schedule()
	w.noise()
	w.deliver()
}

func (w *world) faults() {
	if w.chance(400) && w.now.After(w.cutUntil) {
		w.cutZone = csmodel.AvailabilityZone(fmt.Sprint(w.rng.IntN(3)))
		w.cutUntil = w.now.Add(time.Duration(w.rng.IntN(600)) * time.Second)
	}
	if w.chance(50) {
		v := w.vms[w.rng.IntN(len(w.vms))]
		v.lostUntil = w.now.Add(time.Duration(w.rng.IntN(300)) * time.Second)
		w.restartVM(v)
	}
	if w.chance(100) {
		w.restartPlanner(w.rng.IntN(2))
	}
	if w.chance(100) {
		w.scheduler = cstask.NewScheduler()
		w.scheduler.Configure(w.active.Configuration.Jobs)
	}
	if w.chance(200) {
		w.active.Revision++
	}
}

func (w *world) restartVM(v *worldVM) {
	v.life++
	v.draining = false
	v.Drained = false
	clear(v.tasks)
}

func (w *world) cut(v *worldVM) bool { return v.Zone == w.cutZone && w.now.Before(w.cutUntil) }

func (w *world) silent(v *worldVM) bool {
	return w.now.Before(v.lostUntil) || w.now.Before(v.rebootUntil)
}

func (w *world) observe() Observations {
	var o Observations
	for _, z := range []csmodel.AvailabilityZone{"0", "1", "2"} {
		o.Zones = append(o.Zones, Zone{Name: z, Reachable: z != w.cutZone || !w.now.Before(w.cutUntil)})
	}
	for _, v := range w.vms {
		if !w.silent(v) && !w.cut(v) {
			v.Heard = w.now
			v.Incarnation = v.life
			v.Drained = v.draining && len(v.tasks) == 0
		}
		if !v.Heard.IsZero() {
			o.VMs = append(o.VMs, v.Observation)
		}
	}
	if w.chance(300) {
		w.replaceOne()
	}
	o.Replaced = w.replaced
	return o
}

// replaceOne lets the platform replace a lost VM.
func (w *world) replaceOne() {
	for i, v := range w.vms {
		r, ok := w.machine.VM(v.VM)
		if ok && r.State == Lost && w.silent(v) {
			n := w.addVM(r.Home)
			w.vms = slices.Delete(w.vms, i, i+1)
			w.replaced = append(w.replaced, Replacement{Old: v.VM, New: n.VM})
			return
		}
	}
}

func (w *world) plan(i int, m *Machine, o Observations) {
	var wanted []Wanted
	if w.chance(10) {
		wanted = append(wanted, Wanted{From: w.pool(), To: w.pool(), Count: 1 + w.rng.IntN(3), Permanent: w.rng.IntN(8) == 0})
	}
	for _, v := range m.VMs() {
		if v.Lent() && v.State == Serving && (w.calm || w.rng.IntN(50) == 0) {
			wanted = append(wanted, Wanted{From: v.Pool, To: v.Home, Count: 1})
		}
	}
	p := w.planners[i].Plan(m, w.active, o, wanted, w.now)
	w.progress = p.Waves
	w.network = append(w.network, p.Commands...)
	for _, x := range p.Instructions {
		w.execute(x)
	}
}

func (w *world) pool() csmodel.PoolID { return csmodel.PoolID(fmt.Sprintf("p%d", w.rng.IntN(5))) }

func (w *world) execute(i Instruction) {
	switch i := i.(type) {
	case Drain:
		if v := w.reach(i.VM, i.Fence); v != nil {
			v.draining = true
			w.release(v)
		}
	case Prepare:
		if v := w.reach(i.VM, i.Fence); v != nil {
			v.Pool = i.Pool
		}
	case Serve:
		if v := w.reach(i.VM, i.Fence); v != nil {
			v.Pool = i.Pool
			v.draining = false
		}
	case Reboot:
		if v := w.reach(i.VM, i.Fence); v != nil && v.life == i.Incarnation {
			w.restartVM(v)
			v.rebootUntil = w.now.Add(time.Minute)
		}
	}
}

// reach returns a VM that receives an instruction; home nodes ignore instructions with an old fence.
func (w *world) reach(id csmodel.VMID, f csmodel.Fence) *worldVM {
	v := w.byID[id]
	if v == nil || w.cut(v) || w.silent(v) || f < v.Fence {
		return nil
	}
	v.Fence = f
	return v
}

func (w *world) send(c ...cstask.Command) { w.network = append(w.network, Tasks{Commands: c}) }

// release checkpoints the tasks of a draining VM.
func (w *world) release(v *worldVM) {
	for _, id := range csmodel.SortedKeys(v.tasks) {
		w.send(cstask.Checkpoint{ID: id, Fence: v.tasks[id].fence, Sequence: 1, Data: []byte("c"), Release: true})
		delete(v.tasks, id)
	}
}

// work lets the VMs run their tasks.
func (w *world) work() {
	for _, v := range w.vms {
		if w.silent(v) {
			continue
		}
		for _, id := range csmodel.SortedKeys(v.tasks) {
			x := v.tasks[id]
			if w.now.Before(x.until) || w.cut(v) {
				continue
			}
			delete(v.tasks, id)
			if w.chance(20) {
				w.send(cstask.Fail{ID: id, Fence: x.fence, Final: w.chance(5)})
				continue
			}
			w.send(cstask.Finish{ID: id, Fence: x.fence, Used: cstask.Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute}})
		}
	}
}

func (w *world) schedule() {
	if !w.calm {
		for range w.rng.IntN(3) {
			w.submitted++
			w.send(cstask.Submit{
				ID: csmodel.TaskID(fmt.Sprint(w.submitted)), Job: csmodel.JobID(w.pool()), Team: "t",
				CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute, Deadline: w.now.Add(30 * time.Minute),
			})
		}
	}
	var workers []cstask.Worker
	for _, r := range w.machine.VMs() {
		v := w.byID[r.ID]
		x := cstask.Worker{
			VM: r.ID, Pool: r.Pool, Zone: r.Zone, Rack: r.Rack, CPU: 4000, Memory: 16 * csmodel.GiB,
			FreeCPU: 4000 - 1000*csmodel.MilliCPU(len(v.tasks)), FreeMemory: 8 * csmodel.GiB,
			Serving: r.State == Serving && !w.cut(v), Reported: v.Heard,
		}
		for _, id := range csmodel.SortedKeys(v.tasks) {
			x.Running = append(x.Running, cstask.Running{Task: id, Fence: v.tasks[id].fence})
		}
		workers = append(workers, x)
	}
	for _, a := range w.scheduler.Tick(w.machine.Tasks(), workers, w.now) {
		switch a := a.(type) {
		case cstask.Propose:
			w.send(a.Command)
		case cstask.Stop:
			if v := w.byID[a.VM]; !w.cut(v) {
				delete(v.tasks, a.Task)
			}
		default:
		}
	}
}

// noise adds commands of operators and callers, often with stale fences.
func (w *world) noise() {
	if w.calm {
		return
	}
	v := w.vms[w.rng.IntN(len(w.vms))]
	r, ok := w.machine.VM(v.VM)
	if !ok {
		return // a registration for a random pool would win over that of the home node
	}
	f := r.Fence - csmodel.Fence(w.rng.IntN(2))
	id := csmodel.TaskID(fmt.Sprint(max(1, w.submitted-w.rng.IntN(50))))
	wave := csmodel.WaveID(fmt.Sprint(w.rng.IntN(2)))
	w.send(cstask.Cancel{ID: id})
	all := []Command{
		StartReboot{VM: v.VM, Fence: f}, StartMove{VM: v.VM, Fence: f, To: w.pool()}, UndoMove{VM: v.VM, Fence: f},
		HandOver{VM: v.VM, Fence: f}, Admit{VM: v.VM, Fence: f}, ReportLost{VM: v.VM, Fence: f},
		RegisterVM{VM: v.VM, Home: w.pool(), Zone: v.Zone, Incarnation: v.life},
		PauseWave{Wave: wave, Operator: true}, ResumeWave{Wave: wave, Operator: true}, Configure{Revision: 1},
	}
	w.network = append(w.network, all[w.rng.IntN(len(all))])
}

// deliver applies proposals in random order; some stay in the network and some are applied again later.
func (w *world) deliver() {
	w.rng.Shuffle(len(w.network), func(i, j int) { w.network[i], w.network[j] = w.network[j], w.network[i] })
	var later []Command
	for _, c := range w.network {
		switch {
		case w.chance(20): // dropped
			continue
		case w.chance(10):
			later = append(later, c)
			continue
		case w.chance(4):
			later = append(later, c)
		}
		w.apply(c)
	}
	w.network = later
}
