package csplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	learnTick      = 2 * simTick
	learnVMs       = 4
	learnTurns     = 2               // pairs of a busy and a quiet turn
	learnTurn      = 4 * time.Second // of a busy or a quiet turn
	learnBusy      = 1.2             // arriving work relative to the capacity of the pool
	learnQuiet     = 0.2
	learnImages    = 8
	learnMedian    = 640 * time.Millisecond
	learnTailShare = 0.03
	learnTailRatio = 7
)

// learnLoad is how actual and declared run times of a simulated pool differ. Each deviation is the standard deviation of the logarithm.
type learnLoad struct {
	name          string
	declaredError float64 // of the declared run times
	images        float64 // of the run times by image
	tail          bool    // 3 tasks in 100 run seven times as long
	drift         bool    // run times double after half of the time
	gain          float64 // share of the jobs that learned run times have to bring on time beyond declared ones
}

// learner is an Estimator with what it does at the end of a run.
type learner struct {
	name string
	Estimator
	observe func(csjob.Step, time.Duration)
	// stopped is told how long a run took that was stopped because another run of its task was done. Without it no copies are made.
	stopped func(csjob.Step, time.Duration)
}

// learnSim simulates one pool that is busy by turns, under a virtual clock. The objective of a job counts the typical run time of its steps.
type learnSim struct {
	learnLoad
	learner
	random, copied *rand.Rand // of the load, and of the run times of copies
	start          time.Time
	slots          []*Slot
	images         [learnImages]float64
	jobs           map[csjob.ID]*csjob.Job
	// lengths holds the run times of the tasks of each job by step. They are drawn at its arrival, so that all estimators meet the same load.
	lengths map[csjob.ID][][]time.Duration
	active  []*csjob.Job
	runs    []learnRun
	onTime  int
	late    time.Duration // sum of all jobs
	errors  float64       // sum of the logarithms of the errors of predictions
	started int
	copies  int
}

type learnRun struct {
	simRun
	since time.Time
	took  time.Duration
}

func (sim *learnSim) logNormal(deviation float64) float64 {
	return math.Exp(deviation * sim.random.NormFloat64())
}

// typical returns the typical run time of a step. No decision reads the field that carries it.
func typical(s *csjob.Step) time.Duration { return s.TailLatency }

func (sim *learnSim) submit(at time.Time) {
	var steps []csjob.Step
	var lengths [][]time.Duration
	for range 1 + sim.random.IntN(2) {
		image := sim.random.IntN(learnImages)
		length := float64(learnMedian) * sim.images[image] * sim.logNormal(0.3)
		if sim.drift && at.Sub(sim.start) >= learnTurns*learnTurn {
			length *= 2
		}
		s := csjob.Step{
			Tasks: 1 + sim.random.IntN(2*simTasksPerJob-1), Resources: csjob.Resources{CPU: simTaskCPU, Memory: simTaskMemory},
			Image: fmt.Sprint(image), TailLatency: time.Duration(length),
		}
		// A drift is one that nobody declares.
		declared := length
		if sim.drift && at.Sub(sim.start) >= learnTurns*learnTurn {
			declared /= 2
		}
		s.Estimate = time.Duration(declared * sim.logNormal(sim.declaredError))
		if len(steps) > 0 {
			s.After = []int{0}
		}
		lengths = append(lengths, sim.draw(s.Tasks, length))
		s.Speculative = sim.stopped != nil
		steps = append(steps, s)
	}
	j := job(fmt.Sprintf("%06d", len(sim.jobs)), at, steps...)
	j.AcceptIndex, j.Submission.Queue = csmodel.Index(len(sim.jobs)), testQueue.Key
	sim.jobs[j.Submission.ID] = j
	sim.lengths[j.Submission.ID] = lengths
	sim.active = append(sim.active, j)
}

// draw returns random run times of the tasks of a step.
func (sim *learnSim) draw(tasks int, typical float64) []time.Duration {
	out := make([]time.Duration, tasks)
	for i := range out {
		out[i] = time.Duration(typical * sim.logNormal(0.2))
		if sim.random.Float64() < learnTailShare && sim.tail {
			out[i] *= learnTailRatio
		}
	}
	return out
}

// deadline returns when a job is late.
func (sim *learnSim) deadline(j *csjob.Job) time.Time {
	path := time.Duration(0)
	for i := range j.Submission.Steps {
		path += typical(&j.Submission.Steps[i])
	}
	return j.Accepted.Add(testQueue.Objective + time.Duration(testQueue.Stretch*float64(path)))
}

func (sim *learnSim) endRuns(at time.Time) {
	slices.SortStableFunc(sim.runs, func(a, b learnRun) int { return a.ends.Compare(b.ends) })
	open := sim.runs[:0]
	for _, run := range sim.runs {
		step := run.job.Submission.Steps[run.key.Step]
		task := run.job.Task(run.key)
		switch {
		case task.Done: // another run ended first
			sim.stopped(step, at.Sub(run.since))
		case run.ends.After(at):
			open = append(open, run)
			continue
		default:
			task.Runs, task.Done = nil, true
			run.job.Begun[0].Remaining[run.key.Step]--
			sim.observe(step, run.took)
		}
		run.slot.Free = run.slot.Free.Add(step.Needs())
	}
	sim.runs = open
	unfinished := sim.active[:0]
	for _, j := range sim.active {
		if o := j.Begun[0]; o.Remaining[0] > 0 || o.Remaining[len(o.Remaining)-1] > 0 {
			unfinished = append(unfinished, j)
			continue
		}
		if lateness := at.Sub(sim.deadline(j)); lateness > 0 {
			sim.late += lateness
		} else {
			sim.onTime++
		}
	}
	sim.active = unfinished
}

