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

// burst simulates one pool under a virtual clock: jobs of one step arrive at random, ends are seen with a delay.
type burst struct {
	vms      int
	offered  float64 // work that arrives, relative to the capacity
	length   time.Duration
	duration time.Duration // median of a task
	noise    float64       // standard deviation of the logarithm of a run time
	seed     uint64
}

const (
	burstTick   = 20 * time.Millisecond
	burstLook   = 120 * time.Millisecond // from an end until it is seen and committed
	burstTasks  = 6                      // of a job, on average
	burstCPU    = csmodel.MilliCPU(1800)
	burstVM     = csmodel.MilliCPU(32000)
	burstMemory = csjob.MiB(1)
)

type burstRun struct {
	slot *Slot
	job  *csjob.Job
	key  csjob.TaskKey
	ends time.Time
}

// play returns the shares of jobs that were done on time, and of jobs that were begun without being done on time.
func (b burst) play() (onTime, wasted float64) {
	r := rand.New(rand.NewPCG(b.seed, 1))
	start := time.Unix(1_800_000_000, 0)
	var slots []*Slot
	for i := range b.vms {
		slots = append(slots, slot(fmt.Sprint(i), burstVM, 1<<20))
	}
	perSecond := b.offered * float64(b.vms) * float64(burstVM) / (burstTasks * float64(burstCPU) * b.duration.Seconds() * math.Exp(b.noise*b.noise/2))
	gap := func() time.Duration { return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)) }
	next := start.Add(gap())
	longest := map[csjob.ID]time.Duration{}
	var active []*csjob.Job
	var runs []burstRun
	all, good, begun := 0, 0, 0
	for at := start; at.Before(start.Add(b.length + 3*time.Second)); at = at.Add(burstTick) {
		for ; !next.After(at) && next.Before(start.Add(b.length)); next = next.Add(gap()) {
			all++
			j := job(fmt.Sprintf("%06d", all), at, csjob.Step{
				Tasks: 1 + r.IntN(2*burstTasks-1), Room: csjob.Room{CPU: burstCPU, Memory: burstMemory}, Estimate: b.duration,
			})
			j.Order = csmodel.Index(all)
			active = append(active, j)
		}
		kept := runs[:0]
		for _, o := range runs {
			if o.ends.After(at) {
				kept = append(kept, o)
				continue
			}
			o.slot.Free = o.slot.Free.Add(o.job.Submission.Steps[0].Needs())
			k := o.job.Task(o.key)
			k.Runs, k.Done = nil, true
			o.job.Left[0][0]--
		}
		runs = kept
		open := active[:0]
		for _, j := range active {
			if j.Left[0][0] > 0 {
				open = append(open, j)
				continue
			}
			limit := testQueue.Objective + time.Duration(testQueue.Stretch*float64(longest[j.Submission.ID]))
			if at.Sub(j.Accepted) <= limit {
				good++
			}
		}
		active = open
		for _, o := range slots {
			o.reserved = false
		}
		for _, p := range plan(at, slots, active...) {
			j := active[0]
			for _, o := range active {
				if o.Submission.ID == p.Task.Job {
					j = o
				}
			}
			d := time.Duration(float64(b.duration) * math.Exp(b.noise*r.NormFloat64()))
			if longest[p.Task.Job] == 0 && !lateNow(at, j) {
				begun++
			}
			longest[p.Task.Job] = max(longest[p.Task.Job], d)
			k := j.Task(p.Task)
			k.Attempts, k.Runs = 1, []csjob.Run{{Attempt: 1}}
			runs = append(runs, burstRun{p.Slot, j, p.Task, at.Add(d + burstLook)})
		}
	}
	return float64(good) / float64(all), float64(max(0, begun-good)) / float64(max(1, begun))
}

// lateNow tells whether a job that has not begun would be late.
func lateNow(now time.Time, j *csjob.Job) bool {
	work := Waiting(now, &Learned{}, testQueue, []*csjob.Job{j})
	return len(work) == 0 || work[0].Late()
}

// Pattern: more work arrives for some seconds than a pool holds. Jobs that are begun have to be done on time, so that the
// capacity is not spent on many jobs that all end a little late: at least three quarters of what the capacity allows.
func TestOverloadServesWhatFits(t *testing.T) {
	for _, offered := range []float64{0.8, 1.2, 1.6, 2.5} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%.1f/%d", offered, seed), func(t *testing.T) {
				t.Parallel()
				b := burst{vms: 10, offered: offered, length: 6 * time.Second, duration: 640 * time.Millisecond, noise: 0.35, seed: seed}
				onTime, wasted := b.play()
				t.Logf("on time %.2f of %.2f, begun in vain %.2f", onTime, min(1, 1/offered), wasted)
				if want := 0.75 * min(1, 1/offered); onTime < want {
					t.Errorf("got %.2f of the jobs on time, want %.2f", onTime, want)
				}
				if wasted > 0.25 {
					t.Errorf("got %.2f of the jobs begun in vain, want at most 0.25", wasted)
				}
			})
		}
	}
}
