package csjob_test

import (
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a gang that is shown as failed after fewer attempts than its queue allows, because several members of one attempt fail
// (rule LOST), and against one that is started again after all of them (rule BUDGET).
func TestAttemptOfAGangFailsOnce(t *testing.T) {
	failed, ended := csjob.OutcomeFailed, csjob.OutcomeGangMemberEnded
	cases := []struct {
		name     string
		attempts [][]csjob.Outcome // of the members, by attempt
		want     csjob.State       // the queue allows two attempts
	}{
		{"one member fails", [][]csjob.Outcome{{ended, failed, ended}}, csjob.Running},
		{"all members fail", [][]csjob.Outcome{{failed, failed, failed}}, csjob.Running},
		{"all members fail, then others are stopped", [][]csjob.Outcome{{failed, failed, failed}, {ended, ended, ended}}, csjob.Running},
		{"one member fails in each attempt", [][]csjob.Outcome{{failed, ended, ended}, {ended, ended, failed}}, csjob.Failed},
		{"all members fail in each attempt", [][]csjob.Outcome{{failed, failed, failed}, {failed, failed, failed}}, csjob.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", csjob.Step{Tasks: 3, Resources: csjob.Resources{CPU: 100}, Gang: true})
			for a, outcomes := range c.attempts {
				attempt := csjob.Attempt(a + 1)
				for i := range outcomes {
					h.start(task("a", 0, i), attempt, incarnation(1))
				}
				for i, o := range outcomes {
					h.end(task("a", 0, i), attempt, o)
				}
			}
			h.wantState("a", c.want)
		})
	}
}
