package csentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Reasons of refusals.
const (
	reasonLeader = "leader" // the leader found no account with the key
	reasonCached = "cached" // the leader refused the key shortly before
	reasonBusy   = "busy"   // too many requests with unproven keys were in progress
)

// refusalLines and refusalBurst bound the log lines on refused keys per second. A flood would otherwise take the processor time of the
// entry, and its lines would push others out of the log.
const (
	refusalLines = 5
	refusalBurst = 20
)

// refusals counts and logs requests that were refused because of their keys.
type refusals struct {
	total   *prometheus.CounterVec
	limit   *rate.Limiter
	omitted atomic.Int64 // log lines since the last one
}

func newRefusals(r prometheus.Registerer) *refusals {
	f := &refusals{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_key_refusals_total", Help: "Requests that were refused because of their keys, by reason.",
		}, []string{"reason"}),
		limit: rate.NewLimiter(refusalLines, refusalBurst),
	}
	for _, reason := range []string{reasonLeader, reasonCached, reasonBusy} {
		f.total.WithLabelValues(reason)
	}
	r.MustRegister(f.total)
	return f
}

// record counts a refusal and logs it. The key is not logged, only whether there is one.
func (f *refusals) record(log *zap.Logger, now time.Time, r csrpc.JobRequest, reason string) {
	f.total.WithLabelValues(reason).Inc()
	if !f.limit.AllowN(now, 1) {
		f.omitted.Add(1)
		return
	}
	log.Info("key refused", zap.String("host", r.Host), zap.String("path", r.Path), zap.Uint8("action", uint8(r.Action)),
		zap.String("reason", reason), zap.Bool("key", r.Key != ""), zap.Int64("omitted", f.omitted.Swap(0)))
}

// KnownRefused tells whether the leader refused the key of a request shortly before, so that a server need not read its body.
func (e *Entry) KnownRefused(r csrpc.JobRequest) bool {
	if !e.keys.knownRefused(r) {
		return false
	}
	e.requests.WithLabelValues(resultNames[csrpc.ResultUnauthorized]).Inc()
	e.refusals.record(e.log, e.options.Clock.Now(), r, reasonCached)
	return true
}

// doAdmitted passes a request on to the leader if the key gate admits it.
func (e *Entry) doAdmitted(ctx context.Context, started time.Time, r csrpc.JobRequest) csrpc.JobAnswer {
	leave, admission := e.keys.enter(ctx, r)
	defer leave()
	switch admission {
	case admitted:
	case refusedKey:
		e.refusals.record(e.log, started, r, reasonCached)
		return csrpc.JobAnswer{Result: csrpc.ResultUnauthorized}
	case refusedBusy:
		e.refusals.record(e.log, started, r, reasonBusy)
		return csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: unprovenRetry}
	}
	a := e.do(ctx, started, r)
	e.keys.learn(r, a)
	if a.Result == csrpc.ResultUnauthorized {
		e.refusals.record(e.log, started, r, reasonLeader)
	}
	return a
}
