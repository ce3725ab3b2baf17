package csrun_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Pattern: a target is lost while orders are on their way to it. Guards against a job that counts as started although its start
// has reached no target, and against one that still counts as waiting after a target has started it (rule MIXED).
func TestJobIsPendingUntilTargetConfirmsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const visible = 2 * time.Second // how old the number of pending jobs may be
		i := newCluster(t, 1, 1, faults{})
		pending := func() (n int) {
			i.state.View(func(t *csjob.Table) { n = t.Pending(testKey) })
			return n
		}
		time.Sleep(time.Second) // the target joins
		i.simulator.hold = func(csjob.Target, csrun.StartOrder) bool { return true }
		i.submit("0000000000000001", step(1, 1000, 20*time.Second))
		time.Sleep(visible)
		if got, want := pending(), 1; got != want {
			t.Errorf("start not delivered: got %d pending jobs, want %d", got, want)
		}
		i.simulator.mu.Lock()
		i.simulator.hold = nil
		i.simulator.mu.Unlock()
		time.Sleep(visible)
		if got, want := pending(), 0; got != want {
			t.Errorf("task is running: got %d pending jobs, want %d", got, want)
		}
		i.state.stall()
		i.submit("0000000000000002", step(1, 1000, 20*time.Second))
		time.Sleep(100 * time.Millisecond)
		i.state.resume(false) // the commands of the leader are dropped
		time.Sleep(visible)
		if got, want := pending(), 0; got != want {
			t.Errorf("after dropped commands: got %d pending jobs, want %d", got, want)
		}
	})
}

// Guards against a job that counts as waiting for as long as its tasks run, because the command that says that they have started was lost.
func TestLostConfirmationIsProposedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newCluster(t, 2, 1, faults{})
		time.Sleep(time.Second) // the target joins
		i.state.set(func() { i.state.commitTime = 100 * time.Millisecond })
		i.submit("0000000000000001", step(1, 1000, 20*time.Second))
		i.waitFor("the run", func() bool { return i.runsOn("1") == 1 })
		i.state.stall() // the start is on record, and its confirmation is being committed
		time.Sleep(500 * time.Millisecond)
		i.state.resume(false) // the commands of the leader are dropped
		time.Sleep(2 * time.Second)
		if got, want := i.jobState("0000000000000001"), csjob.Running; got != want {
			t.Errorf("got state %d of the job, want %d", got, want)
		}
	})
}
