package cstask

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// world runs a scheduler against simulated workers whose reports lag by reportLag ticks of a second.
type world struct {
	t         *testing.T
	table     *Table
	scheduler *Scheduler
	now       time.Time
	workers   []*simWorker
	byVM      map[csmodel.VMID]*simWorker
	actual    func(csmodel.TaskID) Usage // what a task really uses
	log       []Action
	starts    map[csmodel.VMID]int
	finished  int
}

type simWorker struct {
	Worker
	fails   bool
	tasks   []simTask
	reports []Worker
}

type simTask struct {
	id    csmodel.TaskID
	fence csmodel.Fence
	since time.Time
}

const reportLag = 3

func newWorld(t *testing.T, workers int) *world {
	w := &world{
		t: t, table: New(Limits{}), scheduler: NewScheduler(), now: epoch,
		byVM: make(map[csmodel.VMID]*simWorker), starts: make(map[csmodel.VMID]int),
		actual: func(csmodel.TaskID) Usage { return Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute} },
	}
	w.scheduler.Configure([]csconfig.Job{{Name: "job", Pool: "pool"}, {Name: "other", Pool: "pool"}})
	for i := range workers {
		zone, rack := i%3, i/3%2
		s := &simWorker{Worker: Worker{
			VM: csmodel.VMID(fmt.Sprintf("v%02d", i)), Pool: "pool", Zone: csmodel.AvailabilityZone(fmt.Sprint(zone)),
			Rack: csmodel.Rack(fmt.Sprintf("%d-%d", zone, rack)), CPU: 8000, Memory: 32 * csmodel.GiB, Serving: true,
		}}
		w.workers = append(w.workers, s)
		w.byVM[s.VM] = s
	}
	return w
}

func (w *world) submit(count int, edit func(int, *Submit)) {
	w.t.Helper()
	for i := range count {
		s := submission(fmt.Sprintf("t%05d", w.table.Counts().Waiting+w.table.Counts().Leased+w.table.Counts().Ended))
		s.Deadline = w.now.Add(6 * time.Hour)
		if edit != nil {
			edit(i, &s)
		}
		if r := w.table.Apply(s, w.now); r.Status != OK {
			w.t.Fatalf("submit %s: status %d", s.ID, r.Status)
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Second)
		for _, s := range w.workers {
			w.work(s)
		}
		var reports []Worker
		for _, s := range w.workers {
			s.reports = append(s.reports, w.report(s))
			reports = append(reports, s.reports[max(0, len(s.reports)-1-reportLag)])
		}
		for _, a := range w.scheduler.Tick(w.table, reports, w.now) {
			w.log = append(w.log, a)
			w.execute(a)
		}
	}
}

func (w *world) work(s *simWorker) {
	var rest []simTask
	for _, x := range s.tasks {
		used := w.actual(x.id)
		switch {
		case s.fails:
			w.table.Apply(Fail{ID: x.id, Fence: x.fence}, w.now)
		case w.now.Sub(x.since) >= used.Runtime:
			if w.table.Apply(Finish{ID: x.id, Fence: x.fence, Used: used}, w.now).Status == OK {
				w.finished++
			}
		default:
			rest = append(rest, x)
		}
	}
	s.tasks = rest
}

func (w *world) report(s *simWorker) Worker {
	r := s.Worker
	r.Reported = w.now
	r.FreeCPU, r.FreeMemory = s.CPU, s.Memory
	for _, x := range s.tasks {
		u := w.actual(x.id)
		u.Runtime = w.now.Sub(x.since)
		r.FreeCPU -= u.CPU
		r.FreeMemory -= u.Memory
		r.Running = append(r.Running, Running{Task: x.id, Fence: x.fence, Used: u})
	}
	return r
}

func (w *world) execute(a Action) {
	switch a := a.(type) {
	case Propose:
		r := w.table.Apply(a.Command, w.now)
		if l, ok := a.Command.(Lease); ok && r.Status == OK {
			s := w.byVM[l.VM]
			s.tasks = append(s.tasks, simTask{id: l.ID, fence: l.Fence, since: w.now})
			w.starts[l.VM]++
		}
	case TakeCheckpoint:
		w.table.Apply(Checkpoint{ID: a.Task, Fence: a.Fence, Sequence: 1, Data: []byte("x"), Release: true, Used: w.actual(a.Task)}, w.now)
		w.drop(a.VM, a.Task)
	case Stop:
		if a.Overrun {
			w.table.Apply(Fail{ID: a.Task, Fence: a.Fence, Overrun: true, Used: w.actual(a.Task)}, w.now)
		}
		w.drop(a.VM, a.Task)
	case Throttle:
	}
}

func (w *world) drop(vm csmodel.VMID, id csmodel.TaskID) {
	s := w.byVM[vm]
	for i, x := range s.tasks {
		if x.id == id {
			s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
			return
		}
	}
}

// Guards against overcommitment because reports do not show recent leases, and against leases that are not renewed.
func TestSchedulerCapacity(t *testing.T) {
	w := newWorld(t, 6)
	w.actual = func(csmodel.TaskID) Usage { return Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: 10 * time.Minute} }
	w.submit(200, nil)
	for range 3600 {
		w.run(time.Second)
		for _, s := range w.workers {
			if len(s.tasks) > 8 {
				t.Fatalf("worker %s runs %d tasks of 1 core on 8 cores", s.VM, len(s.tasks))
			}
		}
	}
	w.run(time.Hour)
	if w.finished != 200 {
		t.Errorf("got %d finished tasks, want 200", w.finished)
	}
	for _, a := range w.log {
		if p, ok := a.(Propose); ok {
			if _, ok := p.Command.(Expire); ok {
				t.Fatal("a lease of a running task expired")
			}
		}
	}
}

