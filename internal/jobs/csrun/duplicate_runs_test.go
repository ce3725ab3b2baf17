package csrun_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

var wholeTarget = csjob.Resources{CPU: 8000, Memory: 8000}

// withTarget calls f with a target while holding the lock of the simulator.
func (i *cluster) withTarget(id csjob.TargetID, f func(*simulatedTarget)) {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	f(i.simulator.targets[addressOf(id)])
}

// delayStarts delays the starts for one target until release; an empty name delays none.
func (i *cluster) delayStarts(id csjob.TargetID) {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	i.simulator.hold = func(t csjob.Target, _ csrun.StartOrder) bool { return t.Incarnation.Target == id }
}

// submitOne submits a job of one task and returns its ID.
func (i *cluster) submitOne(n int, duration time.Duration) csjob.ID {
	id := csjob.ID(fmt.Sprintf("%016x", n))
	i.submit(id, step(1, 1000, duration))
	return id
}

// Guards against a second run of a task: a start of the previous leader is still in flight while the target refuses the start
// of the new leader as unhealthy. The fence of the first poll makes the target refuse the earlier start.
func TestStartOfEarlierLeaderIsFenced(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 31, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.delayStarts("1")
	i.submitOne(1, 500*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	i.leader.Follow()
	i.delayStarts("")
	i.beginTerm(2)
	time.Sleep(5 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unhealthy = true })
	time.Sleep(300 * time.Millisecond)
	i.simulator.mu.Lock()
	i.simulator.targets[addressOf("2")] = newSimulatedTarget("2", wholeTarget)
	i.simulator.mu.Unlock()
	time.Sleep(2 * testHeartbeatInterval)
	i.withTarget("1", func(k *simulatedTarget) { k.unhealthy = false })
	i.simulator.releaseHeldStarts()
	i.awaitAllJobs(10 * time.Second)
	i.checkInvariants()
}

// restart replaces a target by a new incarnation with the same name and address. No call fails: a connection that was closed
// meanwhile is replaced by a new one without an error.
func (i *cluster) restart(id csjob.TargetID, noHeartbeats bool) {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	k := newSimulatedTarget(id, wholeTarget)
	k.noHeartbeats = noHeartbeats
	i.simulator.targets[addressOf(id)] = k
}

// Guards against losing ends of runs on a new incarnation: a target restarts between two calls, no call fails, and the leader
// acknowledges the end numbers of the previous incarnation. Tasks that had ended on the new incarnation then ran again.
func TestEndsOfNewIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 30, 1, faults{})
	for n := range 12 {
		i.submitOne(n, 10*time.Millisecond)
	}
	i.awaitAllJobs(5 * time.Second)
	i.restart("1", true)
	for n := range 6 {
		i.submitOne(100+n, 20*time.Millisecond)
		time.Sleep(30 * time.Millisecond)
	}
	i.withTarget("1", func(k *simulatedTarget) { k.noHeartbeats = false })
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}

// Guards against an overcommitted target: the outcome of starts is unknown for a while, their resources are assigned again,
// and then all of the starts are applied. If they are lost instead, the tasks must still run.
func TestResourcesOfInDoubtStartsStayReserved(t *testing.T) {
	t.Parallel()
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprintf("applied %t", applied), func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, 32, 1, faults{})
			time.Sleep(3 * testHeartbeatInterval)
			i.state.stall()
			for n := range 8 { // the first jobs miss their objective meanwhile, so that later ones are preferred
				i.submit(csjob.ID(fmt.Sprintf("%016x", n)), step(2, 3000, 200*time.Millisecond))
				time.Sleep(250 * time.Millisecond)
			}
			i.state.resume(applied)
			i.awaitAllJobs(15 * time.Second)
			i.checkInvariants()
		})
	}
}

// Guards against giving up a target forever: the command that ends its incarnation is lost while the target is unreachable, and when
// the target is back the leader neither proposes the end again nor calls the target.
func TestLostIncarnationEndIsProposedAgain(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 33, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.submitOne(1, time.Second) // longer than the lease
	time.Sleep(50 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
	i.state.stall()
	time.Sleep(2 * time.Second)
	i.state.resume(false)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = false })
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}

// Guards against a second run of a task that was done on a target which was then given up because its lease expired: the
// target rejoins with the same start time, lists the end, and the end is acknowledged.
func TestEndOnRejoinedTargetCounts(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 34, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.submitOne(1, 300*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
	time.Sleep(2 * time.Second)
	i.state.View(func(table *csjob.Table) {
		if got := len(table.Targets()); got != 0 {
			t.Errorf("got %d targets, want 0: the silent one has to be given up", got)
		}
	})
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = false })
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}

// Guards against a second run where a target announces that it is leaving while a start for it is being committed: the incarnation
// was ended although the order was sent, and the target ran the task until its announcement was acknowledged.
func TestTargetLeavingDuringCommitKeepsItsStart(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 35, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.state.set(func() { i.state.commitTime = 150 * time.Millisecond })
	id := csjob.ID("00000000000000aa")
	s := csjob.Submission{ID: id, Queue: testKey, Steps: []csjob.Step{step(1, 1000, time.Second)}}
	i.simulator.mu.Lock()
	i.simulator.jobs[id] = s
	i.simulator.mu.Unlock()
	i.propose(csjob.Command{Submit: &s})
	time.Sleep(80 * time.Millisecond) // the start is proposed and not committed
	i.simulator.mu.Lock()
	i.simulator.targets[addressOf("2")] = newSimulatedTarget("2", wholeTarget)
	incarnation := i.simulator.targets[addressOf("1")].incarnation
	i.simulator.targets[addressOf("1")].noHeartbeats = true
	i.simulator.mu.Unlock()
	if err := i.leader.Leave(t.Context(), incarnation); err != nil {
		t.Errorf("got error %v, want the announcement accepted", err)
	}
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}

// Guards against ending an incarnation without stopping the runs that its successor may have accepted: the heartbeat of the new incarnation
// arrives at a leader that has every entry but has not read the table yet, because its leader lease was not valid in its
// first round.
func TestHeartbeatBeforeFirstRoundIsRejected(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 36, 1, faults{})
	time.Sleep(3 * testHeartbeatInterval)
	i.delayStarts("1")
	i.submitOne(1, 700*time.Millisecond)
	time.Sleep(60 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
	i.delayStarts("")
	i.simulator.mu.Lock()
	i.simulator.targets[addressOf("2")] = newSimulatedTarget("2", wholeTarget)
	i.simulator.mu.Unlock()
	time.Sleep(2 * testHeartbeatInterval)
	i.leader.Follow()
	i.state.set(func() { i.state.leaseInvalid = true })
	i.beginTerm(2)
	time.Sleep(50 * time.Millisecond)
	i.restart("1", true)
	i.simulator.releaseHeldStarts() // the start reaches the new incarnation
	i.state.set(func() { i.state.leaseInvalid = false })
	var heartbeat csrun.Heartbeat
	i.withTarget("1", func(k *simulatedTarget) {
		k.noHeartbeats, k.unhealthy = false, true // the target refuses a stop
		heartbeat = csrun.Heartbeat{
			Sequence: 1, Clock: k.clock(),
			Target: csjob.Target{Incarnation: k.incarnation, Pool: testPool, Address: addressOf("1"), Resources: k.resources},
		}
	})
	_ = i.leader.Heartbeat(t.Context(), heartbeat) // retried with the next heartbeat
	time.Sleep(400 * time.Millisecond)
	i.withTarget("1", func(k *simulatedTarget) { k.unhealthy = false })
	i.awaitAllJobs(5 * time.Second)
	i.checkInvariants()
}
