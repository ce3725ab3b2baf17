package csjob_test

import (
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a second run of a done task, and against a failure that is not counted or counted twice, after the first run
// was taken to have never started. This happens if its start arrives late at the next incarnation of its target, which hasn't
// seen the stop. The end that the target reports has been acknowledged and must count.
func TestLateEndOfUnstartedRunCounts(t *testing.T) {
	done, failed := csjob.OutcomeDone, csjob.OutcomeFailed
	cases := []struct {
		name     string
		reported []csjob.Outcome // late, of attempt 1
		want     csjob.State     // after attempt 2 failed; the job fails at two failures
	}{
		{"done", []csjob.Outcome{done}, csjob.Completed},
		{"done, reported again", []csjob.Outcome{done, done}, csjob.Completed},
		{"failed", []csjob.Outcome{failed}, csjob.Failed},
		{"stopped", []csjob.Outcome{csjob.OutcomeStopped, failed}, csjob.Running},
		{"no report", nil, csjob.Running},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", steps(1)...)
			k := task("a", 0, 0)
			h.start(k, 1, incarnation(1))
			h.end(k, 1, csjob.OutcomeNotStarted)
			for _, o := range c.reported {
				h.end(k, 1, o)
			}
			h.start(k, 2, incarnation(2))
			h.end(k, 2, failed)
			h.wantState("a", c.want)
		})
	}
}
