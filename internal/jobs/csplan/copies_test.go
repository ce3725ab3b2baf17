package csplan

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// heavyTail returns an estimator for a step of one second, of which 3 tasks in 100 run seven times as long.
func heavyTail() (*LearnedEstimator, csjob.Step) {
	var runTimes csjob.RunTimes
	l := &LearnedEstimator{}
	l.Use(&runTimes)
	s := csjob.Step{Tasks: 1, Resources: csjob.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second, Speculative: true}
	for n := range 400 {
		d := time.Second * time.Duration(90+n%21) / 100
		if n%33 == 0 {
			d *= 7
		}
		runTimes.Observe(testQueue.Key, &s, d, false)
	}
	return l, s
}

// Pattern: 3 in 100 runs take seven times as long as the others. Guards against copies of runs that don't need one, and of steps that must
// not run twice.
func TestNeedsCopy(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l, speculative := heavyTail()
	other, gang, lasting := speculative, speculative, speculative
	other.Speculative = false
	gang.Gang = true
	lasting.LongRunning = true
	cases := []struct {
		name             string
		step             csjob.Step
		passed           time.Duration
		deadline, expiry time.Duration // from now
		want             bool
	}{
		{"unusually long, late without a copy", speculative, 2 * time.Second, 1500 * time.Millisecond, 5 * time.Second, true},
		{"late with a copy too, but not without value", speculative, 2 * time.Second, 500 * time.Millisecond, 4 * time.Second, true},
		{"usual", speculative, 1050 * time.Millisecond, 0, 5 * time.Second, false},
		{"on time without a copy", speculative, 2 * time.Second, 7 * time.Second, 20 * time.Second, false},
		{"a copy would end later", speculative, 6500 * time.Millisecond, 0, 5 * time.Second, false},
		{"without value with a copy", speculative, 2 * time.Second, -3 * time.Second, time.Second, false},
		{"not speculative", other, 2 * time.Second, 1500 * time.Millisecond, 5 * time.Second, false},
		{"member of a gang", gang, 2 * time.Second, 1500 * time.Millisecond, 5 * time.Second, false},
		{"long-running", lasting, 2 * time.Second, 1500 * time.Millisecond, 5 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := job("j", now, c.step)
			r := LongRun{
				Job: j, Task: csjob.TaskKey{Job: "j"}, Passed: c.passed, Prediction: l.Predict(testQueue.Key, &j.Submission.Steps[0]),
				Deadline: now.Add(c.deadline), Expiry: now.Add(c.expiry),
			}
			if reason, got := r.NeedsCopy(now); got != c.want {
				t.Errorf("got copy = %t (%+v), want %t", got, reason, c.want)
			}
		})
	}
}

// Pattern: many runs of a full or nearly full pool are unusually long at the same time. Guards against copies that take capacity from
// waiting work, from the quota of an account, or more than their share, and against copies beside the original.
func TestCopiesTakeOnlySpareCapacity(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l, s := heavyTail()
	place := func(rack string) *Slot {
		o := slot(rack, 8000, 1000)
		o.Rack = rack
		return o
	}
	slowSlot := place("c")
	slowSlot.Preferred = false
	cases := []struct {
		name  string
		slots []*Slot
		room  CopyRoom
		want  int // copies of ten runs
	}{
		{"a twentieth of the pool", []*Slot{place("a"), place("b")}, CopyRoom{Capacity: 64_000}, 3},
		{"copies run already", []*Slot{place("a"), place("b")}, CopyRoom{Capacity: 64_000, Copies: 2000}, 1},
		{"waiting work needs nearly all that is free", []*Slot{place("a"), place("b")}, CopyRoom{Capacity: 64_000, Waiting: 15_000}, 1},
		{"waiting work needs more than is free", []*Slot{place("a"), place("b")}, CopyRoom{Capacity: 64_000, Waiting: 17_000}, 0},
		{"the rack of the original only", []*Slot{place("a")}, CopyRoom{Capacity: 64_000}, 0},
		{"a slow target only", []*Slot{slowSlot}, CopyRoom{Capacity: 64_000}, 0},
		{"quota used up", []*Slot{place("b")}, CopyRoom{Capacity: 64_000, Take: func(*csjob.Job, csjob.Resources) bool { return false }}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs []LongRun
			for i := range 10 {
				j := job(string(rune('a'+i)), now, s)
				runs = append(runs, LongRun{
					Job: j, Task: csjob.TaskKey{Job: j.Submission.ID}, Target: "original", Rack: "a", Passed: 2 * time.Second,
					Prediction: l.Predict(testQueue.Key, &s), Deadline: now.Add(time.Second), Expiry: now.Add(5 * time.Second),
				})
			}
			copies := PlaceCopies(now, runs, c.slots, c.room)
			if got := len(copies); got != c.want {
				t.Errorf("got %d copies, want %d", got, c.want)
			}
			for _, p := range copies {
				if p.Slot.Rack == "a" {
					t.Errorf("got a copy of %s in the rack of the original", p.Task)
				}
			}
		})
	}
}

// Pattern: single targets are slow, or all of a pool because the expected run times are wrong. Guards against urgent work on slow targets,
// and against a pool whose targets all count as slow.
func TestMarkSlow(t *testing.T) {
	cases := []struct {
		name  string
		costs []float64
		want  int
	}{
		{"one slow target", []float64{1, 1.1, 0, 0.9, 2, 1, 1, 1}, 1},
		{"more than a quarter", []float64{1, 3, 2, 1, 2, 1, 1, 1}, 2},
		{"all", []float64{2, 2.1, 2, 1.9, 2, 2, 2.2, 2}, 0},
		{"two targets", []float64{1, 3}, 0},
		{"unknown", []float64{0, 0, 0, 0}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var slots []*Slot
			for i, cost := range c.costs {
				s := slot(string(rune('a'+i)), 1000, 100)
				s.Cost = cost
				slots = append(slots, s)
			}
			slow := MarkSlow(slots)
			if got := len(slow); got != c.want {
				t.Fatalf("got %d slow targets, want %d", got, c.want)
			}
			placed := plan(time.Now(), slots, job("urgent", time.Now(), step(len(slots)-len(slow), 1000, 1)))
			for _, p := range placed {
				if !p.Slot.Preferred {
					t.Errorf("got an urgent task on the slow target %s", p.Slot.Incarnation.Target)
				}
			}
		})
	}
}

// BenchmarkPlaceCopies measures a check of the unusually long runs of a large pool: 50 of them, as 3 in 100 of 1,700 runs.
func BenchmarkPlaceCopies(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	l, s := heavyTail()
	var runs []LongRun
	for i := range 50 {
		j := job(string(rune('a'+i)), now, s)
		runs = append(runs, LongRun{
			Job: j, Task: csjob.TaskKey{Job: j.Submission.ID}, Rack: "a", Passed: 2 * time.Second, Prediction: l.Predict(testQueue.Key, &s),
			Deadline: now.Add(time.Second), Expiry: now.Add(5 * time.Second),
		})
	}
	slots := make([]*Slot, 800)
	for i := range slots {
		slots[i] = slot(string(rune(i)), 0, 1000)
	}
	for b.Loop() {
		for i, o := range slots {
			o.Free, o.Starting = csjob.Resources{CPU: csmodel.MilliCPU(i * 10), Memory: 1000}, 0
		}
		PlaceCopies(now, runs, slots, CopyRoom{Capacity: 800 * 32_000})
	}
}
