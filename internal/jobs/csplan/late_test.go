package csplan

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// lateJob returns a job of two steps of one task of 1 s, with an objective of 3.8 s and value until 11.4 s after its acceptance. done is the
// number of its tasks that are done.
func lateJob(id string, at time.Time, done int) *csjob.Job {
	second := step(1, 1000, 1)
	second.After = []int{0}
	j := job(id, at, step(1, 1000, 1), second)
	for s := range done {
		j.Begun[0].Tasks[s][0].Done, j.Begun[0].Tasks[s][0].Attempts = true, 1
		j.Begun[0].Remaining[s] = 0
	}
	return j
}

// Pattern: after a leader was frozen, or a zone was cut off, many jobs are late. Guards against begun jobs that wait behind others the more
// of them is done, and against work without value that goes before other work.
func TestOrderOfLateJobs(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name string
		a, b *csjob.Job
		want string // of a and b
	}{
		{"one that has begun before one that is late for less long", lateJob("a", ago(6*time.Second), 1), lateJob("b", ago(4*time.Second), 0), "a"},
		{"one that has begun before one with less time left", lateJob("a", ago(4500*time.Millisecond), 1), lateJob("b", ago(4200*time.Millisecond), 0), "a"},
		{"one on time before one that has begun and is late", lateJob("a", ago(6*time.Second), 1), lateJob("b", ago(0), 0), "b"},
		{"the one that is late for longer, of two that have not begun", lateJob("a", ago(6*time.Second), 0), lateJob("b", ago(4*time.Second), 0), "a"},
		{"one with value before one that has begun and has none left", lateJob("a", ago(12*time.Second), 1), lateJob("b", ago(8*time.Second), 0), "b"},
		{"one that has begun, of two without value", lateJob("a", ago(14*time.Second), 1), lateJob("b", ago(15*time.Second), 0), "a"},
		{"the older one, of two without value that have not begun", lateJob("a", ago(14*time.Second), 0), lateJob("b", ago(15*time.Second), 0), "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, jobs := range [][]*csjob.Job{{c.a, c.b}, {c.b, c.a}} {
				placed := plan(now, []*Slot{slot("s", 1000, 100)}, jobs...)
				if len(placed) != 1 {
					t.Fatalf("got %d placements, want 1", len(placed))
				}
				if got := string(placed[0].Task.Job); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
			}
		})
	}
}

// Guards against an admission that knows another time than the order of work until which a job is on time or has value.
func TestProspectMatchesOrder(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	j := lateJob("a", at, 0)
	p := ProspectOf(at, &LearnedEstimator{}, testQueue, j.Submission)
	classAt := func(now time.Time) urgencyClass {
		return Waiting(now, &LearnedEstimator{}, testQueue, []*csjob.Job{j})[0].urgency.class
	}
	if got := classAt(p.OnTimeUntil); got != feasible {
		t.Errorf("got class %d when the job stops being on time, want %d", got, feasible)
	}
	if got := classAt(p.OnTimeUntil.Add(1)); got != late {
		t.Errorf("got class %d after that, want %d", got, late)
	}
	if got := classAt(p.LastStart); got != expired {
		t.Errorf("got class %d at the last start with value, want %d", got, expired)
	}
	w := Waiting(at, &LearnedEstimator{}, testQueue, []*csjob.Job{j})[0]
	if got := w.OnTimeUntil(); !got.Equal(p.OnTimeUntil) {
		t.Errorf("got %s for waiting work, want %s", got, p.OnTimeUntil)
	}
}
