package csrun

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// newTestRunner returns a runner that leads in the given term and knows one target, whose clock shows one minute. The test
// calls its methods directly; no actor runs.
func newTestRunner(term csmodel.Term) (*runner, *target) {
	clock := clockwork.NewFakeClock()
	o := Options{
		Clock: clock, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		Timing: Timing{Lease: 5 * time.Second, LongestLease: 6 * time.Second, HeartbeatInterval: time.Second, CallTimeout: 200 * time.Millisecond},
	}
	w := &target{
		incarnation: csjob.Incarnation{Target: "1", StartedAtMs: 1}, runs: map[runKey]*run{}, strays: map[runKey]bool{},
		clock: time.Minute, clockAt: clock.Now(),
	}
	r := newRunner(&Leader{options: o})
	r.termState = termState{
		term: term, active: true, since: clock.Now(), targets: map[csjob.TargetID]*target{"1": w}, endNumbers: map[csjob.Incarnation]int64{},
	}
	return r, w
}

// Guards against ending a run that the target may still start. Only the refusal of the single start that this leader has sent
// proves that the run does not exist.
func TestRefusalOfOnlyStartEndsRun(t *testing.T) {
	key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
	cases := []struct {
		name    string
		run     run
		term    csmodel.Term // of the order
		kind    orderKind
		refusal Refusal
		want    bool // the run is ended
	}{
		{"only start, unhealthy", run{orderTries: 1, startsSent: 1}, 2, orderStart, RefusedUnhealthy, true},
		{"only start, resources refused", run{orderTries: 1, startsSent: 1}, 2, orderStart, RefusedResources, true},
		{"second start", run{orderTries: 2, startsSent: 2}, 2, orderStart, RefusedUnhealthy, false},
		{"start of an earlier term", run{orderTries: 1, startsSent: 1}, 1, orderStart, RefusedUnhealthy, false},
		{"stop of a run that started", run{orderTries: 1, startsSent: 1, started: true, stop: true}, 2, orderStop, RefusedInvalid, false},
		{"stop after an unanswered start", run{orderTries: 1, startsSent: 1, stop: true}, 2, orderStop, RefusedResources, false},
		{"listed before the refusal arrived", run{orderTries: 1, startsSent: 1, started: true}, 2, orderStart, RefusedUnhealthy, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			u := c.run
			u.key = key
			w.runs[key] = &u
			r.handleOrderResult(&orderResult{
				term: c.term, incarnation: w.incarnation, key: key, kind: c.kind, sentAt: r.now(),
				reply: Reply{Clock: time.Minute, Refusal: c.refusal},
			})
			if got := len(r.proposedEnds) > 0; got != c.want {
				t.Errorf("got run ended = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against attributing the clock of another incarnation to the known one. Lease ends are computed from its readings,
// and ends are acknowledged only to the incarnation that has answered the starts.
func TestClockIdentifiesIncarnation(t *testing.T) {
	base := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name              string
		clock             time.Duration
		sentAt, arrivedAt int // in milliseconds after the last reading, which showed a minute
		want              bool
	}{
		{"advances in real time", 61 * time.Second, 990, 1010, true},
		{"runs slower than real time", 60*time.Second + 985*time.Millisecond, 1000, 1010, true},
		{"answer delayed", 61 * time.Second, 900, 1200, true},
		{"call sent before the last reading", 60*time.Second - 90*time.Millisecond, -100, 20, true},
		{"restarted target", 300 * time.Millisecond, 990, 1010, false},
		{"earlier incarnation of the target", 90 * time.Second, 990, 1010, false},
		{"no clock", 0, 990, 1010, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &target{}
			w.recordClock(time.Minute, at(-5), at(0), time.Second)
			if got := w.clockContinues(c.clock, at(c.sentAt), at(c.arrivedAt)); got != c.want {
				t.Errorf("got same incarnation = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against removing a target with open runs while its answers wait in the queue of a busy leader: after the lease has
// expired, a poll that was sent later must have gone unanswered.
func TestTargetIsPolledBeforeRemoval(t *testing.T) {
	const afterLease = 20 // seconds after the last reading; the lease has expired long before
	cases := []struct {
		name    string
		runs    int
		polling bool
		failed  int // start of the last unanswered poll, in seconds after the last reading
		want    bool
	}{
		{"no open run", 0, false, 0, true},
		{"no poll since the lease expired", 1, false, 10, false},
		{"poll in flight", 1, true, 21, false},
		{"later poll unanswered", 1, false, 21, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			read := r.now()
			for range c.runs {
				w.runs[runKey{attempt: 1}] = &run{}
			}
			w.maxLeaseEnd = time.Minute + 5*time.Second
			if w.lost(read.Add(afterLease*time.Second)) != (c.runs == 0) {
				t.Error("got target with open runs removed without a poll, want it polled first")
			}
			w.polling = c.polling
			w.unansweredPollAt = read.Add(time.Duration(c.failed) * time.Second)
			if got := w.lost(read.Add(2 * afterLease * time.Second)); got != c.want {
				t.Errorf("got target removed = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against ending a run whose end the target has not listed yet. A target lists a limited number of ends per poll, and
// after a partition of its availability zone it may have more.
func TestFullEndListKeepsUnlistedRuns(t *testing.T) {
	cases := []struct {
		name  string
		ended int
		want  bool // the run is ended
	}{
		{"all ends", maxEndsPerPoll - 1, true},
		{"maximum number of ends", maxEndsPerPoll, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			w.runs[key] = &run{key: key, startsSent: 2, stop: true, stopped: true, stopAt: r.now()}
			m := &pollResult{term: 2, incarnation: w.incarnation, sentAt: r.now().Add(time.Millisecond), response: PollResponse{StartedAtMs: w.incarnation.StartedAtMs}}
			for n := range c.ended {
				m.response.Ended = append(m.response.Ended, RunEnd{Number: int64(n + 1), Task: csjob.TaskKey{Job: "b", Index: n}, Attempt: 1})
			}
			r.reconcileRuns(w, m)
			if got := len(r.proposedEnds) > 0; got != c.want {
				t.Errorf("got run ended = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against the result of an earlier term's proposal releasing the resources that this term has reserved for the same
// task.
func TestCommitOfEarlierTermKeepsPendingStart(t *testing.T) {
	r, w := newTestRunner(2)
	key := csjob.TaskKey{Job: "a"}
	r.pendingStarts = map[csjob.TaskKey]csjob.Incarnation{key: w.incarnation}
	r.handleCommitResult(&commitResult{term: 1, command: csjob.Command{Starts: []csjob.Start{{Task: key, Attempt: 1, Incarnation: w.incarnation}}}, err: ErrNotLeading})
	r.handleCommitResult(&commitResult{term: 1, command: csjob.Command{Starts: []csjob.Start{{Task: key, Attempt: 1, Incarnation: w.incarnation}}}})
	if !r.isPending(key) {
		t.Error("got pending start of this term released, want it kept")
	}
}

// Guards against stopping a long-running task because the answers to its starts were lost: it may be running already, and
// other tasks of its step may be unavailable.
func TestUnansweredStartsStopOnlyBatchRuns(t *testing.T) {
	cases := []struct {
		name string
		run  run
		want bool // the run is stopped
	}{
		{"first start", run{orderTries: 1, startsSent: 1}, false},
		{"second start", run{orderTries: 2, startsSent: 2}, true},
		{"second start, run listed", run{orderTries: 2, startsSent: 2, started: true}, false},
		{"second start, long-running task", run{orderTries: 2, startsSent: 2, longRunning: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			u := c.run
			w.runs[key] = &u
			r.handleOrderResult(&orderResult{term: 2, incarnation: w.incarnation, key: key, kind: orderStart, sentAt: r.now(), arrivedAt: r.now(), err: ErrNoAnswer})
			if got := u.stop; got != c.want {
				t.Errorf("got run stopped = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a run that stays open forever: the target has refused its only start, the command with its end is lost in
// the group, and neither an order nor the end is sent again.
func TestLostEndOfRefusedRunIsProposedAgain(t *testing.T) {
	cases := []struct {
		name    string
		open    bool // the table still lists the run
		outcome csjob.Outcome
		want    int // number of ends in the next command
	}{
		{"refused run", true, csjob.OutcomeNotStarted, 1},
		{"run closed meanwhile", false, csjob.OutcomeNotStarted, 0},
		{"end that the target lists again", true, csjob.OutcomeDone, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			if c.open {
				w.runs[key] = &run{key: key, startsSent: 1, orderInFlight: true}
			}
			end := csjob.End{Task: key.task, Attempt: key.attempt, Incarnation: w.incarnation, Outcome: c.outcome}
			r.handleCommitResult(&commitResult{term: 2, command: csjob.Command{Ends: []csjob.End{end}}, err: ErrNotLeading})
			if got := len(r.proposedEnds); got != c.want {
				t.Errorf("got %d ends to propose, want %d", got, c.want)
			}
		})
	}
}

// Guards against attributing an answer from before a target was removed to the time after it joined again with the same start
// time. The answer would end the poll in flight, and acknowledge a stop that was not sent.
func TestStaleAnswerAfterRejoinIsDropped(t *testing.T) {
	cases := []struct {
		name  string
		fence csmodel.Fence // of the answered call
		want  bool          // the answer is used
	}{
		{"call before the target was removed", 4, false},
		{"call after it joined again", 5, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			u := &run{key: key, stop: true}
			w.fence, w.polling, w.runs[key] = 5, true, u
			reply := Reply{Clock: time.Minute}
			r.handleOrderResult(&orderResult{term: 2, incarnation: w.incarnation, fence: c.fence, key: key, kind: orderStop, sentAt: r.now(), arrivedAt: r.now(), reply: reply})
			if got := u.stopped; got != c.want {
				t.Errorf("got stop acknowledged = %t, want %t", got, c.want)
			}
			r.handlePollResult(&pollResult{
				term: 2, incarnation: w.incarnation, order: PollRequest{Fence: c.fence}, sentAt: r.now(), arrivedAt: r.now(),
				response: PollResponse{Reply: reply, StartedAtMs: w.incarnation.StartedAtMs},
			})
			if got := !w.polling; got != c.want {
				t.Errorf("got poll completed = %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against ends that become known late because two answers in a row are lost: the second poll would wait for another end
// of the target before it times out.
func TestPollAfterUnansweredCallDoesNotWait(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures int
		unpolled bool
		waits    bool
	}{{"answered", 0, false, true}, {"unanswered call", 1, false, false}, {"two unanswered calls", 2, false, false}, {"first poll", 0, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			r.options.Timing.PollWait = time.Second
			w.failures, w.unpolled = c.failures, c.unpolled
			if got := r.pollWait(w, r.now()); got > 0 != c.waits {
				t.Errorf("got a wait of %v, want one = %t", got, c.waits)
			}
		})
	}
}
