package csrun

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	unevenTargets = 48
	unevenTime    = 30 * time.Second
	tailRatio     = 7
)

// newUnevenSimulation returns a simulation in which 3 of 100 first attempts run seven times as long, and three steps in ten may be copied.
func newUnevenSimulation(check func(csjob.Target, StartOrder)) *simulation {
	sim := newSimulationOf(unevenTargets, newSimulationLog())
	random := rand.New(rand.NewPCG(3, 1))
	sim.speculative = 0.3
	sim.unevenRunTime = func(t csjob.Target, o StartOrder, d time.Duration) time.Duration {
		if check != nil {
			check(t, o)
		}
		if o.Attempt == 1 && random.Float64() < 0.03 {
			return tailRatio * d
		}
		return d
	}
	return sim
}

// Pattern: pools are busy by turns and 3 in 100 tasks run seven times as long. Guards against a leader that starts a second run of a task
// whose step does not allow it, more than one copy, a copy beside its original, or more copies than a twentieth of a pool.
func TestLeaderCopiesLongRuns(t *testing.T) {
	var sim *simulation
	copies := 0
	largest := map[csmodel.PoolID]csmodel.MilliCPU{}
	sim = newUnevenSimulation(func(on csjob.Target, o StartOrder) {
		j := sim.table.Job(o.Task.Job)
		task, step := j.Task(o.Task), &j.Submission.Steps[o.Task.Step]
		if o.Attempt == 1 {
			return
		}
		copies++
		if !step.Speculative {
			t.Errorf("got a second run of %s, whose step allows none", o.Task)
		}
		if len(task.Runs) > 2 {
			t.Errorf("got %d open runs of %s, want at most 2", len(task.Runs), o.Task)
		}
		for _, run := range task.Runs {
			other, _ := sim.table.Target(run.Incarnation.Target)
			if run.Attempt != o.Attempt && other.Rack == on.Rack {
				t.Errorf("got the copy of %s in the rack of its original", o.Task)
			}
		}
		used := csmodel.MilliCPU(0)
		for _, job := range sim.table.Active() {
			for _, occurrence := range job.Begun {
				for s, tasks := range occurrence.Tasks {
					for i := range tasks {
						if len(tasks[i].Runs) == 2 && sim.table.QueueOf(job).Pool == on.Pool {
							used += job.Submission.Steps[s].Resources.CPU
						}
					}
				}
			}
		}
		largest[on.Pool] = max(largest[on.Pool], used)
	})
	sim.advance(unevenTime)
	for pool, used := range largest {
		if want := csmodel.MilliCPU(unevenTargets / simPools * 16_000 / 20); used > want {
			t.Errorf("got %d millicores of copies in %s, want at most %d", used, pool, want)
		}
	}
	m := sim.r.options.Metrics
	started, won := testutil.ToFloat64(m.copies.WithLabelValues(copyStarted)), testutil.ToFloat64(m.copies.WithLabelValues(copyWon))
	wasted := testutil.ToFloat64(m.copies.WithLabelValues(copyWasted))
	t.Logf("%d copies, won %.0f, wasted %.0f", copies, won, wasted)
	if copies == 0 || int(started) < copies {
		t.Errorf("got %d copies and %.0f counted, want some and all of them counted", copies, started)
	}
	if won < 0.5*started {
		t.Errorf("got %.0f of %.0f copies that ended first, want more than half", won, started)
	}
}

