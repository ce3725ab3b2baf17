package csrun_test

import (
	"testing"
	"time"
)

// TestIncarnationEndOfEarlierTermIsIgnored guards against a second run after a leader change: the earlier leader has given up a
// silent target, and its command is committed after the next leader has heard from the target and started a run there. The
// end of the incarnation would then end that run in the table only.
func TestIncarnationEndOfEarlierTermIsIgnored(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 37, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
	i.state.stall()
	time.Sleep(2 * time.Second)
	i.leader.Follow()
	held := i.state.endStall()
	if len(held) == 0 || len(held[0].Targets) == 0 {
		t.Fatalf("got commands %+v from the first leader, want the end of an incarnation", held)
	}
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = false })
	i.beginTerm(2)
	time.Sleep(3 * testHeartbeatInterval)
	i.submitOne(1, time.Second)
	time.Sleep(100 * time.Millisecond)
	i.simulator.mu.Lock()
	i.simulator.targets[addressOf("2")] = newSimulatedTarget("2", wholeTarget)
	i.simulator.mu.Unlock()
	time.Sleep(3 * testHeartbeatInterval)
	i.state.applyWithheld(held)
	i.state.onChange()
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}

// TestStartsOfEarlierTermAreIgnored guards against an overcommitted target after a leader change: starts of the earlier leader
// are committed after the next one has assigned the same resources to another task.
func TestStartsOfEarlierTermAreIgnored(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 38, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.state.stall()
	i.submit("00000000000000a1", step(1, 6000, 500*time.Millisecond))
	time.Sleep(3 * time.Second) // the job misses its objective, so that the next leader prefers the other one
	i.leader.Follow()
	held := i.state.endStall()
	if len(held) == 0 || len(held[0].Starts) == 0 {
		t.Fatalf("got commands %+v from the first leader, want a start", held)
	}
	i.submit("00000000000000a2", step(1, 6000, 500*time.Millisecond))
	i.beginTerm(2)
	time.Sleep(200 * time.Millisecond)
	i.state.applyWithheld(held)
	i.state.onChange()
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}
