package csplan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

var testQueue = csjob.Queue{Key: csjob.QueueKey{Host: "q", Prefix: "/"}, Stretch: 1.6, Objective: 600 * time.Millisecond}

// job returns an accepted job with one occurrence.
func job(id string, at time.Time, steps ...csjob.Step) *csjob.Job {
	j := csjob.NewJob(csjob.Submission{ID: csjob.ID(id), Steps: steps}, at, 0)
	j.Begun = []*csjob.Occurrence{j.Submission.NewOccurrence(0)}
	return j
}

func slot(id string, cpu csmodel.MilliCPU, memory csjob.MiB, labels ...string) *Slot {
	return &Slot{
		Incarnation: csjob.Incarnation{Target: csjob.TargetID(id)}, Free: csjob.Resources{CPU: cpu, Memory: memory}, Preferred: true, Labels: labels,
		Drained: csjob.Resources{CPU: 32000, Memory: 1 << 20},
		Spread:  map[StepKey]int{},
	}
}

// plan places the waiting tasks of the jobs of testQueue, in order of their urgency.
func plan(now time.Time, slots []*Slot, jobs ...*csjob.Job) []Placement {
	work := Waiting(now, &LearnedEstimator{}, testQueue, jobs)
	Sort(work)
	return Place(work, slots, func(csjob.TaskKey) bool { return false })
}

func step(tasks int, cpu csmodel.MilliCPU, memory csjob.MiB) csjob.Step {
	return csjob.Step{Tasks: tasks, Resources: csjob.Resources{CPU: cpu, Memory: memory}, Estimate: time.Second}
}

// Pattern: a pool is full, and small tasks take the resources as they become free, before a larger long-running task fits.
func TestLongRunningTaskIsNotStarved(t *testing.T) {
	now := time.Now()
	large := step(1, 2000, 20000)
	large.LongRunning = true
	slots := []*Slot{slot("a", 1000, 15000), slot("b", 1500, 30000)}
	placed := plan(now, slots, job("long-running", now, large), job("small", now, step(4, 500, 1000)))
	for _, p := range placed {
		if p.Slot.Incarnation.Target == "b" {
			t.Errorf("got %s placed on the slot that is reserved for the long-running task", p.Task)
		}
	}
	if got, want := len(placed), 2; got != want {
		t.Errorf("got %d small tasks placed, want %d", got, want)
	}
}

