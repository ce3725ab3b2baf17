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
	// refusalLogInterval is the time between two log lines about refusals of a pool.
	refusalLogInterval = time.Second
)

// admission refuses submissions on the leader. Use newAdmission.
//
// A submission takes three things in turn, and returns them when its call ends: memory for the call (enter, leave), memory for the job (reserve,
// release), and a place among those that are being committed (begin, end).
type admission struct {
	limits    limits
	refusals  *prometheus.CounterVec
	stateSize prometheus.Gauge

	mu       sync.Mutex
	calls    csmodel.Bytes                 // of submissions that are being answered
	pending  csmodel.Bytes                 // that jobs and cancellations which are being committed will take
	owners   map[csjob.Owner]csmodel.Bytes // the parts of pending
	freeRate csadmit.FreeRate
	since    time.Time              // when this store began to lead
	open     map[csjob.ID]int       // submissions that are being committed
	unlogged map[csmodel.PoolID]int // refusals since the last log line
	logged   map[csmodel.PoolID]*rate.Sometimes
}

func newAdmission(r prometheus.Registerer, l limits) *admission {
	a := &admission{
		limits: l, owners: map[csjob.Owner]csmodel.Bytes{},
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_refusals_total", Help: "Submissions that the leader refused, by reason.",
		}, []string{"reason"}),
		stateSize: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cowslipstream_jobs_bytes", Help: "Estimated memory of the jobs in the table, with that of their tasks that have not begun, at the last submission.",
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

// enter reserves memory for a submission while it is decoded and answered. It reports whether there was any; if so, the caller must call
// leave after it.
func (a *admission) enter(cost csmodel.Bytes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limits.calls
	if cost > smallCall {
		limit -= csmodel.Bytes(smallShare * float64(limit))
	}
	// A single submission is always answered.
	if a.limits.calls > 0 && a.calls > 0 && a.calls+cost > limit {
		return false
	}
	a.calls += cost
	return true
}

func (a *admission) leave(cost csmodel.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls -= cost
}

// reserve counts a job or a cancellation from before the decision about it until it is in the table or refused. The caller must call
// release after it.
func (a *admission) reserve(o csjob.Owner, need csmodel.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending += need
	a.owners[o] += need
}

func (a *admission) release(o csjob.Owner, need csmodel.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending -= need
	if a.owners[o] -= need; a.owners[o] <= 0 {
		delete(a.owners, o)
	}
}

// decideMemory decides whether there is memory for what was reserved for an owner before. The sizes are those of the table.
func (a *admission) decideMemory(now time.Time, id csjob.ID, o csjob.Owner, need csmodel.Bytes, sizes tableSizes) csadmit.Decision {
	a.stateSize.Set(float64(sizes.used))
	a.mu.Lock()
	defer a.mu.Unlock()
	m := csadmit.Memory{
		Limit: a.limits.jobs, Used: sizes.used + a.pending - need, Owned: sizes.owned + a.owners[o] - need,
		Rate: a.freeRate.Update(now, sizes.freed),
	}
	return m.Decide(id, need)
}

// tableSizes is the memory that jobs may come to take.
type tableSizes struct {
	used, owned csmodel.Bytes // by all owners and by one of them
	freed       csmodel.Bytes // since the start of the process
}

func sizesOf(t *csjob.Table, o csjob.Owner) tableSizes {
	return tableSizes{used: t.Footprint().Total(), owned: t.FootprintOf(o).Total(), freed: t.Freed()}
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
	owner, need := job.Owner(), job.Footprint().Total()
	s.admission.reserve(owner, need)
	defer s.admission.release(owner, need)
	refusable := s.admission.begin(now, j.id)
	j.decision = s.decide(now, j.queue, job, need, refusable)
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
	switch {
	case !refusable:
		return csrpc.JobAnswer{Result: csrpc.ResultUnknown} // an earlier submission of the job may still be committed
	case j.decision.Reason == csadmit.OutOfMemory:
		return csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: j.decision.Retry}
	default:
		return csrpc.JobAnswer{Result: csrpc.ResultRefused, Retry: j.decision.Retry}
	}
}

