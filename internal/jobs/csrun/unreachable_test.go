package csrun_test

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against tasks that never end on a target that sends heartbeats but cannot be called, or that refuses all calls as
// unhealthy: its lease expires, so its tasks must run on another target.
func TestTargetWithoutPollAnswersIsRemoved(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(*simulatedTarget)
	}{
		{"all calls lost", func(k *simulatedTarget) { k.dropsCalls = true }},
		{"unhealthy", func(k *simulatedTarget) { k.unhealthy = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, 50, 1, faults{})
			time.Sleep(3 * testHeartbeatInterval)
			id := i.submitOne(1, 1500*time.Millisecond)
			i.waitFor("the run", func() bool { return i.runsOn("1") == 1 })
			i.withTarget("1", c.fail)
			i.addTarget("2")
			i.awaitAllJobs(10 * time.Second)
			if got, want := i.jobState(id), csjob.Completed; got != want {
				t.Errorf("got state %d, want %d", got, want)
			}
			i.checkInvariants()
		})
	}
}

// Guards against a long-running task that never runs: its target becomes silent before it answers the start, and each retry of
// the start counted as an extension of the lease.
func TestStartRetriesDoNotExtendLeaseOfSilentTarget(t *testing.T) {
	t.Parallel()
	timing := testTiming
	timing.Lease, timing.LongestLease = 1500*time.Millisecond, 1800*time.Millisecond // longer than the delay between retries
	i := newClusterWithTiming(t, 51, 1, faults{}, timing)
	time.Sleep(3 * testHeartbeatInterval)
	i.delayStarts("1")
	i.submit("00000000000000aa", csjob.Step{Tasks: 1, Resources: csjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true})
	time.Sleep(50 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
	i.addTarget("2")
	i.waitFor("the run on the other target", func() bool { return i.runsOn("2") == 1 })
	i.checkInvariants()
}
