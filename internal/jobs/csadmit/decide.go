package csadmit

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	// maxAge is the age from which a Backlog tells nothing. Rounds follow each other within 100 ms, unless the leader was interrupted.
	maxAge = time.Second
	// minRetry is the shortest time after which a refused client account may return. Shorter ones cannot be sent, because Retry-After counts
	// whole seconds.
	minRetry = time.Second
	// retryJitter is the part by which the times of refused client accounts differ either way.
	retryJitter = 0.25
)

// Reason tells why a job was refused.
type Reason uint8

// Reasons of a refusal. The zero value is none.
const (
	None        Reason = iota
	NoValue            // the job would have no value left even if it started at once
	TooLong            // it cannot start before its value is gone
	OutOfMemory        // the jobs take the memory of a store, or too much of it belongs to the owner of the job
	Busy               // the submissions that are being answered take the memory for calls
)

// Reasons lists the reasons of a refusal.
var Reasons = [...]Reason{NoValue, TooLong, OutOfMemory, Busy}

var reasonNames = [...]string{"none", "no_value", "backlog", "memory", "busy"}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the decision about a submission. The zero value accepts it.
type Decision struct {
	Reason Reason
	Retry  time.Duration    // after which a new job like this one would be accepted
	Wait   time.Duration    // lower bound of the time until the job could start
	Left   time.Duration    // time in which it would have to start to have value; negative if that is over
	OnTime time.Duration    // waiting on-time work of the pool, as the time that its capacity needs for it
	Late   csmodel.MilliCPU // CPU of the waiting late work of the pool
}

// Decide decides whether a job that is submitted now can still have value. A nil backlog, or one that is too old to tell, accepts the job,
// as does a pool without known targets.
func Decide(now time.Time, b *Backlog, q csjob.Queue, s csjob.Submission, e csplan.Estimator) Decision {
	if b == nil || b.Now <= 0 || now.Sub(b.At) > maxAge || !expires(q, s) {
		return Decision{}
	}
	p := csplan.ProspectOf(now, slowest{e}, q, s)
	age := now.Sub(b.At)
	need := leastCPU(s)
	d := Decision{Left: p.LastStart.Sub(now), Wait: max(0, b.start(p.OnTimeUntil.Sub(b.At), need)-age)}
	switch {
	case d.Left <= 0:
		d.Reason = NoValue
	case d.Wait > d.Left:
		d.Reason = TooLong
	default:
		return d
	}
	d.OnTime, d.Late = b.waitingOnTime(), b.Late
	// A job that is sent anew has all its time left.
	excess := b.start(0, need) - age - (d.Left + s.Waited)
	d.Retry = jittered(s.ID, max(minRetry, excess))
	return d
}

// slowest is an Estimator that predicts the longest run times that are likely. The longer a job runs, the longer it has value: its objective
// grows by more than its run time.
type slowest struct{ csplan.Estimator }

// Duration implements csplan.Estimator.
func (e slowest) Duration(q csjob.QueueKey, s csjob.Step) time.Duration {
	return time.Duration(float64(e.Estimator.Duration(q, s)) / certainShare)
}

// expires reports whether a job loses its value with time and needs CPU to start. Jobs of queues without an objective, long-running jobs
// and jobs with due times do not.
func expires(q csjob.Queue, s csjob.Submission) bool {
	return (q.Objective > 0 || q.Stretch > 0) && s.Repeats == 0 && s.First.IsZero() && !slices.ContainsFunc(s.Steps, func(t csjob.Step) bool {
		return t.LongRunning || t.Needs().CPU <= 0
	})
}

// leastCPU returns the least CPU that a task of the job needs.
func leastCPU(s csjob.Submission) csmodel.MilliCPU {
	least := s.Steps[0].Resources.CPU
	for i := range s.Steps {
		least = min(least, s.Steps[i].Resources.CPU)
	}
	return least
}

// jittered returns a time that is up to retryJitter longer or shorter, depending on the identifier of the job.
func jittered(id csjob.ID, d time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	spread := 2*float64(h.Sum32())/math.MaxUint32 - 1
	return time.Duration(float64(d) * (1 + retryJitter*spread))
}