func (sim *learnSim) startRuns(at time.Time) {
	work := Waiting(at, sim.Estimator, testQueue, sim.active)
	Sort(work)
	for _, p := range Place(work, sim.slots, func(csjob.TaskKey) bool { return false }) {
		p.Slot.Starting = 0 // targets confirm starts at once
		j := sim.jobs[p.Task.Job]
		step := j.Submission.Steps[p.Task.Step]
		sim.started++
		sim.errors += math.Abs(math.Log(float64(typical(&step)) / float64(sim.Duration(testQueue.Key, step))))
		took := sim.lengths[p.Task.Job][p.Task.Step][p.Task.Index]
		task := j.Task(p.Task)
		task.Attempts, task.Runs = 1, []csjob.Run{{Attempt: 1}}
		sim.runs = append(sim.runs, learnRun{simRun{p.Slot, j, p.Task, at.Add(took + simEndDelay)}, at, took})
	}
	if sim.stopped != nil {
		sim.copyRuns(at, work)
	}
}

// copyRuns starts copies of unusually long runs. A copy takes as long as an ordinary run.
func (sim *learnSim) copyRuns(at time.Time, work []Work) {
	predictor, _ := sim.Estimator.(Predictor)
	room := CopyRoom{Capacity: learnVMs * simVMCPU}
	for i := range work {
		for range work[i].Idle() {
			if !work[i].Late() {
				room.Waiting += work[i].Step.Needs().CPU
			}
		}
	}
	var long []LongRun
	for _, run := range sim.runs {
		if len(run.job.Task(run.key).Runs) == 2 {
			room.Copies += run.job.Submission.Steps[run.key.Step].Needs().CPU / 2 // the task is listed twice
			continue
		}
		p := predictor.Predict(testQueue.Key, &run.job.Submission.Steps[run.key.Step])
		deadline, expiry := Objective(predictor, testQueue, run.job, 0)
		long = append(long, LongRun{
			Job: run.job, Task: run.key, Target: run.slot.Incarnation.Target, Passed: at.Sub(run.since), Prediction: p,
			After: RemainingCriticalPath(predictor, run.job, 0) - p.Typical, Deadline: deadline, Expiry: expiry,
		})
	}
	for _, c := range PlaceCopies(at, long, sim.slots, room) {
		c.Slot.Starting = 0
		j := sim.jobs[c.Task.Job]
		task := j.Task(c.Task)
		task.Attempts, task.Runs = 2, append(task.Runs, csjob.Run{Attempt: 2})
		took := time.Duration(float64(typical(&j.Submission.Steps[c.Task.Step])) * math.Exp(0.2*sim.copied.NormFloat64()))
		sim.runs = append(sim.runs, learnRun{simRun{c.Slot, j, c.Task, at.Add(took + simEndDelay)}, at, took})
		sim.copies++
	}
}

// result is the outcome of a simulation.
type result struct {
	onTime   float64       // share of the jobs
	lateness time.Duration // mean of all jobs, zero for one on time
	err      float64       // mean deviation of the logarithm of predictions from that of the typical run time
	copies   int
}

func (sim *learnSim) run(seed uint64) result {
	sim.random, sim.copied = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	sim.start = time.Unix(1_800_000_000, 0)
	sim.jobs, sim.lengths = map[csjob.ID]*csjob.Job{}, map[csjob.ID][][]time.Duration{}
	for i := range learnVMs {
		sim.slots = append(sim.slots, slot(fmt.Sprint(i), simVMCPU, 1<<20))
	}
	mean := 0.0
	for i := range sim.images {
		sim.images[i] = sim.logNormal(sim.learnLoad.images)
		mean += sim.images[i] / learnImages
	}
	work := 1.5 * simTasksPerJob * float64(simTaskCPU) * learnMedian.Seconds() * mean // of a job
	next, end := sim.start, sim.start.Add(2*learnTurns*learnTurn)
	for at := sim.start; at.Before(end) || (len(sim.active) > 0 && at.Before(end.Add(time.Minute))); at = at.Add(learnTick) {
		for ; !next.After(at) && next.Before(end); sim.submit(at) {
			load := learnBusy
			if int(next.Sub(sim.start)/learnTurn)%2 == 1 {
				load = learnQuiet
			}
			if sim.drift && next.Sub(sim.start) >= learnTurns*learnTurn {
				load /= 2 // fewer and longer jobs
			}
			perSecond := load * learnVMs * float64(simVMCPU) / work
			next = next.Add(time.Duration(sim.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		sim.endRuns(at)
		sim.startRuns(at)
	}
	jobs := float64(len(sim.jobs))
	return result{float64(sim.onTime) / jobs, sim.late / time.Duration(len(sim.jobs)), sim.errors / float64(sim.started), sim.copies}
}
