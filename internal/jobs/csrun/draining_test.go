package csrun_test

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// TestDelayedHeartbeatDoesNotReopenDrainingTarget guards against starting tasks on a target that has announced that it drains
// (rule DRAIN): an earlier heartbeat arrives late at a new leader, which has no sequence number to compare it with.
func TestDelayedHeartbeatDoesNotReopenDrainingTarget(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 39, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	var heartbeat csrun.Heartbeat
	i.withTarget("1", func(k *simulatedTarget) {
		k.noHeartbeats = true
		heartbeat = csrun.Heartbeat{
			Sequence: 1 << 40, Clock: k.clock(),
			Target: csjob.Target{Incarnation: k.incarnation, Pool: testPool, Address: addressOf("1"), Resources: k.resources},
		}
	})
	draining := heartbeat
	draining.Sequence++
	draining.Target.Draining = true
	if err := i.leader.Heartbeat(t.Context(), draining); err != nil {
		t.Fatal(err)
	}
	i.leader.Follow()
	i.beginTerm(2)
	time.Sleep(50 * time.Millisecond)
	if err := i.leader.Heartbeat(t.Context(), heartbeat); err != nil {
		t.Fatal(err)
	}
	i.submitOne(1, 50*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	if got := len(i.simulator.runs); got > 0 {
		t.Errorf("got %d runs on a draining target, want none", got)
	}
}

// Capacity implements csrun.Fleet.
func (f *fleet) Capacity() csrun.VMCapacity { return csrun.VMCapacity{} }
