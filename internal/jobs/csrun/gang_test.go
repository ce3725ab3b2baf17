package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against the remaining members of a gang waiting in vain until their start times out (rule GANG): the run of one
// member has ended with its target, or its start was refused, and the runs of the other members have not changed.
func TestIncompleteGangIsStopped(t *testing.T) {
	incarnations := []csjob.Incarnation{{Target: "1", StartedAtMs: 1}, {Target: "2", StartedAtMs: 1}}
	member := func(n int) csjob.TaskKey { return csjob.TaskKey{Job: "a", Index: n} }
	cases := []struct {
		name string
		ends csjob.Command // ends the run of the second member
		want bool          // the run of the first member is stopped
	}{
		{"both members run", csjob.Command{}, false},
		{"target removed", csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnations[1]}, Ended: true}}}, true},
		{"start refused", csjob.Command{Ends: []csjob.End{{Task: member(1), Attempt: 1, Incarnation: incarnations[1], Outcome: csjob.OutcomeNotStarted}}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newTestRunner(2)
			r.targets = map[csjob.TargetID]*target{}
			var table csjob.Table
			index := csmodel.Index(0)
			apply := func(c csjob.Command) {
				b, err := c.Encode()
				if err != nil {
					t.Fatal(err)
				}
				index++
				table.Apply(csraft.Entry{Index: index, At: time.Unix(1_800_000_000, 0), Data: b})
				r.sync(&table, r.now())
			}
			queue := csjob.QueueKey{Host: "queue.example", Prefix: "/"}
			apply(csjob.Command{Config: &csjob.Config{
				Version: 1, Pools: []csjob.Pool{{ID: "p"}},
				Queues: []csjob.Queue{{Key: queue, Name: "q", Pool: "p", Attempts: 2, Timeout: time.Second}},
			}})
			apply(csjob.Command{Submit: &csjob.Submission{ID: "a", Queue: queue, Steps: []csjob.Step{{Tasks: 2, Gang: true}}}})
			apply(csjob.Command{
				Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnations[0], Pool: "p"}}, {Target: csjob.Target{Incarnation: incarnations[1], Pool: "p"}}},
				Starts:  []csjob.Start{{Task: member(0), Attempt: 1, Incarnation: incarnations[0]}, {Task: member(1), Attempt: 1, Incarnation: incarnations[1]}},
			})
			apply(c.ends)
			if got := r.targets["1"].runs[runKey{member(0), 1}].stop; got != c.want {
				t.Errorf("got first member stopped = %t, want %t", got, c.want)
			}
		})
	}
}
