package csplan

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a few of many long-running jobs ask for more than any target has. Guards against targets that are reserved for good for
// tasks that never fit, so that nothing starts in their pool any more (rule LOST).
func TestHopelessTasksReserveNoSlot(t *testing.T) {
	now := time.Now()
	hopeless := func(cpu csmodel.MilliCPU, memory csjob.MiB, gpus int, lasting bool) csjob.Step {
		s := step(1, cpu, memory)
		s.Resources.GPUs = gpus
		s.LongRunning = lasting
		return s
	}
	occupied := func() *Slot { // long-running tasks hold three quarters of the target
		s := slot("a", 8000, 1<<18)
		s.Drained = csjob.Resources{CPU: 8000, Memory: 1 << 18}
		return s
	}
	cases := []struct {
		name string
		step csjob.Step
		slot func() *Slot
		want int // tasks of 1000 mCPU placed, of 6
	}{
		{"more memory than a target has", hopeless(1000, 1<<21, 0, true), func() *Slot { return slot("a", 32000, 1<<20) }, 6},
		{"more CPU than a target has", hopeless(33000, 1, 0, true), func() *Slot { return slot("a", 32000, 1<<20) }, 6},
		{"a GPU that no target has", hopeless(1000, 1, 1, true), func() *Slot { return slot("a", 32000, 1<<20) }, 6},
		{"more than other long-running tasks leave", hopeless(16000, 1, 0, true), occupied, 6},
		{"a batch task that fits nowhere", hopeless(33000, 1, 0, false), func() *Slot { return slot("a", 32000, 1<<20) }, 6},
		{"a long-running task that fits once the batch runs have ended", hopeless(32000, 1, 0, true), func() *Slot { return slot("a", 16000, 1<<20) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var jobs []*csjob.Job
			for i := range 6 {
				jobs = append(jobs, job(fmt.Sprint("hopeless-", i), now, c.step))
			}
			jobs = append(jobs, job("small", now, step(6, 1000, 1)))
			if got := len(plan(now, []*Slot{c.slot()}, jobs...)); got != c.want {
				t.Errorf("got %d tasks placed, want %d", got, c.want)
			}
		})
	}
}

// A job that fits nowhere must not take the reservation of the most urgent job that fits once other runs have ended.
func TestHopelessTaskLeavesReservationToOthers(t *testing.T) {
	now := time.Now()
	slots := []*Slot{slot("a", 2000, 1<<20)}
	placed := plan(now, slots, job("hopeless", now, step(1, 40_000, 1)), job("large", now, step(1, 4000, 1)), job("small", now, step(2, 1000, 1)))
	if len(placed) != 0 {
		t.Errorf("got %d small tasks placed on the slot that has to be reserved for the large one, want none", len(placed))
	}
}

// Pattern: three in a hundred jobs fit no target, and the others are overdue after a rush. Guards against overdue jobs that are never
// looked at, because the hopeless ones before them never leave the list (rule LOST).
func TestOverdueJobsStartBehindHopelessOnes(t *testing.T) {
	now := time.Now()
	labelled := step(1, 10, 1)
	labelled.Label = "absent"
	cases := []struct {
		name string
		step func(i int) csjob.Step
	}{
		{"more memory than a target has", func(int) csjob.Step { return step(1, 10, 1<<21) }},
		{"more CPU than a target has, each a little more", func(i int) csjob.Step { return step(1, csmodel.MilliCPU(33_000+i), 1) }},
		{"a label that no target has", func(int) csjob.Step { return labelled }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var jobs []*csjob.Job
			for i := range 500 {
				jobs = append(jobs, job(fmt.Sprintf("hopeless-%04d", i), now.Add(-time.Hour), c.step(i)))
			}
			jobs = append(jobs, job("overdue", now.Add(-time.Minute), step(4, 1000, 1)))
			if got := len(plan(now, []*Slot{slot("a", 32_000, 1<<20)}, jobs...)); got != 4 {
				t.Errorf("got %d tasks of the overdue job placed, want 4", got)
			}
		})
	}
}
