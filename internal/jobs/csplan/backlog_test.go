package csplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: dozens of steps wait for something that may never come, for example the place of a target that was lost for good. Guards
// against work behind them that is never looked at although its pool is idle (rule LOST). In a pool that is in use it leaves the room that
// becomes free to them.
func TestWorkBehindWaitingStepsIsPlaced(t *testing.T) {
	now := time.Now()
	lasting := func(s csjob.Step) csjob.Step { s.LongRunning = true; return s }
	gang := func(s csjob.Step) csjob.Step { s.Gang = true; return s }
	spread := step(1, 100, 1)
	spread.MaxPerTarget = 1
	spreadGang := step(3, 100, 1)
	spreadGang.MaxPerTarget = 1
	labelled := step(1, 4000, 1)
	labelled.Label = "gpu"
	busy := slot("busy", 0, 1<<20, "gpu")
	busy.Drained = csjob.Resources{CPU: 32_000, Memory: 1 << 20}
	empty := func(id string, cpu csmodel.MilliCPU, memory csjob.MiB) *Slot {
		s := slot(id, cpu, memory)
		s.Drained = s.Free
		return s
	}
	idle := func() []*Slot { return []*Slot{empty("a", 32_000, 1<<20), empty("b", 32_000, 1<<20)} }
	used := func(id string, free csmodel.MilliCPU) *Slot { return slot(id, free, 1<<20) } // of 32 cores
	cases := []struct {
		name  string
		step  csjob.Step
		slots []*Slot
		want  int // tasks of the job behind them, of 4
	}{
		{"long-running, with a task on each target already", lasting(spread), idle(), 4},
		{"batch, with a task on each target already", spread, idle(), 4},
		{"the same in a pool that is in use", spread, []*Slot{used("a", 12_000), used("b", 12_000)}, 4},
		{"CPU of one target and memory of another", step(1, 20_000, 1<<18), []*Slot{empty("a", 32_000, 1<<10), empty("b", 10_000, 1<<20)}, 4},
		{
			"long-running, CPU of one target and memory of another", lasting(step(1, 20_000, 1<<18)),
			[]*Slot{empty("a", 32_000, 1<<10), empty("b", 10_000, 1<<20)}, 4,
		},
		{"gangs that fit with one task less", gang(step(3, 32_000, 1)), idle(), 4},
		{"long-running gangs that fit with one task less", lasting(gang(step(3, 32_000, 1))), idle(), 4},
		{"long-running gangs of one task more than targets", lasting(gang(spreadGang)), idle(), 4},
		{"a label whose targets are busy", labelled, append(idle(), busy), 4},
		{"whole targets, of which each runs a small task", step(1, 32_000, 1), []*Slot{used("a", 30_000), used("b", 30_000)}, 4},
		{"a quarter of a target, of which each is nearly full", step(1, 8000, 1), []*Slot{used("a", 4000), used("b", 4000)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var jobs []*csjob.Job
			for i := range 100 {
				jobs = append(jobs, job(fmt.Sprintf("waiting-%04d", i), now, c.step))
				for _, s := range c.slots {
					if c.step.Gang {
						continue
					}
					s.Spread[StepKey{Job: jobs[i].Submission.ID}] = c.step.MaxPerTarget // other tasks of the step run there
				}
			}
			jobs = append(jobs, job("other", now, step(4, 1000, 1)))
			placed := 0
			for _, p := range plan(now, c.slots, jobs...) {
				if p.Task.Job == "other" {
					placed++
				}
			}
			if placed != c.want {
				t.Errorf("got %d tasks of the job behind the waiting ones placed, want %d", placed, c.want)
			}
		})
	}
}

// Guards against a target that is reserved for a long-running task that it can never hold, while another target could.
func TestReservedSlotCanHoldTheTask(t *testing.T) {
	now := time.Now()
	occupied := slot("occupied", 10_000, 1<<20) // other long-running tasks hold the rest
	occupied.Drained = occupied.Free
	lasting := step(1, 20_000, 1)
	lasting.LongRunning = true
	placed := plan(now, []*Slot{occupied, slot("busy", 4000, 1<<20)}, job("lasting", now, lasting), job("other", now, step(4, 1000, 1)))
	if len(placed) != 4 {
		t.Errorf("got %d tasks placed, want 4", len(placed))
	}
	for _, p := range placed {
		if p.Slot != occupied {
			t.Errorf("got a task on %s, which has to be reserved", p.Slot.Incarnation.Target)
		}
	}
}

// Guards against a plan that differs from one that looks at the slots for each step: what did not fit before must not fit now.
func TestStepsArePassedOverOnlyIfTheyDoNotFit(t *testing.T) {
	now := time.Now()
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		pool := make([]*Slot, 1+random.IntN(6))
		for i := range pool {
			pool[i] = slot(fmt.Sprint(i), csmodel.MilliCPU(random.IntN(8)*1000), csjob.MiB(random.IntN(8)), []string{"x", "y"}[random.IntN(2)])
		}
		var work []Work
		for i := range 60 {
			s := step(1+random.IntN(4), csmodel.MilliCPU(random.IntN(5)*1000), csjob.MiB(random.IntN(5)))
			s.Gang, s.LongRunning, s.MaxPerTarget = random.IntN(4) == 0, random.IntN(4) == 0, random.IntN(3)
			s.Label = []string{"", "x", "y"}[random.IntN(3)]
			j := job(fmt.Sprint(i), now, s)
			work = append(work, Waiting(now, &LearnedEstimator{}, csjob.Queue{}, []*csjob.Job{j})...)
		}
		Sort(work)
		unstarted := func(csjob.TaskKey) bool { return false }
		placed := map[StepKey]bool{}
		for _, p := range Place(work, pool, unstarted) {
			placed[StepKey{p.Task.Job, p.Task.Occurrence, p.Task.Step}] = true
		}
		for i := range work {
			if placed[work[i].Key] {
				continue
			}
			if more, _ := placeStep(&work[i], pool, unstarted, math.MaxInt); len(more) > 0 {
				t.Fatalf("seed %d: %d tasks of step %+v fit after the round", seed, len(more), work[i].Step)
			}
		}
	}
}

// BenchmarkBacklog places a backlog of steps of different sizes on full targets.
func BenchmarkBacklog(b *testing.B) {
	now := time.Now()
	cases := []struct {
		steps  int
		spread int // tasks of a step on each target already, as many as its limit
	}{{100, 0}, {1000, 0}, {10_000, 0}, {100, 1}, {1000, 1}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("%d steps, spread %d", c.steps, c.spread), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			pool := make([]*Slot, 350)
			for i := range pool {
				pool[i] = slot(fmt.Sprint(i), csmodel.MilliCPU(random.IntN(500)), csjob.MiB(random.IntN(500)))
				pool[i].Drained = csjob.Resources{CPU: 32_000, Memory: 1 << 16}
			}
			var jobs []*csjob.Job
			for i := range c.steps {
				s := step(1+random.IntN(30), csmodel.MilliCPU(500+random.IntN(8000)), csjob.MiB(64+random.IntN(8000)))
				s.MaxPerTarget = c.spread
				jobs = append(jobs, job(fmt.Sprint(i), now, s))
				for _, t := range pool {
					t.Spread[StepKey{Job: jobs[i].Submission.ID}] = c.spread
				}
			}
			work := Waiting(now, &LearnedEstimator{}, csjob.Queue{}, jobs)
			Sort(work)
			for b.Loop() {
				Place(work, pool, func(csjob.TaskKey) bool { return false })
			}
		})
	}
}
