package csjob

import (
	"slices"
	"testing"
	"time"
)

// copyEvent is a command of a test with copies. Run 1 is the original on target a and run 2 its copy on target b.
type copyEvent struct {
	start, end Attempt
	outcome    Outcome
	both       bool // the ends of both runs are in one command
	newLeader  bool // a replica that restores a snapshot takes over
	lostTarget bool // the target of the run is given up
}

// Pattern: a task runs seven times as long as usual and gets a copy, and then something fails. Guards against a third run, against a task
// that runs again after it was done, against a job that fails or waits although a run of it goes on, and against runs that stay open.
func TestEndsOfCopies(t *testing.T) {
	started := []copyEvent{{start: 1}, {start: 2}}
	end := func(a Attempt, o Outcome) copyEvent { return copyEvent{end: a, outcome: o} }
	cases := []struct {
		name   string
		events []copyEvent
		state  State
		open   int // runs at the end
	}{
		{"the copy ends first", []copyEvent{end(2, OutcomeDone), end(1, OutcomeStopped)}, Completed, 0},
		{"the original ends first", []copyEvent{end(1, OutcomeDone)}, Completed, 1},
		{"both end in one message", []copyEvent{{both: true}}, Completed, 0},
		{"the original ends after the copy was acknowledged", []copyEvent{end(2, OutcomeDone), end(1, OutcomeDone)}, Completed, 0},
		{"the leader is lost between copy and end", []copyEvent{{newLeader: true}, {start: 3}, end(2, OutcomeDone), end(1, OutcomeStopped)}, Completed, 0},
		{"the copy's start is refused or its answer lost", []copyEvent{end(2, OutcomeNotStarted), end(1, OutcomeDone)}, Completed, 0},
		{"the copy's answer is lost and it ends after all", []copyEvent{end(2, OutcomeNotStarted), end(2, OutcomeDone), end(1, OutcomeStopped)}, Completed, 0},
		{"the copy's target is lost", []copyEvent{{end: 2, lostTarget: true}, end(1, OutcomeDone)}, Completed, 0},
		{"the original's target is lost", []copyEvent{{end: 1, lostTarget: true}, end(2, OutcomeDone)}, Completed, 0},
		{"the copy fails", []copyEvent{end(2, OutcomeFailed)}, Queued, 1},
		{"the copy fails and the original is done", []copyEvent{end(2, OutcomeFailed), end(1, OutcomeDone)}, Completed, 0},
		{"both fail", []copyEvent{end(2, OutcomeFailed), end(1, OutcomeFailed)}, Failed, 0},
		{"a third run is started", []copyEvent{{start: 3}}, Queued, 2},
		{"a start after the end", []copyEvent{end(2, OutcomeDone), end(1, OutcomeStopped), {start: 3}}, Completed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, apply := learningTable(t)
			key := TaskKey{Job: "j"}
			on := func(a Attempt) Incarnation {
				return Incarnation{Target: []TargetID{"a", "b"}[(a+1)%2], StartedAtMs: 1}
			}
			config := *table.Config()
			config.Version, config.Queues = 2, slices.Clone(config.Queues)
			config.Queues[0].Attempts = 1 // the first failure without another run fails the job
			apply(Command{Config: &config})
			apply(Command{Submit: &Submission{ID: "j", Queue: learningQueue, Steps: []Step{{Tasks: 1, Speculative: true}}}})
			for _, e := range append(slices.Clone(started), c.events...) {
				switch {
				case e.newLeader:
					b, err := table.Snapshot()
					if err != nil {
						t.Fatal(err)
					}
					if err := table.Restore(b); err != nil {
						t.Fatal(err)
					}
				case e.start > 0:
					apply(Command{Starts: []Start{{Task: key, Attempt: e.start, Incarnation: on(e.start)}}})
				case e.lostTarget:
					apply(Command{Targets: []TargetEvent{{Target: Target{Incarnation: on(e.end)}, Ended: true}}})
				case e.both:
					apply(Command{Ends: []End{{Task: key, Attempt: 2, Incarnation: on(2)}, {Task: key, Attempt: 1, Incarnation: on(1)}}})
				default:
					apply(Command{Ends: []End{{Task: key, Attempt: e.end, Incarnation: on(e.end), Outcome: e.outcome}}})
				}
			}
			j := table.Job("j")
			if got := j.State; got != c.state && (c.state != Queued || got.Final()) {
				t.Errorf("got state %d, want %d", got, c.state)
			}
			if got := j.OpenRuns; got != c.open {
				t.Errorf("got %d open runs, want %d", got, c.open)
			}
			if got := len(table.TasksOn(on(1))) + len(table.TasksOn(on(2))); got != c.open {
				t.Errorf("got %d open runs on targets, want %d", got, c.open)
			}
			if got, want := j.Released(), c.state.Final() && c.open == 0; got != want {
				t.Errorf("got released = %t, want %t", got, want)
			}
		})
	}
}

// Guards against a second run of a task that must not run twice.
func TestOnlySpeculativeStepsHaveTwoRuns(t *testing.T) {
	table, apply := learningTable(t)
	apply(Command{Submit: &Submission{ID: "j", Queue: learningQueue, Steps: []Step{{Tasks: 1}}}})
	for n, id := range []TargetID{"a", "b"} {
		apply(Command{Starts: []Start{{Task: TaskKey{Job: "j"}, Attempt: Attempt(n + 1), Incarnation: Incarnation{Target: id, StartedAtMs: 1}}}})
	}
	if got, want := table.Job("j").OpenRuns, 1; got != want {
		t.Errorf("got %d open runs, want %d", got, want)
	}
}

// Pattern: 3 in 100 runs take seven times as long and are stopped because their copies end first. Guards against a distribution without
// long runs, in which ever shorter runs would count as unusually long.
func TestRunsStoppedForCopiesAreLearned(t *testing.T) {
	table, apply := learningTable(t)
	s := Step{Tasks: 1, Speculative: true}
	for n := range 40 {
		runOne(apply, n, s, time.Second)
	}
	key, a, b := TaskKey{Job: "j"}, Incarnation{Target: "a", StartedAtMs: 1}, Incarnation{Target: "b", StartedAtMs: 1}
	apply(Command{Submit: &Submission{ID: "j", Queue: learningQueue, Steps: []Step{s}}})
	apply(Command{Starts: []Start{{Task: key, Attempt: 1, Incarnation: a}, {Task: key, Attempt: 2, Incarnation: b}}})
	apply(Command{Ends: []End{{Task: key, Attempt: 2, Incarnation: b, Ran: time.Second}}})
	before := table.RunTimes().Group(RunTimeKey{Level: QueueGroup, Queue: learningQueue}).Predict(&s)
	apply(Command{Ends: []End{{Task: key, Attempt: 1, Incarnation: a, Outcome: OutcomeStopped, Ran: 5 * time.Second}}})
	g := table.RunTimes().Group(RunTimeKey{Level: QueueGroup, Queue: learningQueue})
	longest := int64(0)
	for _, bar := range g.Ratios() {
		if bar.Count > 0 {
			longest = bar.To
		}
	}
	if want := int64(4 * RatioUnit); longest < want {
		t.Errorf("got a longest ratio of %d, want at least %d", longest, want)
	}
	if got := g.Predict(&s); got != before {
		t.Errorf("got a typical run time of %s, want %s as before the stop", got, before)
	}
}