// cancel commits a cancellation. That of an unknown job takes memory, so it may be refused.
func (j *jobCall) cancel() csrpc.JobAnswer {
	s := j.store
	ref := csjob.JobRef{Queue: j.queue.Key, ID: j.id, Account: j.account}
	if !j.known {
		need := ref.Footprint().Total()
		s.admission.reserve(csjob.Owner{}, need)
		defer s.admission.release(csjob.Owner{}, need)
		var sizes tableSizes
		replica{s}.View(func(t *csjob.Table) { sizes = sizesOf(t, csjob.Owner{}) })
		j.decision = s.admission.decideMemory(s.options.Clock.Now(), j.id, csjob.Owner{}, need, sizes)
		if j.decision.Reason != csadmit.None {
			s.admission.record(s.log, j.queue.Pool, j.id, j.decision)
			return csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: j.decision.Retry}
		}
	}
	return j.propose(csjob.Command{Cancel: &ref})
}

// undecoded is what a store knows of a submission before it is decoded.
type undecoded struct {
	id    csjob.ID
	queue csjob.Queue
	owner csjob.Owner
	sizes tableSizes
	// isNew is set if this store leads, the request may submit jobs to the queue, and the job is not known.
	isNew bool
}

func (s *Store) lookAhead(h csrpc.JobHead) undecoded {
	var u undecoded
	leading := s.group.Status().Leading
	replica{s}.View(func(t *csjob.Table) {
		q := t.Route(h.Host, h.Path)
		if q == nil {
			return
		}
		j := jobCall{request: csrpc.JobRequest{Key: h.Key}}
		j.checkKey(t, q)
		u.queue, u.id = *q, csjob.ID(h.Path[len(q.Key.Prefix):])
		u.owner = (&csjob.Submission{Queue: q.Key, Account: j.owner()}).Owner()
		u.sizes = sizesOf(t, u.owner)
		u.isNew = leading && j.check != csjob.KeyUnknown && len(u.id) == idLength && t.Job(u.id) == nil
	})
	return u
}

// enter reserves memory for a submission while it is decoded and answered. Without it, or if its owner has no memory for a job of as many
// steps, it returns the answer and false. Otherwise the caller must call admission.leave.
func (s *Store) enter(from csmodel.NodeID, h csrpc.JobHead, cost csmodel.Bytes) (csrpc.JobAnswer, bool) {
	u := s.lookAhead(h)
	now := s.options.Clock.Now()
	refusable := false
	var d csadmit.Decision
	if u.isNew {
		refusable = s.admission.begin(now, u.id)
		defer s.admission.end(u.id)
	}
	if refusable {
		need := csjob.LeastFootprint(h.Steps).Total()
		s.admission.reserve(u.owner, need)
		d = s.admission.decideMemory(now, u.id, u.owner, need, u.sizes)
		s.admission.release(u.owner, need)
	}
	if d.Reason == csadmit.None && !s.admission.enter(cost) {
		d = csadmit.DecideBusy(u.id)
	}
	if d.Reason == csadmit.None {
		return csrpc.JobAnswer{}, true
	}
	a := csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: d.Retry}
	if !refusable {
		a = csrpc.JobAnswer{Result: csrpc.ResultUnknown} // the job may be known, or be committed by another call
	}
	s.admission.record(s.log, u.queue.Pool, u.id, d)
	s.log.Info("job request", zap.String("job", string(u.id)), zap.Uint8("action", uint8(h.Action)), zap.String("entry", string(from)),
		zap.String("queue", u.queue.Name), zap.String("account", string(u.owner.Account)), zap.Uint8("result", uint8(a.Result)),
		zap.String("refused", d.Reason.String()))
	return a, false
}

// decide decides whether a submission is refused, for which need bytes are reserved. Another call may commit it between the last look at the
// table and begin, so an accepted job is looked for once more. One that is not refusable is only kept from a store without memory.
func (s *Store) decide(now time.Time, q csjob.Queue, job csjob.Submission, need csmodel.Bytes, refusable bool) csadmit.Decision {
	known := false
	var sizes tableSizes
	replica{s}.View(func(t *csjob.Table) { known, sizes = t.Job(job.ID) != nil, sizesOf(t, job.Owner()) })
	if known {
		return csadmit.Decision{}
	}
	d := s.admission.decideMemory(now, job.ID, job.Owner(), need, sizes)
	if d.Reason != csadmit.None || !refusable {
		return d
	}
	a := s.leader.Admission()
	if a == nil {
		return csadmit.Decision{}
	}
	return csadmit.Decide(now, a.Backlog(q.Pool), q, job, a.Estimator)
}