// Pattern: the leader is replaced while copies run. Guards against a copy of a copy, and against originals that a new leader doesn't stop.
func TestNewLeaderKnowsCopies(t *testing.T) {
	var sim *simulation
	sim = newUnevenSimulation(func(_ csjob.Target, o StartOrder) {
		if n := len(sim.table.Job(o.Task.Job).Task(o.Task).Runs); n > 2 {
			t.Errorf("got %d open runs of %s, want at most 2", n, o.Task)
		}
	})
	sim.advance(8 * time.Second)
	copied := func() (n int) {
		for _, j := range sim.table.Active() {
			for _, o := range j.Begun {
				for _, tasks := range o.Tasks {
					for i := range tasks {
						if len(tasks[i].Runs) == 2 {
							n++
						}
					}
				}
			}
		}
		return n
	}
	changes := 0
	for end := sim.now.Add(unevenTime); sim.now.Before(end); sim.advance(100 * time.Millisecond) {
		if copied() > 0 && changes < 5 {
			changes++
			sim.changeLeader()
		}
	}
	if changes < 5 {
		t.Errorf("got %d changes of leaders while copies ran, want 5", changes)
	}
	sim.noArrivals = true
	sim.advance(time.Minute) // a job has up to three steps in a row, each of up to 20 s
	for _, j := range sim.table.Active() {
		if !j.Submission.Steps[0].LongRunning {
			t.Errorf("got job %s with %d open runs a minute after the last arrival, want it done", j.Submission.ID, j.OpenRuns)
		}
	}
}

// Pattern: one target of a pool runs everything three times as long for a while. Guards against urgent work on it, and against a target
// that stays slow for good.
func TestSlowTargetIsAvoidedAndReturns(t *testing.T) {
	sim := newSimulationOf(unevenTargets, newSimulationLog())
	slow, starts := true, 0
	id := csjob.TargetID("target-0004") // of the first pool
	sim.unevenRunTime = func(t csjob.Target, _ StartOrder, d time.Duration) time.Duration {
		if t.Incarnation.Target != id {
			return d
		}
		starts++
		if slow {
			return 3 * d
		}
		return d
	}
	sim.advance(20 * time.Second) // one busy phase of each pool
	if !sim.r.targets[id].slow {
		t.Errorf("got a cost of %.2f, want the target to count as slow", sim.r.targets[id].costOf(sim.now))
	}
	slow, starts = false, 0
	sim.advance(40 * time.Second)
	if w := sim.r.targets[id]; w.slow || w.returning > 0 || starts == 0 {
		t.Errorf("got slow = %t, returning = %d after %d runs, want an ordinary target", w.slow, w.returning, starts)
	}
}

// Pattern: a run is unusually long, and its copy fails or does not start. Guards against copy after copy of the same run, which could use up
// the attempts of its task.
func TestRunGetsOneCopy(t *testing.T) {
	sim := newUnevenSimulation(nil)
	sim.advance(8 * time.Second) // until the usual run times are known
	ended := func(o csjob.Outcome) func(csjob.TaskKey) {
		return func(k csjob.TaskKey) {
			on := csjob.Incarnation{Target: "target-0004", StartedAtMs: 1}
			sim.commit(csjob.Command{Starts: []csjob.Start{{Task: k, Attempt: 2, Incarnation: on}}})
			if o != csjob.OutcomeDone {
				sim.commit(csjob.Command{Ends: []csjob.End{{Task: k, Attempt: 2, Incarnation: on, Outcome: o}}})
			}
		}
	}
	cases := []struct {
		name  string
		event func(csjob.TaskKey)
		want  bool
	}{
		{"no copy yet", func(csjob.TaskKey) {}, true},
		{"copy proposed", func(k csjob.TaskKey) { sim.r.addPending(k, csjob.Incarnation{Target: "target-0004", StartedAtMs: 1}) }, false},
		{"copy runs", ended(csjob.OutcomeDone), false}, // its end is not committed
		{"copy failed", ended(csjob.OutcomeFailed), false},
		{"copy never started", ended(csjob.OutcomeNotStarted), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim.submit(queueKey(0, 0), csjob.Step{Tasks: 1, Resources: csjob.Resources{CPU: 1000}, Estimate: time.Second, Speculative: true})
			j := sim.table.Active()[len(sim.table.Active())-1]
			w, k := sim.r.targets["target-0000"], csjob.TaskKey{Job: j.Submission.ID}
			sim.commit(csjob.Command{Starts: []csjob.Start{{Task: k, Attempt: 1, Incarnation: w.incarnation}}})
			c.event(k)
			u := &run{key: runKey{k, 1}, since: sim.now.Add(-5 * time.Second), job: j, mayCopy: true}
			if _, got := sim.r.longRun(sim.now, &sim.table, w, u); got != c.want {
				t.Errorf("got candidate for a copy = %t, want %t", got, c.want)
			}
		})
	}
}
