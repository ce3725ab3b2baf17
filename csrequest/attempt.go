package csrequest

import (
	"slices"
	"strconv"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxFailures = 3 // attempts of an idempotent request that may fail after sending
	maxRefusals = 8 // attempts that may end before they start
	// linger is the time after the caller's timeout in which the outcome of an attempt is still stored for its key.
	linger = 30 * time.Second
	// lingerMargin lets the dispatch report its own timeout first.
	lingerMargin = time.Second
)

func (r *Router) pumpAll(now time.Time) {
	for _, name := range csmodel.SortedKeys(r.pools) {
		r.pump(now, r.pools[name])
	}
}

// pump dispatches queued requests while there are free slots.
func (r *Router) pump(now time.Time, p *pool) {
	for {
		req := p.queue.head()
		if req == nil {
			return
		}
		if !now.Before(req.deadline) {
			r.end(req, ReasonTimeout)
			continue
		}
		t := p.pick(now, r.config.Zone, req)
		if t == nil {
			return
		}
		p.queue.take(req)
		r.dispatch(now, req, t)
	}
}

func (r *Router) dispatch(now time.Time, req *request, t *target) {
	r.sequence++
	a := &attempt{
		id:      csmodel.AttemptID(r.prefix + strconv.FormatUint(r.sequence, keyBase)),
		request: req,
		target:  t,
		started: now,
	}
	r.attempts[a.id] = a
	req.attempts = append(req.attempts, a)
	req.state = running
	t.busy++
	req.pool.busy++
	r.stats.Attempts++
	left := req.deadline.Sub(now)
	limit := left
	if !req.idempotent {
		limit += linger
	}
	a.until = now.Add(limit + lingerMargin)
	r.after(a.until, req.id, timerLinger)
	if p95, ok := req.job.p95(); ok && req.idempotent && !req.hedged && p95 < left {
		r.after(now.Add(p95), req.id, timerHedge)
	}
	r.emit(Dispatch{
		Attempt:     a.id,
		Request:     req.id,
		Job:         req.job.config.Name,
		Target:      t.lease.Target,
		Incarnation: t.lease.Incarnation,
		Address:     t.lease.Address,
		Connections: t.lease.Connections,
		Timeout:     left,
		Limit:       limit,
	})
}

// close ends an attempt. Its later events are ignored.
func (r *Router) close(a *attempt) {
	delete(r.attempts, a.id)
	a.target.busy--
	a.request.pool.busy--
	if i := slices.Index(a.request.attempts, a); i >= 0 {
		a.request.attempts = slices.Delete(a.request.attempts, i, i+1)
	}
}

// open returns the attempt of an event, unless it is closed.
func (r *Router) open(id csmodel.AttemptID) *attempt {
	a, ok := r.attempts[id]
	if !ok {
		r.stats.Late++
	}
	return a
}

func (r *Router) answered(now time.Time, e AttemptAnswered) {
	a := r.open(e.Attempt)
	if a == nil {
		return
	}
	req := a.request
	latency := now.Sub(a.started)
	a.target.answered(now, latency, req.job.mean)
	req.job.observe(now, latency)
	req.pool.mean = average(req.pool.mean, latency)
	r.close(a)
	r.finish(req, verdict{outcome: Answered, answer: e.Answer})
	r.freed(now, req.pool)
}

func (r *Router) refused(now time.Time, e AttemptRefused) {
	a := r.open(e.Attempt)
	if a == nil {
		return
	}
	if e.Full {
		a.target.pause(now.Add(fullPause))
		a.target.cut(now, slowCut)
	} else {
		a.target.pause(now.Add(refusedPause))
	}
	r.notStarted(now, a, ReasonRefused)
}

func (r *Router) failed(now time.Time, e AttemptFailed) {
	a := r.open(e.Attempt)
	if a == nil {
		return
	}
	a.target.failed(now)
	if a.target.lease.Probe {
		a.target.pause(a.target.lease.Until) // a failed probe is not repeated before the home node knows
	}
	if !e.Sent {
		a.target.pause(now.Add(refusedPause))
		r.notStarted(now, a, ReasonTarget)
		return
	}
	req := a.request
	r.close(a)
	req.sent = true
	req.failures++
	req.tried = append(req.tried, a.target.lease.Target)
	switch {
	case len(req.attempts) > 0:
		// The other attempt decides.
	case req.idempotent && !req.replied && req.failures < maxFailures && r.spend():
		r.stats.Retries++
		r.enqueue(now, req)
	default:
		r.end(req, ReasonTarget)
	}
	r.freed(now, req.pool)
}

// notStarted handles an attempt that did not start. The request may go to another target.
func (r *Router) notStarted(now time.Time, a *attempt, reason Reason) {
	req := a.request
	r.close(a)
	req.refusals++
	switch {
	case len(req.attempts) > 0:
		// The other attempt decides.
	case req.replied || req.refusals > maxRefusals:
		r.end(req, reason)
	default:
		r.enqueue(now, req)
	}
	r.freed(now, req.pool)
}

// gaveUp fails the attempts whose dispatch did not report in time.
func (r *Router) gaveUp(now time.Time, req *request) {
	for _, a := range slices.Clone(req.attempts) {
		if !now.Before(a.until) {
			r.failed(now, AttemptFailed{Attempt: a.id, Sent: true})
		}
	}
}

// hedge sends a second attempt of an idempotent request that takes unusually long, while no other request waits.
func (r *Router) hedge(now time.Time, req *request) {
	if req.hedged || req.replied || len(req.attempts) != 1 || req.pool.queue.length > 0 {
		return
	}
	t := req.pool.pick(now, r.config.Zone, req)
	if t == nil || req.triedOn(t) > 0 || !r.spend() {
		return
	}
	req.hedged = true
	r.stats.Hedges++
	r.dispatch(now, req, t)
}

// spend takes one retry or hedge from the budget.
func (r *Router) spend() bool {
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

// freed uses a slot that became free.
func (r *Router) freed(now time.Time, p *pool) {
	r.pump(now, p)
	r.updateDemand(now, p)
}
