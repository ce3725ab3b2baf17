package csstore

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csadmit"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

const (
	// refusalGrace is how long a new leader refuses no jobs. The same submission may be on its way from an earlier leader until its call
	// ends (jobTimeout), and a refusal says that the job never runs.
	refusalGrace = jobTimeout + 500*time.Millisecond
	// doubtTime is how long a submission whose outcome is unknown counts as being committed. Client accounts send it again for seconds.
	doubtTime = time.Minute
	// stateShare is the part of the memory of the process that the replicated state may take before jobs are refused.
	stateShare = 0.8
	// memoryRetry is when a client account may return to a store without memory. Jobs leave the state for seconds to minutes after their
	// end.
	memoryRetry = 2 * time.Second
	// refusalLogInterval is the time between two log lines about refusals of a pool.
	refusalLogInterval = time.Second
)

// admission refuses submissions on the leader. Use newAdmission.
type admission struct {
	refusals  *prometheus.CounterVec
	stateSize prometheus.Gauge

	mu       sync.Mutex
	since    time.Time              // when this store began to lead
	open     map[csjob.ID]int       // submissions that are being committed
	unlogged map[csmodel.PoolID]int // refusals since the last log line
	logged   map[csmodel.PoolID]*rate.Sometimes
}

func newAdmission(r prometheus.Registerer) *admission {
	a := &admission{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_refusals_total", Help: "Submissions that the leader refused, by reason.",
		}, []string{"reason"}),
		stateSize: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cowslipstream_jobs_bytes", Help: "Estimated memory of the jobs in the table, at the last submission.",
		}),
		open: map[csjob.ID]int{}, unlogged: map[csmodel.PoolID]int{}, logged: map[csmodel.PoolID]*rate.Sometimes{},
	}
	r.MustRegister(a.refusals, a.stateSize)
	for _, reason := range csadmit.Reasons {
		a.refusals.WithLabelValues(reason.String())
	}
	return a
}

// lead records the start of a term.
func (a *admission) lead(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.since = now
}

// begin records that a submission is being committed. It reports whether the job may be refused instead: it is not being committed by
// another call, and none of an earlier leader can still be. The caller must call end after it.
func (a *admission) begin(now time.Time, id csjob.ID) (refusable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[id]++
	return a.open[id] == 1 && !a.since.IsZero() && now.Sub(a.since) >= refusalGrace
}

func (a *admission) end(id csjob.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[id]--; a.open[id] <= 0 {
		delete(a.open, id)
	}
}

// record counts a refusal, and logs those of a pool at most once per refusalLogInterval.
func (a *admission) record(log *zap.Logger, pool csmodel.PoolID, id csjob.ID, d csadmit.Decision) {
	a.refusals.WithLabelValues(d.Reason.String()).Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unlogged[pool]++
	s := a.logged[pool]
	if s == nil {
		s = &rate.Sometimes{First: 1, Interval: refusalLogInterval}
		a.logged[pool] = s
	}
	s.Do(func() {
		log.Warn("jobs refused", zap.String("pool", string(pool)), zap.Int("jobs", a.unlogged[pool]), zap.String("job", string(id)),
			zap.String("reason", d.Reason.String()), zap.Duration("wait", d.Wait), zap.Duration("left", d.Left), zap.Duration("retry", d.Retry),
			zap.Duration("on_time", d.OnTime), zap.Int64("late", int64(d.Late)))
		a.unlogged[pool] = 0
	})
}

// submit commits a submission unless it is refused.
func (j *jobCall) submit(job csjob.Submission) csrpc.JobAnswer {
	s := j.store
	now := s.options.Clock.Now()
	refusable := s.admission.begin(now, j.id)
	if refusable {
		j.decision = s.decide(now, j.queue, job)
	}
	if j.decision.Reason == csadmit.None {
		a := j.propose(csjob.Command{Submit: &job})
		if a.Result == csrpc.ResultUnknown {
			s.options.Clock.AfterFunc(doubtTime, func() { s.admission.end(j.id) })
		} else {
			s.admission.end(j.id)
		}
		return a
	}
	s.admission.end(j.id)
	s.admission.record(s.log, j.queue.Pool, j.id, j.decision)
	if j.decision.Reason == csadmit.Memory {
		return csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: j.decision.Retry}
	}
	return csrpc.JobAnswer{Result: csrpc.ResultRefused, Retry: j.decision.Retry}
}

// decide decides whether a submission is refused. Another call may commit it between the last look at the table and begin, so an accepted
// job is looked for once more.
func (s *Store) decide(now time.Time, q csjob.Queue, job csjob.Submission) csadmit.Decision {
	known := false
	var size csmodel.Bytes
	replica{s}.View(func(t *csjob.Table) { known, size = t.Job(job.ID) != nil, t.Size() })
	s.admission.stateSize.Set(float64(size))
	switch limit := csmodel.Bytes(stateShare * float64(s.options.Memory)); {
	case known:
		return csadmit.Decision{}
	case limit > 0 && size >= limit:
		return csadmit.Decision{Reason: csadmit.Memory, Retry: memoryRetry}
	}
	a := s.leader.Admission()
	if a == nil {
		return csadmit.Decision{}
	}
	return csadmit.Decide(now, a.Backlog(q.Pool), q, job, a.Estimator)
}
