package csrun_test

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// TestDelayedHeartbeatDoesNotReopenLeavingTarget guards against starting tasks on a target that has announced that it leaves
// (rule DRAIN): an earlier heartbeat arrives late at a new leader, which has no sequence number to compare it with.
func TestDelayedHeartbeatDoesNotReopenLeavingTarget(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 39, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	var beat csrun.Heartbeat
	i.withTarget("1", func(k *simulatedTarget) {
		k.noHeartbeats = true
		beat = csrun.Heartbeat{
			Sequence: 1 << 40, Clock: k.clock(),
			Target: csjob.Target{Incarnation: k.incarnation, Pool: testPool, Address: addressOf("1"), Resources: k.resources},
		}
	})
	leaving := beat
	leaving.Sequence++
	leaving.Target.Draining = true
	if err := i.leader.Heartbeat(t.Context(), leaving); err != nil {
		t.Fatal(err)
	}
	i.leader.Follow()
	i.beginTerm(2)
	time.Sleep(50 * time.Millisecond)
	if err := i.leader.Heartbeat(t.Context(), beat); err != nil {
		t.Fatal(err)
	}
	i.submitOne(1, 50*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	if got := len(i.simulator.runs); got > 0 {
		t.Errorf("got %d runs on a leaving target, want none", got)
	}
}
