package csplan

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a member of a gang that starts alone: one member's run has ended with its target while those of the others are
// open, and it would wait with a new attempt that the others do not have (rule GANG).
func TestGangStartsAsAWhole(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		open  int // members with an open run
		taken int // members whose start is on its way
		want  int
	}{
		{"all wait", 0, 0, 3},
		{"one run is open", 1, 0, 0},
		{"one start is on its way", 0, 1, 0},
		{"one run has ended", 2, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gang := step(3, 500, 100)
			gang.Gang = true
			j := job("gang", now, gang)
			for n := range c.open {
				j.Tasks[0][0][n].Runs = []csjob.Run{{Attempt: 1}}
			}
			work := Waiting(now, &Learned{}, testQueue, []*csjob.Job{j})
			placed := Place(work, []*Slot{slot("a", 4000, 4000)}, func(k csjob.TaskKey) bool { return k.Index < c.taken })
			if got := len(placed); got != c.want {
				t.Errorf("got %d members placed, want %d", got, c.want)
			}
		})
	}
}
