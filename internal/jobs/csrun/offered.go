package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// OfferedWindow is the time over which arriving work is averaged: short against the phases of demand, which last some
// seconds, and long enough for some tens of jobs.
const OfferedWindow = time.Second

// offered measures the work that arrives at each pool.
type offered struct {
	last     csmodel.Index
	arrivals []Arrival
	rates    map[csmodel.PoolID]csmodel.MilliCPU
	jobs     map[csmodel.PoolID]int
	spans    map[csmodel.PoolID]time.Duration // of the latest jobs of each pool
}

// Arrival is an accepted job whose tasks end by themselves.
type Arrival struct {
	At   time.Time
	Pool csmodel.PoolID
	Work csmodel.MilliCPU // thousandths of a core times seconds
	Span time.Duration    // predicted time from the first start to the last end
}

// arrivals returns the jobs that the table still knows and that end by themselves, in order of acceptance.
func arrivals(t *csjob.Table, e csplan.Estimator) []Arrival {
	var out []Arrival
	for _, j := range t.Accepted() {
		if a := arrivalOf(j, t, e); a.Work > 0 {
			out = append(out, a)
		}
	}
	return out
}

func arrivalOf(j *csjob.Job, t *csjob.Table, e csplan.Estimator) Arrival {
	return Arrival{At: j.Accepted, Pool: t.QueueOf(j).Pool, Work: workOf(j, e), Span: csplan.Whole(e, j)}
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
		if a := arrivalOf(j, t, e); a.Work > 0 {
			o.arrivals = append(o.arrivals, a)
		}
	}
	kept := o.arrivals[:0]
	o.rates, o.jobs = map[csmodel.PoolID]csmodel.MilliCPU{}, map[csmodel.PoolID]int{}
	for _, a := range o.arrivals {
		if now.Sub(a.At) < OfferedWindow {
			kept = append(kept, a)
			o.jobs[a.Pool]++
			o.rates[a.Pool] += csmodel.MilliCPU(float64(a.Work) / OfferedWindow.Seconds())
		}
	}
	o.arrivals = kept
	o.measureSpans()
}

// measureSpans averages the spans of the jobs of each pool by their work. A pool to which nothing arrives keeps its last one.
func (o *offered) measureSpans() {
	if o.spans == nil {
		o.spans = map[csmodel.PoolID]time.Duration{}
	}
	work, products := map[csmodel.PoolID]float64{}, map[csmodel.PoolID]float64{}
	for _, a := range o.arrivals {
		work[a.Pool] += float64(a.Work)
		products[a.Pool] += float64(a.Work) * float64(a.Span)
	}
	for pool, sum := range work {
		o.spans[pool] = time.Duration(products[pool] / sum)
	}
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
