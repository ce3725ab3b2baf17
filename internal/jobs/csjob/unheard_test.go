package csjob_test

import (
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a second run of a task that has ended done, or one failure too many, where the first run counted as never
// started: its start arrived late on the next life of its target, which had not seen the stop. The acknowledgement of that
// end stands.
func TestEndOfARunThatCountedAsNeverStarted(t *testing.T) {
	done, failed := csjob.OutcomeDone, csjob.OutcomeFailed
	cases := []struct {
		name string
		told []csjob.Outcome // of attempt 1, after it counted as never started
		want csjob.State     // after attempt 2 has failed; the queue allows two failures
	}{
		{"done", []csjob.Outcome{done}, csjob.Completed},
		{"done, told again", []csjob.Outcome{done, done}, csjob.Completed},
		{"failed", []csjob.Outcome{failed}, csjob.Failed},
		{"stopped", []csjob.Outcome{csjob.OutcomeStopped, failed}, csjob.Running},
		{"nothing", nil, csjob.Running},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(t)
			h.submit("a", steps(1)...)
			k := task("a", 0, 0)
			h.start(k, 1, life(1))
			h.end(k, 1, csjob.OutcomeUnrun)
			for _, o := range c.told {
				h.end(k, 1, o)
			}
			h.start(k, 2, life(2))
			h.end(k, 2, failed)
			h.wantState("a", c.want)
		})
	}
}
