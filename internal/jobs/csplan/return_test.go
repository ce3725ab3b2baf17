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

const (
	returnVMs    = 60
	returnTasks  = 8  // of a step, on average
	returnSteps  = .6 // share of jobs with a second step
	returnLength = 5 * time.Second
	returnNoise  = 0.35 // standard deviation of the logarithm of a run time
	returnPolls  = 60 * time.Millisecond
)

// returns simulates a pool that is overloaded from the first moment on: clients that were refused for a while come back
// together, and new ones go on arriving. Declared run times tell nothing.
type returns struct {
	offered float64       // work that arrives, relative to the capacity
	outage  time.Duration // its work comes back at the start
	random  *rand.Rand
	start   time.Time

	slots  []*Slot
	active []*csjob.Job
	runs   []burstRun
	median map[csjob.ID]time.Duration // of the actual run times of a job
	chain  map[csjob.ID][2]time.Duration
	jobs   int
	onTime int
}

func (b *returns) normal(deviation float64) float64 {
	return math.Exp(deviation * b.random.NormFloat64())
}

// perSecond returns the number of jobs that arrive in a second.
func (b *returns) perSecond() float64 {
	work := (1 + returnSteps) * returnTasks * float64(burstCPU) * returnDuration.Seconds() * math.Exp(returnNoise*returnNoise/2)
	return b.offered * returnVMs * float64(burstVM) / work
}

const returnDuration = 640 * time.Millisecond

func (b *returns) add(at time.Time, waited time.Duration) {
	b.jobs++
	step := func() csjob.Step {
		return csjob.Step{
			Tasks: 1 + b.random.IntN(2*returnTasks-1), Room: csjob.Room{CPU: burstCPU, Memory: burstMemory}, Estimate: returnDuration,
		}
	}
	steps := []csjob.Step{step()}
	if b.random.Float64() < returnSteps {
		second := step()
		second.After = []int{0}
		steps = append(steps, second)
	}
	j := job(fmt.Sprintf("%06d", b.jobs), at, steps...)
	j.Order = csmodel.Index(b.jobs)
	j.Submission.Waited = waited
	b.median[j.Submission.ID] = time.Duration(float64(returnDuration) * b.normal(0.3))
	b.active = append(b.active, j)
}

// end takes in the runs that have ended, and counts the jobs that are done.
func (b *returns) end(at time.Time) {
	kept := b.runs[:0]
	for _, o := range b.runs {
		if o.ends.After(at) {
			kept = append(kept, o)
			continue
		}
		o.slot.Free = o.slot.Free.Add(o.job.Submission.Steps[o.key.Step].Needs())
		k := o.job.Task(o.key)
		k.Runs, k.Done = nil, true
		o.job.Left[0][o.key.Step]--
	}
	b.runs = kept
	open := b.active[:0]
	for _, j := range b.active {
		if j.Left[0][0] > 0 || (len(j.Left[0]) > 1 && j.Left[0][1] > 0) {
			open = append(open, j)
			continue
		}
		c := b.chain[j.Submission.ID]
		limit := testQueue.Objective + time.Duration(testQueue.Stretch*float64(c[0]+c[1]))
		if at.Add(returnPolls).Sub(j.Asked()) <= limit {
			b.onTime++
		}
	}
	b.active = open
}

func (b *returns) begin(at time.Time) {
	byID := map[csjob.ID]*csjob.Job{}
	for _, j := range b.active {
		byID[j.Submission.ID] = j
	}
	for _, p := range plan(at, b.slots, b.active...) {
		j := byID[p.Task.Job]
		d := time.Duration(float64(b.median[p.Task.Job]) * b.normal(returnNoise))
		c := b.chain[p.Task.Job]
		c[p.Task.Step] = max(c[p.Task.Step], d)
		b.chain[p.Task.Job] = c
		k := j.Task(p.Task)
		k.Attempts, k.Runs = 1, []csjob.Run{{Attempt: 1}}
		b.runs = append(b.runs, burstRun{p.Slot, j, p.Task, at.Add(d + burstLook)})
	}
}

// play returns the share of jobs that were done on time.
func (b *returns) play() float64 {
	b.median, b.chain = map[csjob.ID]time.Duration{}, map[csjob.ID][2]time.Duration{}
	b.start = time.Unix(1_800_000_000, 0)
	for i := range returnVMs {
		b.slots = append(b.slots, slot(fmt.Sprint(i), burstVM, 1<<20))
	}
	for range int(b.outage.Seconds() * b.perSecond()) {
		b.add(b.start, time.Duration(b.random.Float64()*float64(b.outage)))
	}
	gap := func() time.Duration {
		return time.Duration(b.random.ExpFloat64() / b.perSecond() * float64(time.Second))
	}
	next := b.start.Add(gap())
	for at := b.start; at.Before(b.start.Add(returnLength + 4*time.Second)); at = at.Add(burstTick) {
		for ; !next.After(at) && next.Before(b.start.Add(returnLength)); next = next.Add(gap()) {
			b.add(next, 0)
		}
		b.end(at)
		b.begin(at)
	}
	return float64(b.onTime) / float64(b.jobs)
}

// Pattern: after a second without a leader in a busy phase the refused clients come back together with new ones, more than the
// pool holds, and run times are known roughly. At least three quarters of what the capacity allows are on time; jobs that were
// begun at the last moment all ended a little late.
func TestReturningClientsAreServedWhereItFits(t *testing.T) {
	const seeds = 4
	for _, offered := range []float64{0.8, 1.1, 1.4, 2} {
		t.Run(fmt.Sprintf("%.1f", offered), func(t *testing.T) {
			t.Parallel()
			sum := 0.0
			for seed := range uint64(seeds) {
				b := returns{offered: offered, outage: time.Second, random: rand.New(rand.NewPCG(seed, 1))}
				sum += b.play() / seeds
			}
			// The work of the outage and of the busy phase meets the capacity of the phase and of the time that jobs may wait.
			fits := min(1, (returnLength+time.Second).Seconds()/(offered*(returnLength+time.Second).Seconds()))
			t.Logf("on time %.2f of %.2f", sum, fits)
			if want := 0.75 * fits; sum < want {
				t.Errorf("got %.2f of the jobs on time, want %.2f", sum, want)
			}
		})
	}
}