// Pattern: more feasible work waits than fits. Work that is already late must not take its resources.
func TestLateWorkGoesLast(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		age  time.Duration
		want string
	}{
		{"both are feasible, the older one goes first", 500 * time.Millisecond, "old"},
		{"the older one is late", 3 * time.Second, "new"},
		{"the older one has no value left", time.Minute, "new"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			old, fresh := job("old", now.Add(-c.age), step(1, 1000, 1)), job("new", now, step(1, 1000, 1))
			placed := plan(now, []*Slot{slot("a", 1000, 100)}, old, fresh)
			if len(placed) != 1 {
				t.Fatalf("got %d placements, want 1", len(placed))
			}
			if got := string(placed[0].Task.Job); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Pattern: after some seconds without a leader, refused clients retry together with new ones, and their work exceeds the capacity
// of the pool. A job that was first sent two seconds ago can't meet its objective any more and must not take the resources of a
// job that can.
func TestObjectiveCountsFromFirstRequest(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		waited time.Duration
		want   string
	}{
		{"just sent", 0, "retried"},
		{"can still meet its objective", 300 * time.Millisecond, "retried"},
		{"cannot meet its objective", 2 * time.Second, "new"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			retried, fresh := job("retried", now, step(1, 1000, 1)), job("new", now.Add(time.Millisecond), step(1, 1000, 1))
			retried.Submission.Waited = c.waited
			placed := plan(now.Add(time.Millisecond), []*Slot{slot("a", 1000, 100)}, retried, fresh)
			if len(placed) != 1 {
				t.Fatalf("got %d placements, want 1", len(placed))
			}
			if got := string(placed[0].Task.Job); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestPlacement(t *testing.T) {
	now := time.Now()
	spread := step(4, 100, 1)
	spread.MaxPerTarget = 1
	labelled := step(2, 100, 1)
	labelled.Label = "b"
	dataLocal := step(1, 100, 1)
	dataLocal.DataRack = "r2"
	gang := step(3, 1000, 1)
	gang.Gang = true
	bestEffort := step(3, 5000, 1)
	bestEffort.BestEffort = true
	cases := []struct {
		name  string
		step  csjob.Step
		slots []*Slot
		want  string
	}{
		{"tightest fit", step(1, 500, 1), []*Slot{slot("a", 4000, 100), slot("b", 1000, 100)}, "b"},
		{"free memory", step(1, 500, 50), []*Slot{slot("a", 4000, 100), slot("b", 1000, 10)}, "a"},
		{"spread", spread, []*Slot{slot("a", 1000, 100), slot("b", 1000, 100)}, "a b"},
		{"label", labelled, []*Slot{slot("a", 1000, 100, "a"), slot("b", 1000, 100, "b")}, "b b"},
		{"data rack", dataLocal, []*Slot{slot("a", 200, 100), {Free: csjob.Resources{CPU: 9000, Memory: 9}, Rack: "r2", Preferred: true}}, ""},
		{"whole gang", gang, []*Slot{slot("a", 2000, 100), slot("b", 1000, 100)}, "b a a"},
		{"no part of a gang that does not fit", gang, []*Slot{slot("a", 2000, 100)}, ""},
		{"best-effort tasks reserve no CPU", bestEffort, []*Slot{slot("a", 0, 100)}, "a a a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			for _, p := range plan(now, c.slots, job("j", now, c.step)) {
				if got != "" {
					got += " "
				}
				got += string(p.Slot.Incarnation.Target)
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Each step that is done shortens the remaining critical path.
func TestChain(t *testing.T) {
	first, second, third := step(1, 1, 1), step(1, 1, 1), step(1, 1, 1)
	second.After, third.After = []int{0}, []int{0, 1}
	j := job("j", time.Now(), first, second, third)
	for stepsDone, want := range []time.Duration{3 * time.Second, 2 * time.Second, time.Second, 0} {
		t.Run(fmt.Sprint(stepsDone), func(t *testing.T) {
			if got := RemainingCriticalPath(&LearnedEstimator{}, j, 0); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if stepsDone < 3 {
				j.Begun[0].Remaining[stepsDone] = 0
			}
		})
	}
}

// Pattern: declared run times are right, wrong by a constant factor, or unrelated to actual run times.
func TestLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	cases := []struct {
		name     string
		actual   func(declared time.Duration) time.Duration
		declared time.Duration // of the predicted task
		want     time.Duration
		percent  float64 // tolerance
	}{
		{"exact", func(d time.Duration) time.Duration { return d }, 700 * time.Millisecond, 700 * time.Millisecond, 5},
		{"three times as long", func(d time.Duration) time.Duration { return 3 * d }, time.Second, 3 * time.Second, 10},
		{"no relation", func(time.Duration) time.Duration { return time.Second }, 50 * time.Millisecond, time.Second, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runTimes csjob.RunTimes
			var l LearnedEstimator
			l.Use(&runTimes)
			for range 500 {
				d := time.Duration(50+random.IntN(1950)) * time.Millisecond
				runTimes.Observe(testQueue.Key, &csjob.Step{Estimate: d}, c.actual(d), false)
			}
			got := l.Duration(testQueue.Key, csjob.Step{Estimate: c.declared})
			if deviation := (got - c.want).Abs(); deviation.Seconds() > c.want.Seconds()*c.percent/100 {
				t.Errorf("got %s, want %s within %.0f%%", got, c.want, c.percent)
			}
		})
	}
}

// Pattern: thousands of steps wait in an overload. Guards against work that is lost or loses its order when it is sorted by position.
func TestSortIsStableAndComplete(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for size := range 40 {
		work := make([]Work, size)
		for i := range work {
			work[i] = Work{Key: StepKey{Occurrence: i}, urgency: urgency{priority: r.IntN(4)}}
		}
		want := slices.Clone(work)
		slices.SortStableFunc(want, func(a, b Work) int { return cmp.Compare(a.urgency.priority, b.urgency.priority) })
		Sort(work)
		for i := range work {
			if got := work[i].Key; got != want[i].Key {
				t.Fatalf("got step %d at position %d of %d, want step %d", got.Occurrence, i, size, want[i].Key.Occurrence)
			}
		}
	}
}
