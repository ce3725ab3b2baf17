package csjob_test

import (
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a job that counts as started although no target has confirmed the start of any of its tasks (rule MIXED).
func TestPendingCountsUnconfirmedStarts(t *testing.T) {
	k := task("a", 0, 0)
	end := func(o csjob.Outcome) csjob.Command {
		return csjob.Command{Ends: []csjob.End{{Task: k, Attempt: 1, Incarnation: incarnation(1), Outcome: o}}}
	}
	targetEnded := csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(1)}, Ended: true}}}
	cases := []struct {
		name    string
		command csjob.Command // after the start was committed
		want    int
	}{
		{"nothing", csjob.Command{}, 1},
		{"never started", end(csjob.OutcomeNotStarted), 1},
		{"target given up", targetEnded, 1},
		{"confirmed", csjob.Command{Begun: []csjob.ID{"a"}}, 0},
		{"another job confirmed", csjob.Command{Begun: []csjob.ID{"b"}}, 1},
		{"done", end(csjob.OutcomeDone), 0},
		{"failed", end(csjob.OutcomeFailed), 0},
		{"stopped", end(csjob.OutcomeStopped), 0},
		{"lapsed", end(csjob.OutcomeLost), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", steps(2)...)
			h.start(k, 1, incarnation(1))
			h.apply(c.command)
			if got := h.table.Pending(queueKey); got != c.want {
				t.Errorf("got %d pending jobs, want %d", got, c.want)
			}
		})
	}
}
