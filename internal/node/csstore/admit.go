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
)

const (
	// refusalGrace is how long a new leader refuses no jobs, except that it answers nothing certain (504) where there is no memory. The same
	// submission may be on its way from an earlier leader until its call ends (jobTimeout), and a refusal says that the job never runs.
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
