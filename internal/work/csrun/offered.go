package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/work/csjob"
	"cowslipstream.example/cowslipstream/internal/work/csplan"
)

// offeredWindow is the time over which arriving work is averaged: short against the phases of demand, which last some
// seconds, and long enough for some tens of jobs.
const offeredWindow = time.Second

// offered measures the work that arrives at each pool.
type offered struct {
	last     csmodel.Index
	arrivals []arrival
	rates    map[csmodel.PoolID]csmodel.MilliCPU
}

type arrival struct {
	at   time.Time
	pool csmodel.PoolID
	work csmodel.MilliCPU // thousandths of a core times seconds
}

// observe takes in the jobs that were accepted since the last call.
func (o *offered) observe(now time.Time, t *csjob.Table, e csplan.Estimator) {
	jobs := t.Active()
	first := len(jobs)
	for first > 0 && jobs[first-1].Order > o.last {
		first--
	}
	for _, j := range jobs[first:] {
		o.last = j.Order
		o.arrivals = append(o.arrivals, arrival{at: j.Accepted, pool: t.QueueOf(j).Pool, work: workOf(j, e)})
	}
	kept := o.arrivals[:0]
	o.rates = map[csmodel.PoolID]csmodel.MilliCPU{}
	for _, a := range o.arrivals {
		if now.Sub(a.at) < offeredWindow {
			kept = append(kept, a)
			o.rates[a.pool] += csmodel.MilliCPU(float64(a.work) / offeredWindow.Seconds())
		}
	}
	o.arrivals = kept
}

// workOf returns the predicted work of a job that ends by itself.
func workOf(j *csjob.Job, e csplan.Estimator) csmodel.MilliCPU {
	var sum float64
	for _, s := range j.Submission.Steps {
		if !s.Lasting {
			sum += float64(s.Tasks) * float64(s.Room.CPU) * e.Duration(j.Submission.Queue, s).Seconds()
		}
	}
	return csmodel.MilliCPU(sum)
}
