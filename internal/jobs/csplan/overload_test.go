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

// overloadSim simulates one pool under a virtual clock. Jobs of one step arrive at random times, and the end of a run is noticed
// after simEndDelay.
type overloadSim struct {
	vms              int
	load             float64       // arriving work relative to the capacity of the pool
	arrivalTime      time.Duration // during which jobs arrive
	medianRunTime    time.Duration // of one task
	runTimeDeviation float64       // standard deviation of the logarithms of run times
	seed             uint64
}

const (
	simTick        = 20 * time.Millisecond
	simEndDelay    = 120 * time.Millisecond // from the end of a run until it is committed
	simTasksPerJob = 6                      // mean
	simTaskCPU     = csmodel.MilliCPU(1800)
	simVMCPU       = csmodel.MilliCPU(32000)
	simTaskMemory  = csjob.MiB(1)
)

// simRun is an open run of the simulation.
type simRun struct {
	slot *Slot
	job  *csjob.Job
	key  csjob.TaskKey
	ends time.Time
}

// run returns the share of all jobs that were done on time, and the share of the jobs started as feasible that were not.
func (sim overloadSim) run() (onTime, wasted float64) {
	r := rand.New(rand.NewPCG(sim.seed, 1))
	start := time.Unix(1_800_000_000, 0)
	var slots []*Slot
	for i := range sim.vms {
		slots = append(slots, slot(fmt.Sprint(i), simVMCPU, 1<<20))
	}
	perSecond := sim.load * float64(sim.vms) * float64(simVMCPU) / (simTasksPerJob * float64(simTaskCPU) *
		sim.medianRunTime.Seconds() * math.Exp(sim.runTimeDeviation*sim.runTimeDeviation/2))
	gap := func() time.Duration { return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)) }
	next := start.Add(gap())
	longest := map[csjob.ID]time.Duration{}
	var active []*csjob.Job
	var runs []simRun
	submitted, onTimeJobs, feasibleStarts := 0, 0, 0
	for at := start; at.Before(start.Add(sim.arrivalTime + 3*time.Second)); at = at.Add(simTick) {
		for ; !next.After(at) && next.Before(start.Add(sim.arrivalTime)); next = next.Add(gap()) {
			submitted++
			j := job(fmt.Sprintf("%06d", submitted), at, csjob.Step{
				Tasks: 1 + r.IntN(2*simTasksPerJob-1), Resources: csjob.Resources{CPU: simTaskCPU, Memory: simTaskMemory}, Estimate: sim.medianRunTime,
			})
			j.AcceptIndex = csmodel.Index(submitted)
			active = append(active, j)
		}
		stillOpen := runs[:0]
		for _, run := range runs {
			if run.ends.After(at) {
				stillOpen = append(stillOpen, run)
				continue
			}
			run.slot.Free = run.slot.Free.Add(run.job.Submission.Steps[0].Needs())
			task := run.job.Task(run.key)
			task.Runs, task.Done = nil, true
			run.job.Begun[0].Remaining[0]--
		}
		runs = stillOpen
		unfinished := active[:0]
		for _, j := range active {
			if j.Begun[0].Remaining[0] > 0 {
				unfinished = append(unfinished, j)
				continue
			}
			limit := testQueue.Objective + time.Duration(testQueue.Stretch*float64(longest[j.Submission.ID]))
			if at.Sub(j.Accepted) <= limit {
				onTimeJobs++
			}
		}
		active = unfinished
		for _, s := range slots {
			s.reserved = false
		}
		for _, p := range plan(at, slots, active...) {
			p.Slot.Starting = 0 // targets confirm starts at once
			j := active[0]
			for _, candidate := range active {
				if candidate.Submission.ID == p.Task.Job {
					j = candidate
				}
			}
			runTime := time.Duration(float64(sim.medianRunTime) * math.Exp(sim.runTimeDeviation*r.NormFloat64()))
			if longest[p.Task.Job] == 0 && !wouldBeLate(at, j) {
				feasibleStarts++
			}
			longest[p.Task.Job] = max(longest[p.Task.Job], runTime)
			task := j.Task(p.Task)
			task.Attempts, task.Runs = 1, []csjob.Run{{Attempt: 1}}
			runs = append(runs, simRun{p.Slot, j, p.Task, at.Add(runTime + simEndDelay)})
		}
	}
	return float64(onTimeJobs) / float64(submitted), float64(max(0, feasibleStarts-onTimeJobs)) / float64(max(1, feasibleStarts))
}

// wouldBeLate reports whether a job that has not started is not expected to meet its objective.
func wouldBeLate(now time.Time, j *csjob.Job) bool {
	work := Waiting(now, &LearnedEstimator{}, testQueue, []*csjob.Job{j})
	return len(work) == 0 || work[0].Late()
}

// Pattern: for some seconds, more work arrives than a pool has capacity for. Guards against capacity that is spent on many jobs
// that all end slightly late: at least three quarters of the jobs that the capacity allows must be done on time.
func TestOverloadCompletesWhatFitsOnTime(t *testing.T) {
	for _, load := range []float64{0.8, 1.2, 1.6, 2.5} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%.1f/%d", load, seed), func(t *testing.T) {
				t.Parallel()
				sim := overloadSim{
					vms: 10, load: load, arrivalTime: 6 * time.Second, medianRunTime: 640 * time.Millisecond, runTimeDeviation: 0.35, seed: seed,
				}
				onTime, wasted := sim.run()
				t.Logf("on time %.2f of %.2f, started in vain %.2f", onTime, min(1, 1/load), wasted)
				if want := 0.75 * min(1, 1/load); onTime < want {
					t.Errorf("got %.2f of the jobs on time, want %.2f", onTime, want)
				}
				if wasted > 0.25 {
					t.Errorf("got %.2f of the started jobs not done on time, want at most 0.25", wasted)
				}
			})
		}
	}
}
