package csvms

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

var errOutcomeUnknown = errors.New("outcome unknown")

// stall holds back the commands of the Fleet from now on, so that it does not know their outcome.
func (g *fakeGroup) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = true
}

// resume ends a stall. The commands that were held back are applied or dropped.
func (h *harness) resume(apply bool) {
	h.t.Helper()
	g := h.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = false
	for _, c := range g.heldBack {
		if !apply {
			break
		}
		if _, err := g.apply(c); err != nil {
			h.t.Error(err)
		}
	}
	g.heldBack = nil
}

// runFor makes rounds for a while and calls f after each of them.
func (h *harness) runFor(d time.Duration, f func()) {
	h.t.Helper()
	end := time.Now().Add(d)
	h.runUntil(2*d, func(*csjob.Table) bool {
		f()
		return time.Now().After(end)
	})
}

// Guards against a move that ends runs: the outcome of its command is unknown for longer than a reservation lasts, its VM is
// released for new tasks meanwhile, and then the command is applied.
func TestOrderWithUnknownOutcomeStaysReserved(t *testing.T) {
	t.Parallel()
	for _, applied := range []bool{true, false} {
		name := "lost"
		if applied {
			name = "applied"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, map[csmodel.PoolID]int{"a": 1, "b": 0})
				h.runFor(300*time.Millisecond, func() {})
				incarnation := csjob.Incarnation{Target: "a-0.0", StartedAtMs: 1}
				h.group.stall()
				res := &reservation{order: csjob.VMOrder{VM: "a-0", Pool: "b", Incarnation: incarnation}, since: time.Now(), proposed: true}
				h.fleet.reservations["a-0"] = res
				h.fleet.commit(time.Now(), []csjob.VMOrder{res.order})
				res.since = res.since.Add(-maxReservationTime)
				h.runFor(500*time.Millisecond, func() {})
				if !h.fleet.Evicting().Has(incarnation) {
					t.Error("got the VM free for new tasks, want it held")
				}
				h.resume(applied)
				pool := csmodel.PoolID("a")
				if applied {
					pool = "b"
				}
				h.runUntil(5*time.Second, func(table *csjob.Table) bool {
					return len(h.fleet.reservations) == 0 && len(table.VMOrders()) == 0 && h.platform.list()[0].Pool == pool
				})
			})
		})
	}
}

// Guards against new tasks on a VM with an open order: a new leader knew such orders only once the VMs had been listed, and an
// outage of the platform's API delays that list for long.
func TestOpenOrderHoldsVMBeforeFirstList(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
	incarnation := csjob.Incarnation{Target: "a-0.0", StartedAtMs: 1}
	h.apply(csjob.Command{
		Wave:    &csjob.Wave{ID: "1", MaxConcurrent: 1, VMs: []csmodel.VMID{"a-0"}, Deadline: time.Second},
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation, Pool: "a"}}},
		VMs:     []csjob.VMOrder{{VM: "a-0", Wave: "1", Incarnation: incarnation}},
	})
	h.lead()
	h.platform.failingLists = 1
	h.runFor(50*time.Millisecond, func() {})
	if !h.fleet.Evicting().Has(incarnation) {
		t.Error("got the VM free for new tasks, want it held")
	}
}

// Guards against an order that ends runs: a run was started on the VM after the order was decided, by a leader that did not know
// the order yet.
func TestOpenOrderWaitsForRuns(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
	incarnation := csjob.Incarnation{Target: "a-0.0", StartedAtMs: 1}
	key := csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}
	task := csjob.TaskKey{Job: "a"}
	config := &csjob.Config{
		Version: 2, Pools: []csjob.Pool{{ID: "a"}}, Queues: []csjob.Queue{{Key: key, Name: "q", Pool: "a", Attempts: 2, Timeout: time.Second}},
	}
	h.apply(csjob.Command{Config: config})
	h.apply(csjob.Command{
		Submit:  &csjob.Submission{ID: task.Job, Queue: key, Steps: []csjob.Step{{Tasks: 1}}},
		Wave:    &csjob.Wave{ID: "1", MaxConcurrent: 1, VMs: []csmodel.VMID{"a-0"}, Deadline: time.Second},
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation, Pool: "a"}}},
		Starts:  []csjob.Start{{Task: task, Attempt: 1, Incarnation: incarnation}},
		VMs:     []csjob.VMOrder{{VM: "a-0", Wave: "1", Incarnation: incarnation}},
	})
	h.runFor(500*time.Millisecond, func() {
		h.platform.mu.Lock()
		defer h.platform.mu.Unlock()
		if len(h.platform.sentAt) > 0 {
			t.Fatal("got the order sent while a task runs there, want it to wait")
		}
	})
	h.apply(csjob.Command{Ends: []csjob.End{{Task: task, Attempt: 1, Incarnation: incarnation, Outcome: csjob.OutcomeDone}}})
	h.runUntil(20*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
}

// Guards against more VMs down at once than a wave allows: a list that was made before an order was carried out and arrives after
// it shows the VM as up, and so as back from its maintenance. Only the next list counts.
func TestListOlderThanOrderIsIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
		h.runFor(300*time.Millisecond, func() {})
		incarnation := csjob.Incarnation{Target: "a-0.0", StartedAtMs: 1}
		o := csjob.VMOrder{VM: "a-0", Wave: "1", Incarnation: incarnation}
		state := &openOrder{order: o}
		requestList := func() {
			h.group.View(func(table *csjob.Table) {
				h.fleet.mu.Lock()
				defer h.fleet.mu.Unlock()
				h.fleet.listEndedAt, h.fleet.listedAt = time.Time{}, time.Time{}
				h.fleet.requestList(csrun.Round{Now: time.Now(), Table: table})
			})
		}
		back := func() bool {
			time.Sleep(2*h.platform.listDelay + testMaintenanceTime)
			h.fleet.mu.Lock()
			defer h.fleet.mu.Unlock()
			return h.fleet.backFromMaintenance(time.Now(), o.VM, state)
		}
		h.platform.listDelay = 400 * time.Millisecond
		requestList()
		time.Sleep(h.platform.listDelay / 2)
		h.fleet.mu.Lock()
		h.fleet.recordAccepted(time.Now(), o, state)
		h.fleet.mu.Unlock()
		if back() {
			t.Error("got the VM back by a list older than its maintenance")
		}
		requestList()
		if !back() {
			t.Error("got the VM still away, want it back by the next list")
		}
	})
}

// Pattern: another pool becomes busy, and the platform accepts 200 moves within a moment. Guards against a command for each of
// them: the group would commit the starts of tasks behind hundreds of commands.
func TestAcceptedOrdersShareCommands(t *testing.T) {
	const moves = 200
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, map[csmodel.PoolID]int{"busy": 1, "quiet": moves})
		before := h.group.index
		h.fleet.mu.Lock()
		for i := range moves {
			id := csmodel.VMID(fmt.Sprintf("quiet-%d", i))
			h.fleet.recordAccepted(time.Now(), csjob.VMOrder{VM: id, Pool: "busy"}, &openOrder{})
		}
		h.fleet.mu.Unlock()
		time.Sleep(2 * acceptedDelay)
		synctest.Wait()
		if got, want := int(h.group.index-before), 5; got == 0 || got > want {
			t.Errorf("got %d commands for %d accepted orders, want 1 to %d", got, moves, want)
		}
	})
}
