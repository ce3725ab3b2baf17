package cstask

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// simulation runs a scheduler against simulated workers. Ticks are one second apart, and reports lag by reportLagTicks.
type simulation struct {
	t             *testing.T
	table         *Table
	scheduler     *Scheduler
	now           time.Time
	workers       []*simWorker
	byVM          map[csmodel.VMID]*simWorker
	actualUsage   func(csmodel.TaskID) Usage // usage of a task, as opposed to its declared sizes
	actions       []Action
	startsByVM    map[csmodel.VMID]int
	finishedCount int
}

type simWorker struct {
	Worker
	alwaysFails   bool
	tasks         []simTask
	reportHistory []Worker
}

type simTask struct {
	id        csmodel.TaskID
	fence     csmodel.Fence
	startedAt time.Time
}

const reportLagTicks = 3

func newSimulation(t *testing.T, workers int) *simulation {
	sim := &simulation{
		t: t, table: New(Limits{}), scheduler: NewScheduler(), now: baseTime,
		byVM: make(map[csmodel.VMID]*simWorker), startsByVM: make(map[csmodel.VMID]int),
		actualUsage: func(csmodel.TaskID) Usage { return Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute} },
	}
	sim.scheduler.Configure([]csconfig.Job{{Name: "job", Pool: "pool"}, {Name: "other", Pool: "pool"}})
	for i := range workers {
		zone, rack := i%3, i/3%2
		worker := &simWorker{Worker: Worker{
			VM: csmodel.VMID(fmt.Sprintf("v%02d", i)), Pool: "pool", Zone: csmodel.AvailabilityZone(fmt.Sprint(zone)),
			Rack: csmodel.Rack(fmt.Sprintf("%d-%d", zone, rack)), CPU: 8000, Memory: 32 * csmodel.GiB, Serving: true,
		}}
		sim.workers = append(sim.workers, worker)
		sim.byVM[worker.VM] = worker
	}
	return sim
}

func (sim *simulation) submit(count int, edit func(int, *Submit)) {
	sim.t.Helper()
	for i := range count {
		s := newSubmit(fmt.Sprintf("t%05d", sim.table.Counts().Waiting+sim.table.Counts().Leased+sim.table.Counts().Ended))
		s.Deadline = sim.now.Add(6 * time.Hour)
		if edit != nil {
			edit(i, &s)
		}
		if r := sim.table.Apply(s, sim.now); r.Status != OK {
			sim.t.Fatalf("submit %s: status %d", s.ID, r.Status)
		}
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(time.Second)
		for _, worker := range sim.workers {
			sim.runTasks(worker)
		}
		var reports []Worker
		for _, worker := range sim.workers {
			worker.reportHistory = append(worker.reportHistory, sim.report(worker))
			reports = append(reports, worker.reportHistory[max(0, len(worker.reportHistory)-1-reportLagTicks)])
		}
		for _, a := range sim.scheduler.Tick(sim.table, reports, sim.now) {
			sim.actions = append(sim.actions, a)
			sim.execute(a)
		}
	}
}

func (sim *simulation) runTasks(worker *simWorker) {
	var rest []simTask
	for _, task := range worker.tasks {
		used := sim.actualUsage(task.id)
		switch {
		case worker.alwaysFails:
			sim.table.Apply(Fail{ID: task.id, Fence: task.fence}, sim.now)
		case sim.now.Sub(task.startedAt) >= used.Runtime:
			if sim.table.Apply(Finish{ID: task.id, Fence: task.fence, Used: used}, sim.now).Status == OK {
				sim.finishedCount++
			}
		default:
			rest = append(rest, task)
		}
	}
	worker.tasks = rest
}

func (sim *simulation) report(worker *simWorker) Worker {
	r := worker.Worker
	r.ReportedAt = sim.now
	r.FreeCPU, r.FreeMemory = worker.CPU, worker.Memory
	for _, task := range worker.tasks {
		u := sim.actualUsage(task.id)
		u.Runtime = sim.now.Sub(task.startedAt)
		r.FreeCPU -= u.CPU
		r.FreeMemory -= u.Memory
		r.Running = append(r.Running, Running{Task: task.id, Fence: task.fence, Used: u})
	}
	return r
}

