package csrun

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a new leader has hundreds of targets whose clocks it doesn't know. Polling all of them at once would delay
// heartbeats, and leases of long-running tasks might be extended last (rules AVAIL and LOST).
func TestInitialPollsAreBounded(t *testing.T) {
	longRunning, batch := []*run{{}, {longRunning: true}}, []*run{{}, {}}
	var unpolled []*target
	for n := range 3 * maxInitialPolls {
		w := &target{incarnation: csjob.Incarnation{Target: csjob.TargetID(fmt.Sprint(n))}}
		switch {
		case n%10 == 9:
			w.list = longRunning
		case n%2 == 1:
			w.list = batch
		}
		unpolled = append(unpolled, w)
	}
	if got := len(pickInitialPolls(unpolled, maxInitialPolls+1)); got != 0 {
		t.Errorf("got %d polls beyond the bound, want none", got)
	}
	got := pickInitialPolls(unpolled, 4)
	if got, want := len(got), maxInitialPolls-4; got != want {
		t.Errorf("got %d polls, want %d", got, want)
	}
	for n := 1; n < len(got); n++ {
		if a, b := got[n-1].pollPriority(), got[n].pollPriority(); a < b {
			t.Errorf("poll %d: got a target of priority %d before one of %d", n, a, b)
		}
	}
	if got, want := got[0].pollPriority(), 2; got != want {
		t.Errorf("got a target of priority %d first, want %d: long-running tasks", got, want)
	}
}

// Pattern: the leader changes while 1,100 targets have about 10,000 open runs, and a round of the new leader takes 20 ms on its
// slow VM. Guards against first polls that advance only once per round: tasks wait until their targets have answered.
func TestNewLeaderPollsAllTargetsWithinASecond(t *testing.T) {
	sim := newSimulationOf(1100, zap.NewNop())
	sim.advance(6 * time.Second)
	sim.roundTime = 20 * time.Millisecond
	if got, want := sim.changeLeader(), time.Second; got > want {
		t.Errorf("got all targets polled after %v, want at most %v", got, want)
	}
}

// Pattern: the leader changes while thousands of runs have ended that the earlier leader has not recorded. Guards against a start
// and a stop for each of them: the first poll of the new leader has listed their ends.
func TestNewLeaderSendsNoOrdersForEndedRuns(t *testing.T) {
	r, w := newTestRunner(2)
	w.unpolled = true
	open, ended := runKey{csjob.TaskKey{Job: "a"}, 1}, runKey{csjob.TaskKey{Job: "a", Index: 1}, 1}
	for _, key := range []runKey{open, ended} {
		u := &run{key: key, job: &csjob.Job{}}
		w.runs[key], w.list = u, append(w.list, u)
	}
	list := &pollResult{response: PollResponse{Ended: []RunEnd{{Number: 1, Task: ended.task, Attempt: ended.attempt, Outcome: csjob.OutcomeStopped}}}}
	r.recordEnds(w, list, 0, r.now(), false)
	stops, starts := w.dueOrders(r.now())
	if len(stops) != 0 || len(starts) != 1 || starts[0].key != open {
		t.Errorf("got %d stops and %d starts, want one start, of the run that has not ended", len(stops), len(starts))
	}
	w.runs[open].started = true
	if !w.ordersDone() {
		t.Error("got orders due for a run that has ended, want none")
	}
}
