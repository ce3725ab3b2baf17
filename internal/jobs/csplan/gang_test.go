package csplan

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a member of a gang that starts alone. This happens if the run of one member ends with its target while the runs
// of the others are open: the restarted member would wait for them under a new attempt number that they don't have (rule GANG).
func TestGangStartsAllOrNothing(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		open     int // members with an open run
		starting int // members that are being started
		want     int
	}{
		{"all members wait", 0, 0, 3},
		{"one member has an open run", 1, 0, 0},
		{"one member is being started", 0, 1, 0},
		{"the run of one member has ended", 2, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gang := step(3, 500, 100)
			gang.Gang = true
			j := job("gang", now, gang)
			for n := range c.open {
				j.Begun[0].Tasks[0][n].Runs = []csjob.Run{{Attempt: 1}}
			}
			work := Waiting(now, &LearnedEstimator{}, testQueue, []*csjob.Job{j})
			placed := Place(work, []*Slot{slot("a", 4000, 4000)}, func(k csjob.TaskKey) bool { return k.Index < c.starting })
			if got := len(placed); got != c.want {
				t.Errorf("got %d members placed, want %d", got, c.want)
			}
		})
	}
}
