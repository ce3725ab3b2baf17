package csjob_test

import (
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against members of a gang that start from different checkpoints (rule UNASKED): those of a target that crashed report none, or
// report it when the gang has been started again.
func TestMembersOfAGangShareACheckpoint(t *testing.T) {
	end := func(index int, attempt csjob.Attempt, o csjob.Outcome, checkpoint string) csjob.Command {
		return csjob.Command{Ends: []csjob.End{{
			Task: task("a", 0, index), Attempt: attempt, Incarnation: incarnation(index + 1), Outcome: o, Checkpoint: checkpoint,
		}}}
	}
	lost := csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(2)}, Ended: true}}}
	// The starts of a gang may be split between two commands; the first one holds that of member 0.
	again := csjob.Command{
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(1), Pool: "p"}}},
		Starts:  []csjob.Start{{Task: task("a", 0, 0), Attempt: 2, Incarnation: incarnation(1)}},
	}
	ended := csjob.OutcomeGangMemberEnded
	cases := []struct {
		name     string
		gang     bool
		commands []csjob.Command // after both tasks were started
		want     [2]string
	}{
		{"both report one", true, []csjob.Command{end(0, 1, ended, "x"), end(1, 1, ended, "x")}, [2]string{"x", "x"}},
		{"the target of one is lost", true, []csjob.Command{end(0, 1, ended, "x"), lost}, [2]string{"x", "x"}},
		{"the target of the other is lost", true, []csjob.Command{lost, end(0, 1, ended, "x")}, [2]string{"x", "x"}},
		{"reported after the next start", true, []csjob.Command{end(0, 1, ended, "x"), lost, again, end(1, 1, ended, "y")}, [2]string{"x", "x"}},
		{"tasks that are no gang", false, []csjob.Command{end(0, 1, csjob.OutcomeStopped, "x"), lost}, [2]string{"x", ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", csjob.Step{Tasks: 2, Resources: csjob.Resources{CPU: 100}, Gang: c.gang, Checkpoints: true})
			h.start(task("a", 0, 0), 1, incarnation(1))
			h.start(task("a", 0, 1), 1, incarnation(2))
			for _, command := range c.commands {
				h.apply(command)
			}
			j := h.table.Job("a")
			if got := [2]string{j.Checkpoint(task("a", 0, 0)), j.Checkpoint(task("a", 0, 1))}; got != c.want {
				t.Errorf("got checkpoints %q, want %q", got, c.want)
			}
		})
	}
}