func (sim *simulation) execute(a Action) {
	switch a := a.(type) {
	case Propose:
		r := sim.table.Apply(a.Command, sim.now)
		if l, ok := a.Command.(Lease); ok && r.Status == OK {
			worker := sim.byVM[l.VM]
			worker.tasks = append(worker.tasks, simTask{id: l.ID, fence: l.Fence, startedAt: sim.now})
			sim.startsByVM[l.VM]++
		}
	case TakeCheckpoint:
		sim.table.Apply(Checkpoint{ID: a.Task, Fence: a.Fence, Sequence: 1, Data: []byte("x"), Release: true, Used: sim.actualUsage(a.Task)}, sim.now)
		sim.removeTask(a.VM, a.Task)
	case Stop:
		if a.Overrun {
			sim.table.Apply(Fail{ID: a.Task, Fence: a.Fence, Overrun: true, Used: sim.actualUsage(a.Task)}, sim.now)
		}
		sim.removeTask(a.VM, a.Task)
	case Throttle:
	}
}

func (sim *simulation) removeTask(vm csmodel.VMID, id csmodel.TaskID) {
	worker := sim.byVM[vm]
	for i, task := range worker.tasks {
		if task.id == id {
			worker.tasks = append(worker.tasks[:i], worker.tasks[i+1:]...)
			return
		}
	}
}

// Guards against overcommitted workers because reports do not show recent leases yet, and against leases of running tasks
// that are not renewed.
func TestSchedulerCapacity(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.actualUsage = func(csmodel.TaskID) Usage { return Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: 10 * time.Minute} }
	sim.submit(200, nil)
	for range 3600 {
		sim.run(time.Second)
		for _, worker := range sim.workers {
			if len(worker.tasks) > 8 {
				t.Fatalf("worker %s runs %d tasks of 1 core on 8 cores", worker.VM, len(worker.tasks))
			}
		}
	}
	sim.run(time.Hour)
	if sim.finishedCount != 200 {
		t.Errorf("got %d finished tasks, want 200", sim.finishedCount)
	}
	for _, a := range sim.actions {
		if p, ok := a.(Propose); ok {
			if _, ok := p.Command.(Expire); ok {
				t.Fatal("a lease of a running task expired")
			}
		}
	}
}

// Guards against tasks that start in the order of submission instead of their latest start, and against a job with all tasks
// in one failure domain.
func TestSchedulerOrderAndSpread(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.submit(60, func(i int, s *Submit) {
		s.Deadline = sim.now.Add(time.Duration(100-i) * time.Minute)
		if i == 10 {
			s.Runtime = 90 * time.Minute // has the earliest latest start, but not the earliest deadline
		}
	})
	sim.run(time.Second)
	lease := sim.actions[0].(Propose).Command.(Lease)
	if lease.ID != "t00010" {
		t.Errorf("first lease is %s, want t00010", lease.ID)
	}
	for _, worker := range sim.workers {
		if got := sim.startsByVM[worker.VM]; got != 8 {
			t.Errorf("worker %s got %d tasks, want 8", worker.VM, got)
		}
	}
	sim = newSimulation(t, 6)
	sim.submit(6, nil)
	sim.run(time.Second)
	for _, worker := range sim.workers {
		if got := sim.startsByVM[worker.VM]; got != 1 {
			t.Errorf("worker %s got %d tasks, want 1", worker.VM, got)
		}
	}
}

// Guards against a task that is larger than every worker and blocks other tasks, and against setting it aside before the
// list of workers is complete.
func TestSchedulerTooLarge(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.submit(100, func(i int, s *Submit) {
		if i < 50 {
			s.CPU, s.Job = 9000, "other" // a separate job, because estimated sizes take precedence over declared ones
			s.Deadline = sim.now.Add(time.Hour)
		}
	})
	sim.run(30 * time.Second)
	if got := sim.table.Counts().SetAside; got != 0 {
		t.Errorf("got %d tasks set aside after 30 s, want 0", got)
	}
	sim.run(30 * time.Minute)
	if got := sim.table.Counts().SetAside; got != 50 || sim.finishedCount != 50 {
		t.Errorf("got %d set aside and %d finished, want 50 and 50", got, sim.finishedCount)
	}
}

