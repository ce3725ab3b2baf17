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

// newTestRunner returns a runner that leads in a term and knows one target, whose clock shows a minute. Nothing runs on its
// own.
func newTestRunner(term csmodel.Term) (*runner, *target) {
	clock := clockwork.NewFakeClock()
	o := Options{
		Clock: clock, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		Timing: Timing{Lease: 5 * time.Second, LongestLease: 6 * time.Second, Beat: time.Second, CallTimeout: 200 * time.Millisecond},
	}
	w := &target{
		life: csjob.Life{Target: "1", Born: 1}, runs: map[runKey]*run{}, strays: map[runKey]bool{},
		clock: time.Minute, clockAt: clock.Now(),
	}
	r := newRunner(&Leader{options: o})
	r.tenure = tenure{
		term: term, active: true, since: clock.Now(), targets: map[csjob.TargetID]*target{"1": w}, noted: map[csjob.Life]int64{},
	}
	return r, w
}

// Guards against a run being given up that a target may still start: only the refusal of the one start that this leader has
// sent tells that there is no run.
func TestRunIsGivenUpOnlyWhereItsOnlyStartWasRefused(t *testing.T) {
	key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
	cases := []struct {
		name    string
		run     run
		term    csmodel.Term // of the order
		kind    orderKind
		refusal Refusal
		want    bool // the run is given up
	}{
		{"only start, unhealthy", run{tries: 1, starts: 1}, 2, orderStart, RefusedUnhealthy, true},
		{"only start, no room", run{tries: 1, starts: 1}, 2, orderStart, RefusedRoom, true},
		{"second start", run{tries: 2, starts: 2}, 2, orderStart, RefusedUnhealthy, false},
		{"start of the term before", run{tries: 1, starts: 1}, 1, orderStart, RefusedUnhealthy, false},
		{"stop of a run that started", run{tries: 1, starts: 1, started: true, stop: true}, 2, orderStop, RefusedInvalid, false},
		{"stop after a start without an answer", run{tries: 1, starts: 1, stop: true}, 2, orderStop, RefusedRoom, false},
		{"listed before the refusal arrived", run{tries: 1, starts: 1, started: true}, 2, orderStart, RefusedUnhealthy, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			u := c.run
			u.key = key
			w.runs[key] = &u
			r.ordered(&ordered{
				term: c.term, life: w.life, key: key, kind: c.kind, began: r.now(),
				reply: Reply{Clock: time.Minute, Refusal: c.refusal},
			})
			if got := len(r.ends) > 0; got != c.want {
				t.Errorf("got the run given up %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against the clock of another life being taken for the one of the life that is known: its readings are the base of
// leases, and the acknowledgement of ends rests on who has answered a start.
func TestClockTellsTheLife(t *testing.T) {
	base := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name           string
		clock          time.Duration
		began, arrived int // in milliseconds after the last reading, which showed a minute
		want           bool
	}{
		{"goes on", 61 * time.Second, 990, 1010, true},
		{"goes on slowly", 60*time.Second + 985*time.Millisecond, 1000, 1010, true},
		{"handled long after its call began", 61 * time.Second, 900, 1200, true},
		{"overtaken by the last reading", 60*time.Second - 90*time.Millisecond, -100, 20, true},
		{"started anew", 300 * time.Millisecond, 990, 1010, false},
		{"an older life with the name", 90 * time.Second, 990, 1010, false},
		{"no clock", 0, 990, 1010, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &target{}
			w.reading(time.Minute, at(-5), at(0), time.Second)
			if got := w.sameLife(c.clock, at(c.began), at(c.arrived)); got != c.want {
				t.Errorf("got the same life %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a target with open runs being given up while its answers wait for a busy leader: once the lease is over, a
// look that began later has to stay without an answer.
func TestTargetIsAskedBeforeItIsGivenUp(t *testing.T) {
	const over = 20 // seconds after the last reading; the lease was over long before
	cases := []struct {
		name    string
		runs    int
		looking bool
		deaf    int // when the last look without an answer began, in seconds after the last reading
		want    bool
	}{
		{"nothing open", 0, false, 0, true},
		{"no look since", 1, false, 10, false},
		{"an answer may wait", 1, true, 21, false},
		{"a later look was not answered", 1, false, 21, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			read := r.now()
			for range c.runs {
				w.runs[runKey{attempt: 1}] = &run{}
			}
			w.granted = time.Minute + 5*time.Second
			if w.lost(read.Add(over*time.Second)) != (c.runs == 0) {
				t.Error("got the target given up without a look, want it asked")
			}
			w.looking = c.looking
			w.deafFrom = read.Add(time.Duration(c.deaf) * time.Second)
			if got := w.lost(read.Add(2 * over * time.Second)); got != c.want {
				t.Errorf("got the target given up %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a run being given up whose end is not on the list yet: a target lists its ends in portions, and after a
// cut of its zone there are more than one portion holds.
func TestFullListTellsNothingOfRunsThatAreNotOnIt(t *testing.T) {
	cases := []struct {
		name  string
		ended int
		want  bool // the run is given up
	}{
		{"all ends", endsPerList - 1, true},
		{"a portion", endsPerList, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			w.runs[key] = &run{key: key, starts: 2, stop: true, stopped: true, stopAt: r.now()}
			m := &looked{term: 2, life: w.life, started: r.now().Add(time.Millisecond), look: Look{Born: w.life.Born}}
			for n := range c.ended {
				m.look.Ended = append(m.look.Ended, Ended{Number: int64(n + 1), Task: csjob.TaskKey{Job: "b", Index: n}, Attempt: 1})
			}
			r.takeProgress(w, m)
			if got := len(r.ends) > 0; got != c.want {
				t.Errorf("got the run given up %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against the answer to a proposal of an earlier term releasing what this term has reserved for the same task.
func TestCommitOfAnEarlierTermReleasesNothing(t *testing.T) {
	r, w := newTestRunner(2)
	key := csjob.TaskKey{Job: "a"}
	r.pending = map[csjob.TaskKey]csjob.Life{key: w.life}
	r.committed(&committed{term: 1, command: csjob.Command{Starts: []csjob.Start{{Task: key, Attempt: 1, Life: w.life}}}, err: ErrNotLeading})
	r.committed(&committed{term: 1, command: csjob.Command{Starts: []csjob.Start{{Task: key, Attempt: 1, Life: w.life}}}})
	if !r.onItsWay(key) {
		t.Error("got the start of this term released, want it kept")
	}
}

// Guards against a task that lasts being taken away from its step because the answers to its start were lost: it may be at
// work already, and others of its step may be away.
func TestUnansweredStartsStopOnlyRunsThatEnd(t *testing.T) {
	cases := []struct {
		name string
		run  run
		want bool // the run is stopped
	}{
		{"first start", run{tries: 1, starts: 1}, false},
		{"second start", run{tries: 2, starts: 2}, true},
		{"second start, listed", run{tries: 2, starts: 2, started: true}, false},
		{"second start, lasts", run{tries: 2, starts: 2, lasting: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			u := c.run
			w.runs[key] = &u
			r.ordered(&ordered{term: 2, life: w.life, key: key, kind: orderStart, began: r.now(), arrived: r.now(), err: ErrNoAnswer})
			if got := u.stop; got != c.want {
				t.Errorf("got the run stopped %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a run that stays open for ever: the target has refused its only start, the command with its end is lost in
// the group, and neither an order nor the end is sent again.
func TestLostEndOfARefusedRunIsProposedAgain(t *testing.T) {
	cases := []struct {
		name    string
		open    bool // the table still lists the run
		outcome csjob.Outcome
		want    int // ends in the next command
	}{
		{"refused run", true, csjob.OutcomeUnrun, 1},
		{"ended meanwhile", false, csjob.OutcomeUnrun, 0},
		{"listed end, which the target lists again", true, csjob.OutcomeDone, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			if c.open {
				w.runs[key] = &run{key: key, starts: 1, busy: true}
			}
			end := csjob.End{Task: key.task, Attempt: key.attempt, Life: w.life, Outcome: c.outcome}
			r.committed(&committed{term: 2, command: csjob.Command{Ends: []csjob.End{end}}, err: ErrNotLeading})
			if got := len(r.ends); got != c.want {
				t.Errorf("got %d ends to propose, want %d", got, c.want)
			}
		})
	}
}

// Guards against an answer from before a target was given up being taken for one of the time since it joined again with the
// same birth time: it would end the look that is under way, and acknowledge a stop that was not sent.
func TestAnswerFromBeforeTheTargetJoinedAgain(t *testing.T) {
	cases := []struct {
		name  string
		fence csmodel.Fence // of the order that was answered
		want  bool          // the answer counts
	}{
		{"order of the time before", 4, false},
		{"order since it joined again", 5, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
			u := &run{key: key, stop: true}
			w.fence, w.looking, w.runs[key] = 5, true, u
			reply := Reply{Clock: time.Minute}
			r.ordered(&ordered{term: 2, life: w.life, fence: c.fence, key: key, kind: orderStop, began: r.now(), arrived: r.now(), reply: reply})
			if got := u.stopped; got != c.want {
				t.Errorf("got the stop acknowledged %t, want %t", got, c.want)
			}
			r.looked(&looked{
				term: 2, life: w.life, order: LookOrder{Fence: c.fence}, started: r.now(), arrived: r.now(),
				look: Look{Reply: reply, Born: w.life.Born},
			})
			if got := !w.looking; got != c.want {
				t.Errorf("got the look ended %t, want %t", got, c.want)
			}
		})
	}
}
