package csrun_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// addTarget adds a target to the simulation.
func (i *cluster) addTarget(id csjob.TargetID) {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	i.simulator.targets[addressOf(id)] = newSimulatedTarget(id, wholeTarget)
}

// runsOn returns the number of runs that a target has started.
func (i *cluster) runsOn(id csjob.TargetID) int {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	n := 0
	for _, r := range i.simulator.runs {
		if r.target.incarnation.Target == id {
			n++
		}
	}
	return n
}

// waitFor waits until a condition holds, and fails the test after 5 s.
func (i *cluster) waitFor(what string, holds func() bool) {
	i.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	i.t.Errorf("timed out waiting for %s", what)
}

// targetCount returns the number of targets in the table.
func (i *cluster) targetCount() int {
	n := 0
	i.state.View(func(t *csjob.Table) { n = len(t.Targets()) })
	return n
}

// inTable reports whether the table holds the current incarnation of a target.
func (i *cluster) inTable(id csjob.TargetID) bool {
	var incarnation csjob.Incarnation
	i.withTarget(id, func(k *simulatedTarget) { incarnation = k.incarnation })
	known := false
	i.state.View(func(t *csjob.Table) {
		record, ok := t.Target(id)
		known = ok && record.Incarnation == incarnation
	})
	return known
}

// Guards against a second, concurrent run caused by a start that is carried out seconds late. Meanwhile the target was
// removed because its lease had expired, it has joined again, as the same or as a new incarnation, and the task runs on
// another target.
func TestDelayedStartAfterRejoin(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		name := "same incarnation"
		if restarted {
			name = "new incarnation"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, 40, 1, faults{})
			time.Sleep(3 * testHeartbeatInterval)
			i.delayStarts("1")
			i.submitOne(1, 1500*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
			i.waitFor("the removal of the target", func() bool { return i.targetCount() == 0 })
			i.addTarget("2")
			i.waitFor("the second run", func() bool { return i.runsOn("2") == 1 })
			i.delayStarts("")
			if restarted {
				i.restart("1", false)
			}
			i.withTarget("1", func(k *simulatedTarget) { k.unreachable = false })
			longRunning := csjob.Step{Tasks: 2, Resources: csjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true, MaxPerTarget: 1}
			i.submit("00000000000000aa", longRunning) // its start extends the lease of the target
			i.waitFor("the long-running task on the target", func() bool { return i.runsOn("1") == 1 })
			i.simulator.releaseHeldStarts()
			i.propose(csjob.Command{Cancel: &csjob.JobRef{Queue: testKey, ID: "00000000000000aa"}})
			i.awaitAllJobs(5 * time.Second)
			i.checkInvariants()
		})
	}
}

// Guards against a new incarnation discarding ends that the leader has not seen: a poll of the previous incarnation is carried
// out seconds late, and acknowledges the end numbers of that incarnation.
func TestDelayedPollAcknowledgesNoEndsOfNextIncarnation(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 41, 1, faults{})
	for n := range 4 {
		i.submitOne(n, 10*time.Millisecond)
	}
	i.awaitAllJobs(5 * time.Second)
	// The jobs have ended once their ends are committed; the acknowledgement follows with the next poll.
	var delayed csrun.PollRequest
	i.waitFor("an acknowledged end", func() bool {
		i.withTarget("1", func(k *simulatedTarget) { delayed = csrun.PollRequest{Fence: k.fence, Acknowledged: k.acknowledged} })
		return delayed.Acknowledged > 0
	})
	i.restart("1", false)
	i.waitFor("the new incarnation", func() bool { return i.inTable("1") })
	i.submitOne(10, 300*time.Millisecond)
	i.waitFor("the run on the new incarnation", func() bool { return i.runsOn("1") == 5 })
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true }) // delays the report of the end
	time.Sleep(350 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = false })
	target := csjob.Target{Incarnation: csjob.Incarnation{Target: "1"}, Address: addressOf("1")}
	response, err := i.simulator.Poll(t.Context(), target, delayed)
	if err != nil || response.Refusal != csrun.RefusedFence {
		t.Errorf("got refusal %s and error %v for the delayed poll, want refusal %s", response.Refusal, err, csrun.RefusedFence)
	}
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}

// Guards against a second run of a task while the first may still run, and after its end was acknowledged. Targets with
// clocks that are 2% slow are partitioned, in one or both directions, for about the length of a lease, while answers get
// lost, orders arrive late and the leader changes. By the platform's rules, an acknowledged end counts unless the lease
// expired before the acknowledgement.
func TestNoConcurrentRunsOfATask(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{60, 61, 62, 63} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, seed, 4, faults{lostAnswers: 0.05, lateOrders: 0.05})
			random := rand.New(rand.NewPCG(seed, 3))
			i.simulator.mu.Lock()
			i.simulator.lapseVoidsEnds = true
			for _, k := range i.simulator.targets {
				k.clockDrift = 0.02
			}
			i.simulator.mu.Unlock()
			time.Sleep(3 * testHeartbeatInterval)
			for n := range 60 {
				i.submitOne(n, time.Duration(50+random.IntN(900))*time.Millisecond)
				if n%10 == 9 {
					i.partitionFor(csjob.TargetID(fmt.Sprint(1+random.IntN(4))), random.IntN(2) == 0, time.Duration(700+random.IntN(1500))*time.Millisecond)
				}
				if n%20 == 19 {
					i.leader.Follow()
					i.beginTerm(csmodel.Term(n))
				}
				time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
			}
			i.awaitAllJobs(30 * time.Second)
			i.checkInvariants()
		})
	}
}

// partitionFor partitions a target for a while. In a one-way partition its heartbeats still arrive.
func (i *cluster) partitionFor(id csjob.TargetID, both bool, d time.Duration) {
	partition := func(on bool) {
		i.withTarget(id, func(k *simulatedTarget) { k.unreachable, k.dropsCalls = on && both, on && !both })
	}
	partition(true)
	time.AfterFunc(d, func() { partition(false) })
}

// Guards against a leader that resigns although no other node leads, and then decides nothing for ever: a poll of the earlier
// incarnation of a target is still in flight when the new incarnation has seen the fence of the stops, and is refused.
func TestPollInFlightDuringRestartKeepsTerm(t *testing.T) {
	t.Parallel()
	timing := testTiming
	timing.CallTimeout = time.Second
	i := newClusterWithTiming(t, 42, 1, faults{}, timing)
	time.Sleep(3 * testHeartbeatInterval)
	i.submitOne(1, 100*time.Millisecond)
	i.waitFor("the run", func() bool { return i.runsOn("1") == 1 })
	gate := make(chan struct{})
	var before csmodel.Fence
	i.withTarget("1", func(k *simulatedTarget) { before, i.simulator.pollGate = k.fence, gate })
	i.waitFor("a poll in flight", func() (taken bool) {
		i.withTarget("1", func(*simulatedTarget) { taken = i.simulator.pollGate == nil })
		return taken
	})
	i.state.set(func() { i.state.commitTime = 150 * time.Millisecond })
	i.restart("1", false)
	i.waitFor("the fence of the stops", func() (seen bool) {
		i.withTarget("1", func(k *simulatedTarget) { seen = k.fence > before })
		return seen
	})
	close(gate)
	i.state.set(func() { i.state.commitTime = 0 })
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}