// Guards against small tasks that take all free capacity, so that a large task past its latest start never fits.
func TestSchedulerLargeTaskStarts(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.actualUsage = func(id csmodel.TaskID) Usage { // varied run times, so that capacity becomes free in small parts
		n := int(id[4]-'0')*7 + int(id[5]-'0')*13
		return Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: time.Duration(40+n%41) * time.Second}
	}
	sim.submit(24, nil)
	sim.run(10 * time.Second)
	sim.submit(1, func(_ int, s *Submit) {
		s.CPU, s.Job = 8000, "other"
		s.Deadline = sim.now
	})
	sim.submit(600, nil)
	sim.run(5 * time.Minute)
	if got, _ := sim.table.Get("t00024"); got.State == StateWaiting {
		t.Error("large task is still waiting after 5 minutes")
	}
}

// Guards against a worker that fails every task immediately, is therefore idle and attracts all tasks.
func TestSchedulerFailingWorker(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.workers[2].alwaysFails = true
	sim.submit(1000, nil)
	sim.run(time.Hour)
	if got := sim.startsByVM[sim.workers[2].VM]; got > 40 {
		t.Errorf("the failing worker got %d tasks, want at most 40", got)
	}
	if got := sim.table.Counts().SetAside; got != 0 || sim.finishedCount != 1000 {
		t.Errorf("got %d set aside and %d finished, want 0 and 1000", got, sim.finishedCount)
	}
}

// Guards against a task that exceeds its reservation on a full worker without being throttled, moved and stopped in this
// order, and against steps on a worker with spare capacity.
func TestSchedulerOverrun(t *testing.T) {
	sim := newSimulation(t, 1)
	use := csmodel.MilliCPU(6000)
	sim.actualUsage = func(csmodel.TaskID) Usage { return Usage{CPU: use, Memory: csmodel.GiB, Runtime: time.Hour} }
	sim.submit(1, nil)
	sim.run(5 * time.Minute)
	if got := escalationSteps(sim.actions); got != "" {
		t.Fatalf("got steps %q against a task on an idle worker, want none", got)
	}
	use = 8000
	sim.run(2 * time.Minute)
	if got := escalationSteps(sim.actions); got != "throttle move " {
		t.Errorf("got steps %q, want throttle, move", got)
	}
	sim = newSimulation(t, 1)
	sim.actualUsage = func(csmodel.TaskID) Usage { return Usage{CPU: 8000, Memory: csmodel.GiB, Runtime: time.Hour} }
	sim.submit(1, nil)
	sim.run(2 * time.Second)
	var got string
	for range 100 { // the worker ignores the request for a checkpoint
		sim.now = sim.now.Add(time.Second)
		got += escalationSteps(sim.scheduler.Tick(sim.table, []Worker{sim.report(sim.workers[0])}, sim.now))
	}
	if got != "throttle move stop stop " {
		t.Errorf("got steps %q, want throttle, move, stop, stop", got)
	}
}

func escalationSteps(log []Action) string {
	var s string
	for _, a := range log {
		switch a := a.(type) {
		case Throttle:
			s += "throttle "
		case TakeCheckpoint:
			s += "move "
		case Stop:
			if a.Overrun {
				s += "stop "
			}
		default:
		}
	}
	return s
}

// Guards against a cancelled task that continues to run, and against a stop that is repeated on each tick.
func TestSchedulerStopsCancelled(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit(1, nil)
	sim.run(2 * time.Second)
	sim.table.Apply(Cancel{ID: "t00000"}, sim.now)
	stops := 0
	for range 10 {
		sim.now = sim.now.Add(time.Second)
		for _, a := range sim.scheduler.Tick(sim.table, []Worker{sim.report(sim.workers[0])}, sim.now) {
			if _, ok := a.(Stop); ok {
				stops++
			}
		}
	}
	if stops != 1 {
		t.Errorf("got %d stops, want 1", stops)
	}
}
