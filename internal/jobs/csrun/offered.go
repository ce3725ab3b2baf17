package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// OfferedLoadWindow is the averaging window of the offered load: shorter than the phases of demand, which last some
// seconds, and long enough for some tens of jobs.
const OfferedLoadWindow = time.Second

// offeredLoad measures the load that arriving jobs offer to each pool.
type offeredLoad struct {
	lastIndex csmodel.Index
	arrivals  []Arrival
	rates     map[csmodel.PoolID]csmodel.MilliCPU
	jobs      map[csmodel.PoolID]int
	makespans map[csmodel.PoolID]time.Duration // of the most recent jobs
}

// Arrival is an accepted batch job.
type Arrival struct {
	At           time.Time
	Pool         csmodel.PoolID
	Work         csmodel.MilliCPU // predicted work, in thousandths of a core times seconds
	CriticalPath time.Duration    // predicted makespan: time from the first start to the last end
}

// acceptedArrivals returns the batch jobs in the table, in order of acceptance.
func acceptedArrivals(t *csjob.Table, e csplan.Estimator) []Arrival {
	var out []Arrival
	for _, j := range t.Accepted() {
		if a := arrivalOf(j, t, e); a.Work > 0 {
			out = append(out, a)
		}
	}
	return out
}

func arrivalOf(j *csjob.Job, t *csjob.Table, e csplan.Estimator) Arrival {
	return Arrival{At: j.Accepted, Pool: t.QueueOf(j).Pool, Work: predictedWork(j, e), CriticalPath: csplan.CriticalPath(e, j)}
}

// update adds the jobs accepted since the last call and computes the rates over OfferedLoadWindow. It returns how many of these jobs are surplus.
func (o *offeredLoad) update(now time.Time, t *csjob.Table, e csplan.Estimator) (surplus int) {
	jobs := t.Active()
	first := len(jobs)
	for first > 0 && jobs[first-1].AcceptIndex > o.lastIndex {
		first--
	}
	for _, j := range jobs[first:] {
		o.lastIndex = j.AcceptIndex
		if j.Surplus {
			surplus++
		}
		if a := arrivalOf(j, t, e); a.Work > 0 {
			o.arrivals = append(o.arrivals, a)
		}
	}
	kept := o.arrivals[:0]
	o.rates, o.jobs = map[csmodel.PoolID]csmodel.MilliCPU{}, map[csmodel.PoolID]int{}
	for _, a := range o.arrivals {
		if now.Sub(a.At) < OfferedLoadWindow {
			kept = append(kept, a)
			o.jobs[a.Pool]++
			o.rates[a.Pool] += csmodel.MilliCPU(float64(a.Work) / OfferedLoadWindow.Seconds())
		}
	}
	o.arrivals = kept
	o.updateMakespans()
	return surplus
}

// updateMakespans sets the makespan of each pool to the mean of its recent jobs, weighted by work. A pool without arrivals
// keeps its last makespan.
func (o *offeredLoad) updateMakespans() {
	if o.makespans == nil {
		o.makespans = map[csmodel.PoolID]time.Duration{}
	}
	work, weighted := map[csmodel.PoolID]float64{}, map[csmodel.PoolID]float64{}
	for _, a := range o.arrivals {
		work[a.Pool] += float64(a.Work)
		weighted[a.Pool] += float64(a.Work) * float64(a.CriticalPath)
	}
	for pool, sum := range work {
		o.makespans[pool] = time.Duration(weighted[pool] / sum)
	}
}

// predictedWork returns how much CPU the batch tasks of a job are predicted to occupy, in thousandths of a core times seconds. A task keeps its
// CPU from others for the delays of its step as well.
func predictedWork(j *csjob.Job, e csplan.Estimator) csmodel.MilliCPU {
	var sum float64
	delays := e.Delays()
	for _, s := range j.Submission.Steps {
		if !s.LongRunning {
			occupied := meanDuration(e, j.Submission.Queue, &s) + delays.Start + delays.End
			sum += float64(s.Tasks) * float64(s.Resources.CPU) * occupied.Seconds()
		}
	}
	return csmodel.MilliCPU(sum)
}

// meanDuration returns the mean run time of a step. The estimator's Duration leaves out unusually long runs, which are work nevertheless.
func meanDuration(e csplan.Estimator, q csjob.QueueKey, s *csjob.Step) time.Duration {
	if p, ok := e.(csplan.Predictor); ok {
		return p.Predict(q, s).Mean
	}
	return e.Duration(q, *s)
}