// Guards against tasks that start in the order of submission rather than of their latest start, and against one failure
// domain that gets all tasks of a job.
func TestSchedulerOrderAndSpread(t *testing.T) {
	w := newWorld(t, 6)
	w.submit(60, func(i int, s *Submit) {
		s.Deadline = w.now.Add(time.Duration(100-i) * time.Minute)
		if i == 10 {
			s.Runtime = 90 * time.Minute // starts first although its deadline is not the earliest
		}
	})
	w.run(time.Second)
	lease := w.log[0].(Propose).Command.(Lease)
	if lease.ID != "t00010" {
		t.Errorf("first lease is %s, want t00010", lease.ID)
	}
	for _, s := range w.workers {
		if got := w.starts[s.VM]; got != 8 {
			t.Errorf("worker %s got %d tasks, want 8", s.VM, got)
		}
	}
	w = newWorld(t, 6)
	w.submit(6, nil)
	w.run(time.Second)
	for _, s := range w.workers {
		if got := w.starts[s.VM]; got != 1 {
			t.Errorf("worker %s got %d tasks, want 1 on each", s.VM, got)
		}
	}
}

// Guards against a task that no worker can hold and that keeps the others from running, and against judging it before the
// list of workers is complete.
func TestSchedulerTooLarge(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(100, func(i int, s *Submit) {
		if i < 50 {
			s.CPU, s.Job = 9000, "other" // a job of its own: learned sizes take precedence over declared ones
			s.Deadline = w.now.Add(time.Hour)
		}
	})
	w.run(30 * time.Second)
	if got := w.table.Counts().SetAside; got != 0 {
		t.Errorf("got %d tasks set aside after 30 s, want 0", got)
	}
	w.run(30 * time.Minute)
	if got := w.table.Counts().SetAside; got != 50 || w.finished != 50 {
		t.Errorf("got %d set aside and %d finished, want 50 and 50", got, w.finished)
	}
}

// Guards against a stream of small tasks that takes every gap before a large task past its latest start.
func TestSchedulerLargeTaskStarts(t *testing.T) {
	w := newWorld(t, 3)
	w.actual = func(id csmodel.TaskID) Usage { // gaps appear one by one
		n := int(id[4]-'0')*7 + int(id[5]-'0')*13
		return Usage{CPU: 1000, Memory: csmodel.GiB, Runtime: time.Duration(40+n%41) * time.Second}
	}
	w.submit(24, nil)
	w.run(10 * time.Second)
	w.submit(1, func(_ int, s *Submit) {
		s.CPU, s.Job = 8000, "other"
		s.Deadline = w.now
	})
	w.submit(600, nil)
	w.run(5 * time.Minute)
	if got, _ := w.table.Get("t00024"); got.State == StateWaiting {
		t.Error("the large task still waits after 5 minutes")
	}
}

// Guards against a worker that fails everything at once and therefore attracts all tasks.
func TestSchedulerFailingWorker(t *testing.T) {
	w := newWorld(t, 6)
	w.workers[2].fails = true
	w.submit(1000, nil)
	w.run(time.Hour)
	if got := w.starts[w.workers[2].VM]; got > 40 {
		t.Errorf("the failing worker got %d tasks, want at most 40", got)
	}
	if got := w.table.Counts().SetAside; got != 0 || w.finished != 1000 {
		t.Errorf("got %d set aside and %d finished, want 0 and 1000", got, w.finished)
	}
}

// Guards against a task that uses more than reserved on a full worker and is not throttled, moved and stopped in this
// order, and against stopping a task that harms nobody.
func TestSchedulerOverrun(t *testing.T) {
	w := newWorld(t, 1)
	use := csmodel.MilliCPU(6000)
	w.actual = func(csmodel.TaskID) Usage { return Usage{CPU: use, Memory: csmodel.GiB, Runtime: time.Hour} }
	w.submit(1, nil)
	w.run(5 * time.Minute)
	if got := steps(w.log); got != "" {
		t.Fatalf("got steps %q against a task on an idle worker, want none", got)
	}
	use = 8000
	w.run(2 * time.Minute)
	if got := steps(w.log); got != "throttle move " {
		t.Errorf("got steps %q, want throttle, move", got)
	}
	w = newWorld(t, 1)
	w.actual = func(csmodel.TaskID) Usage { return Usage{CPU: 8000, Memory: csmodel.GiB, Runtime: time.Hour} }
	w.submit(1, nil)
	w.run(2 * time.Second)
	var got string
	for range 100 { // a worker that ignores the request for a checkpoint
		w.now = w.now.Add(time.Second)
		got += steps(w.scheduler.Tick(w.table, []Worker{w.report(w.workers[0])}, w.now))
	}
	if got != "throttle move stop stop " {
		t.Errorf("got steps %q, want throttle, move, stop, stop", got)
	}
}

func steps(log []Action) string {
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

// Guards against a cancelled task that goes on running, and a stop that is repeated on each tick.
func TestSchedulerStopsCancelled(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(1, nil)
	w.run(2 * time.Second)
	w.table.Apply(Cancel{ID: "t00000"}, w.now)
	stops := 0
	for range 10 {
		w.now = w.now.Add(time.Second)
		for _, a := range w.scheduler.Tick(w.table, []Worker{w.report(w.workers[0])}, w.now) {
			if _, ok := a.(Stop); ok {
				stops++
			}
		}
	}
	if stops != 1 {
		t.Errorf("got %d stops, want 1", stops)
	}
}
