package csrun_test

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Guards against a second, concurrent run of a task, and against the loss of its first one: another program sends a heartbeat that names
// an unknown pool, and the address or the name of a target.
func TestHeartbeatWithUnknownPoolChangesNothing(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		stranger func(csjob.Target) csjob.Target
	}{
		{"address of a target", func(o csjob.Target) csjob.Target {
			o.Incarnation = csjob.Incarnation{Target: "stranger", StartedAtMs: time.Now().UnixMilli()}
			return o
		}},
		{"name of a target, started later", func(o csjob.Target) csjob.Target {
			o.Incarnation.StartedAtMs++
			return o
		}},
		{"name and start of a target", func(o csjob.Target) csjob.Target { return o }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, 44, 2, faults{})
			time.Sleep(3 * testHeartbeatInterval)
			i.submit("0000000000000001", step(4, 1000, 500*time.Millisecond))
			i.waitFor("the runs", func() bool { return i.runsOn("1")+i.runsOn("2") == 4 })
			var known csjob.Target
			i.state.View(func(table *csjob.Table) {
				for _, o := range table.Targets() {
					if table.Busy(o.Incarnation) {
						known = o
					}
				}
			})
			stranger := c.stranger(known)
			stranger.Pool = "unknown"
			for n := range int64(3) {
				if err := i.leader.Heartbeat(t.Context(), csrun.Heartbeat{Target: stranger, Sequence: 1000 + n, Clock: time.Second}); err != nil {
					t.Errorf("got error %v for the heartbeat, want an acknowledgement", err)
				}
			}
			i.awaitAllJobs(5 * time.Second)
			i.checkInvariants()
			if got := i.runsOn("1") + i.runsOn("2"); got != 4 {
				t.Errorf("got %d runs of 4 tasks, want 4", got)
			}
		})
	}
}

// Pattern: a configuration removes a pool while tasks run there. Guards against giving up its targets because their pool is unknown.
func TestTargetsKeepAPoolThatIsRemoved(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 45, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.submitOne(1, 2*time.Second) // longer than the lease
	i.waitFor("the run", func() bool { return i.runsOn("1") == 1 })
	other := csjob.Config{Version: 2, Pools: []csjob.Pool{{ID: "other"}}}
	i.propose(csjob.Command{Config: &other})
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
	if got := i.runsOn("1"); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// Guards against a second, concurrent run of a task: another program sends heartbeats with a name of its own, and the pool and address of
// a target that goes on.
func TestHeartbeatWithAddressOfATargetEndsNoRuns(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 46, 2, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.submit("0000000000000001", step(4, 1000, 500*time.Millisecond))
	i.waitFor("the runs", func() bool { return i.runsOn("1")+i.runsOn("2") == 4 })
	for _, id := range []csjob.TargetID{"1", "2"} {
		stranger := csjob.Target{
			Incarnation: csjob.Incarnation{Target: "stranger " + id, StartedAtMs: time.Now().UnixMilli()}, Pool: testPool,
			Address: addressOf(id), Resources: wholeTarget,
		}
		if err := i.leader.Heartbeat(t.Context(), csrun.Heartbeat{Target: stranger, Sequence: 1, Clock: time.Second}); err != nil {
			t.Errorf("got error %v for the heartbeat, want an acknowledgement", err)
		}
	}
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
	if got := i.runsOn("1") + i.runsOn("2"); got != 4 {
		t.Errorf("got %d runs of 4 tasks, want 4", got)
	}
	i.waitFor("the removal of the strangers", func() bool { return i.targetCount() == 2 })
}

// Pattern: a target crashes, and another one starts at its address. Its tasks run again at once, not when their lease of 30 s is over.
func TestTargetAtAReusedAddressReplacesTheLast(t *testing.T) {
	t.Parallel()
	timing := testTiming
	timing.Lease, timing.LongestLease = 30*time.Second, 30*time.Second
	i := newClusterWithTiming(t, 47, 1, faults{}, timing)
	time.Sleep(3 * testHeartbeatInterval)
	i.submitOne(1, 300*time.Millisecond)
	i.waitFor("the run", func() bool { return i.runsOn("1") == 1 })
	i.simulator.mu.Lock()
	i.simulator.targets[addressOf("1")] = newSimulatedTarget("2", wholeTarget)
	i.simulator.mu.Unlock()
	i.awaitAllJobs(5 * time.Second)
}
