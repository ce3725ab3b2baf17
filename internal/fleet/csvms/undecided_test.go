package csvms

import (
	"errors"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

var errUnknown = errors.New("outcome unknown")

// stall holds the commands of the fleet back from now on. Their outcome is not known to it.
func (g *group) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = true
}

// resume ends a stall. The commands that were held back are applied, or are lost.
func (s *stage) resume(apply bool) {
	s.t.Helper()
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = false
	for _, c := range g.held {
		if !apply {
			break
		}
		if _, err := g.apply(c); err != nil {
			s.t.Error(err)
		}
	}
	g.held = nil
}

// rounds makes rounds for a while and calls f after each.
func (s *stage) rounds(d time.Duration, f func()) {
	s.t.Helper()
	end := time.Now().Add(d)
	s.run(2*d, func(*csjob.Table) bool {
		f()
		return time.Now().After(end)
	})
}

// Guards against a move that ends runs: the outcome of its command is not known for longer than a reservation lasts, its VM was
// given free for new tasks meanwhile, and then the command is applied.
func TestOrderWithUnknownOutcomeStaysReserved(t *testing.T) {
	t.Parallel()
	for _, applied := range []bool{true, false} {
		name := "lost"
		if applied {
			name = "applied"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, map[csmodel.PoolID]int{"a": 1, "b": 0})
			s.rounds(300*time.Millisecond, func() {})
			life := csjob.Life{Target: "a-0.0", Born: 1}
			s.group.stall()
			o := &reservation{order: csjob.VMOrder{VM: "a-0", Pool: "b", Life: life}, since: time.Now(), sent: true}
			s.fleet.reserved["a-0"] = o
			s.fleet.commit(time.Now(), []csjob.VMOrder{o.order})
			o.since = o.since.Add(-holdLimit)
			s.rounds(500*time.Millisecond, func() {})
			if !s.fleet.Held().Has(life) {
				t.Error("got the VM free for new tasks, want it held")
			}
			s.resume(applied)
			pool := csmodel.PoolID("a")
			if applied {
				pool = "b"
			}
			s.run(5*time.Second, func(table *csjob.Table) bool {
				return len(s.fleet.reserved) == 0 && len(table.VMOrders()) == 0 && s.cloud.list()[0].Pool == pool
			})
		})
	}
}

// Guards against new tasks on a VM with an open order: a new leader knew such orders only once the VMs had been listed, and an
// outage of the platform's interface keeps the list from it for long.
func TestOpenOrderHoldsItsVMBeforeTheFirstList(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	life := csjob.Life{Target: "a-0.0", Born: 1}
	s.do(csjob.Command{
		Wave:    &csjob.Wave{ID: "1", AtOnce: 1, VMs: []csmodel.VMID{"a-0"}, Deadline: time.Second},
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life, Pool: "a"}}},
		VMs:     []csjob.VMOrder{{VM: "a-0", Wave: "1", Life: life}},
	})
	s.lead()
	s.cloud.silent = 1
	s.rounds(50*time.Millisecond, func() {})
	if !s.fleet.Held().Has(life) {
		t.Error("got the VM free for new tasks, want it held")
	}
}

// Guards against an order that ends runs: something was started on the VM after the order was decided on, by a leader that did
// not know the order yet.
func TestOpenOrderWaitsForRuns(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	life := csjob.Life{Target: "a-0.0", Born: 1}
	key := csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}
	task := csjob.TaskKey{Job: "a"}
	config := &csjob.Config{
		Version: 2, Pools: []csjob.Pool{{ID: "a"}}, Queues: []csjob.Queue{{Key: key, Name: "q", Pool: "a", Attempts: 2, Timeout: time.Second}},
	}
	s.do(csjob.Command{Config: config})
	s.do(csjob.Command{
		Submit:  &csjob.Submission{ID: task.Job, Queue: key, Steps: []csjob.Step{{Tasks: 1}}},
		Wave:    &csjob.Wave{ID: "1", AtOnce: 1, VMs: []csmodel.VMID{"a-0"}, Deadline: time.Second},
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life, Pool: "a"}}},
		Starts:  []csjob.Start{{Task: task, Attempt: 1, Life: life}},
		VMs:     []csjob.VMOrder{{VM: "a-0", Wave: "1", Life: life}},
	})
	s.rounds(500*time.Millisecond, func() {
		s.cloud.mu.Lock()
		defer s.cloud.mu.Unlock()
		if len(s.cloud.sentAt) > 0 {
			t.Fatal("got the order sent while a task runs there, want it to wait")
		}
	})
	s.do(csjob.Command{Ends: []csjob.End{{Task: task, Attempt: 1, Life: life, Outcome: csjob.OutcomeDone}}})
	s.run(20*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
}

// Guards against more VMs of a wave that are down at once than it allows: a list that was made before an order was carried out and
// arrives after it shows the VM as up, and so as back from its maintenance. The next list counts.
func TestListFromBeforeAnOrderIsNoNews(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	s.rounds(300*time.Millisecond, func() {})
	life := csjob.Life{Target: "a-0.0", Born: 1}
	o := csjob.VMOrder{VM: "a-0", Wave: "1", Life: life}
	c := &orderCall{order: o}
	ask := func() {
		s.group.View(func(table *csjob.Table) {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			s.fleet.askedAt, s.fleet.listedAt = time.Time{}, time.Time{}
			s.fleet.list(csrun.Round{Now: time.Now(), Table: table})
		})
	}
	back := func() bool {
		time.Sleep(2*s.cloud.slow + testUpkeep)
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		return s.fleet.returned(time.Now(), o.VM, c)
	}
	s.cloud.slow = 400 * time.Millisecond
	ask()
	time.Sleep(s.cloud.slow / 2)
	s.fleet.mu.Lock()
	s.fleet.done(time.Now(), o, c)
	s.fleet.mu.Unlock()
	if back() {
		t.Error("got the VM back by a list from before its maintenance")
	}
	ask()
	if !back() {
		t.Error("got the VM still away, want it back by the next list")
	}
}
