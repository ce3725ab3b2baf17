package csrun

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// overloadRun is a simulated pool to which more jobs arrive than it has CPU for.
type overloadRun struct {
	seed       uint64
	load       float64       // arriving work relative to the capacity of the pool
	commitTime time.Duration // of the decisions of a round

	sim          *simulation
	since        map[csjob.ID]time.Time          // submission of the jobs that have not ended
	longest      map[csjob.ID][2]time.Duration   // longest run of each step
	runTimes     map[csjob.TaskKey]time.Duration // actual ones
	expected     map[csjob.TaskKey]time.Duration // predicted ones
	jobs, onTime int
}

const (
	overloadTargets  = 96 // in simPools pools
	overloadArrivals = 12 * time.Second
	overloadTaskCPU  = csmodel.MilliCPU(2000)
	overloadTick     = 20 * time.Millisecond
)

// run counts the jobs that are done on time by their actual run times.
func (o *overloadRun) run() {
	o.sim = newSimulationOf(overloadTargets, newSimulationLog())
	o.sim.noArrivals, o.sim.commitTime = true, o.commitTime
	o.sim.jobRandom, o.sim.callRandom = rand.New(rand.NewPCG(o.seed, 3)), rand.New(rand.NewPCG(o.seed, 4))
	o.since, o.longest = map[csjob.ID]time.Time{}, map[csjob.ID][2]time.Duration{}
	o.runTimes, o.expected = map[csjob.TaskKey]time.Duration{}, map[csjob.TaskKey]time.Duration{}
	o.sim.unevenRunTime = func(_ csjob.Target, s StartOrder, d time.Duration) time.Duration {
		longest := o.longest[s.Task.Job]
		longest[s.Task.Step] = max(longest[s.Task.Step], d)
		o.longest[s.Task.Job], o.runTimes[s.Task] = longest, d
		return d
	}
	const cores = overloadTargets/simPools*16 - 24 // without those of the long-running tasks
	const coreSecondsPerJob = 1.5 * 8 * 0.8 * float64(overloadTaskCPU) / 1000
	due := 0.0
	for at := time.Duration(0); at < overloadArrivals+4*time.Second; at += overloadTick {
		if at < overloadArrivals {
			due += o.load * cores / coreSecondsPerJob * overloadTick.Seconds()
		}
		for ; due >= 1; due-- {
			o.submit()
		}
		o.sim.advance(overloadTick)
		o.countEnded()
		for _, w := range o.sim.r.targets {
			for _, u := range w.list {
				o.expected[u.key.task] = u.expected
			}
		}
	}
	o.jobs += len(o.since)
}

// submit submits a job of one or two steps of 4 to 12 tasks.
func (o *overloadRun) submit() {
	s := csjob.Step{
		Tasks: 4 + o.sim.jobRandom.IntN(9), Resources: csjob.Resources{CPU: overloadTaskCPU, Memory: 2048},
		Estimate: time.Duration((0.5 + 0.6*o.sim.jobRandom.Float64()) * float64(time.Second)),
	}
	steps := []csjob.Step{s}
	if o.sim.jobRandom.IntN(2) == 0 {
		s.After = []int{0}
		steps = append(steps, s)
	}
	o.sim.submit(queueKey(0, 0), steps...)
	o.since[csjob.ID(fmt.Sprintf("%016x", o.sim.jobs))] = o.sim.now
}

func (o *overloadRun) countEnded() {
	q := o.sim.table.Config().Queues[0]
	for id, since := range o.since {
		if !o.sim.table.Job(id).State.Final() {
			continue
		}
		delete(o.since, id)
		o.jobs++
		longest := o.longest[id]
		if o.sim.now.Sub(since) <= q.Objective+time.Duration(q.Stretch*float64(longest[0]+longest[1])) {
			o.onTime++
		}
	}
}

// Pattern: a pool is overloaded while each commit takes long, as with slow disks or distant availability zones. Guards against jobs that
// the leader starts as on time and that all end late, and against CPU that stands idle between two runs: at least three quarters of the
// jobs that the capacity allows must be done on time.
func TestOverloadWithSlowCommitsCompletesWhatFitsOnTime(t *testing.T) {
	for _, load := range []float64{0.9, 1.2, 1.6, 2.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			jobs, onTime := 0, 0
			for seed := range uint64(2) {
				o := overloadRun{seed: seed, load: load, commitTime: 120 * time.Millisecond}
				o.run()
				jobs, onTime = jobs+o.jobs, onTime+o.onTime
			}
			got, want := float64(onTime)/float64(jobs), 0.75*min(1, 1/load)
			t.Logf("on time %.3f of %d jobs", got, jobs)
			if got < want {
				t.Errorf("got %.3f of %d jobs on time, want %.3f", got, jobs, want)
			}
		})
	}
}

// Pattern: each commit takes long. Guards against predicted run times that contain what the leader waits for: the objective of a job grows
// with them, and that of its client account does not. An end between two polls is known to a quarter of their interval on average.
func TestPredictedRunTimesExcludeDelays(t *testing.T) {
	for _, commitTime := range []time.Duration{simCommitTime, 40 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(commitTime.String(), func(t *testing.T) {
			t.Parallel()
			o := overloadRun{seed: 1, load: 0.5, commitTime: commitTime}
			o.run()
			var tooLong time.Duration
			runs := 0
			for k, d := range o.runTimes {
				if expected, seen := o.expected[k]; seen {
					tooLong += expected - d
					runs++
				}
			}
			if got, want := tooLong/time.Duration(runs), simTiming.MinPollInterval/4; got.Abs() > want {
				t.Errorf("got %d run times predicted %v too long on average, want at most %v", runs, got, want)
			}
		})
	}
}
