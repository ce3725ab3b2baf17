package csrequest

import (
	"slices"
	"strconv"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxFailures = 3 // an idempotent request ends after this many attempts that failed after sending
	maxRefusals = 8 // attempts of a request that may end before they start
	// attemptGracePeriod is the time after the caller's deadline during which the outcome of an attempt of a request
	// that is not idempotent is still stored for its key.
	attemptGracePeriod = 30 * time.Second
	// reportMargin is added to the limit of an attempt, so that the dispatcher can report its own timeout first.
	reportMargin = time.Second
)

func (r *Router) dispatchAllQueued(now time.Time) {
	for _, name := range csmodel.SortedKeys(r.pools) {
		r.dispatchQueued(now, r.pools[name])
	}
}

// dispatchQueued dispatches queued requests while a target is available.
func (r *Router) dispatchQueued(now time.Time, p *pool) {
	for {
		req := p.queue.head()
		if req == nil {
			return
		}
		if !now.Before(req.deadline) {
			r.finishUnanswered(req, ReasonTimeout)
			continue
		}
		t := p.pickTarget(now, r.config.Zone, req)
		if t == nil {
			return
		}
		p.queue.take(req)
		r.dispatch(now, req, t)
	}
}

// dispatch starts an attempt of a request on a target.
func (r *Router) dispatch(now time.Time, req *request, t *target) {
	r.sequence++
	a := &attempt{
		id:      csmodel.AttemptID(r.attemptPrefix + strconv.FormatUint(r.sequence, keyBase)),
		request: req,
		target:  t,
		started: now,
	}
	r.attempts[a.id] = a
	req.attempts = append(req.attempts, a)
	req.state = stateRunning
	t.busy++
	req.pool.busy++
	r.stats.Attempts++
	remaining := req.deadline.Sub(now)
	limit := remaining
	if !req.idempotent {
		limit += attemptGracePeriod
	}
	a.reportDue = now.Add(limit + reportMargin)
	r.startTimer(a.reportDue, req.id, timerAttemptOverdue)
	if p95, ok := req.job.p95(); ok && req.idempotent && !req.hedged && p95 < remaining {
		r.startTimer(now.Add(p95), req.id, timerHedge)
	}
	r.emit(Dispatch{
		Attempt:     a.id,
		Request:     req.id,
		Job:         req.job.config.Name,
		Target:      t.lease.Target,
		Incarnation: t.lease.Incarnation,
		Address:     t.lease.Address,
		Connections: t.lease.Connections,
		Timeout:     remaining,
		Limit:       limit,
	})
}

// closeAttempt removes an attempt and frees its slot. Later events of the attempt are ignored.
func (r *Router) closeAttempt(a *attempt) {
	delete(r.attempts, a.id)
	a.target.busy--
	a.request.pool.busy--
	if i := slices.Index(a.request.attempts, a); i >= 0 {
		a.request.attempts = slices.Delete(a.request.attempts, i, i+1)
	}
}

// lookupAttempt returns the attempt of an event, or nil if it is closed. Events of closed attempts are
// counted in Stats.LateEvents.
func (r *Router) lookupAttempt(id csmodel.AttemptID) *attempt {
	a, ok := r.attempts[id]
	if !ok {
		r.stats.LateEvents++
	}
	return a
}

func (r *Router) attemptAnswered(now time.Time, e AttemptAnswered) {
	a := r.lookupAttempt(e.Attempt)
	if a == nil {
		return
	}
	req := a.request
	latency := now.Sub(a.started)
	a.target.observeAnswer(now, latency, req.job.meanLatency)
	req.job.observe(now, latency)
	req.pool.meanLatency = ewma(req.pool.meanLatency, latency)
	r.closeAttempt(a)
	r.finish(req, result{outcome: Answered, answer: e.Answer})
	r.slotFreed(now, req.pool)
}

func (r *Router) attemptRefused(now time.Time, e AttemptRefused) {
	a := r.lookupAttempt(e.Attempt)
	if a == nil {
		return
	}
	if e.NoSlot {
		a.target.pause(now.Add(fullPause))
		a.target.reduceLimit(now, slowLimitFactor)
	} else {
		a.target.pause(now.Add(refusedPause))
	}
	r.attemptNotStarted(now, a, ReasonTargetsRefused)
}

func (r *Router) attemptFailed(now time.Time, e AttemptFailed) {
	a := r.lookupAttempt(e.Attempt)
	if a == nil {
		return
	}
	a.target.observeFailure(now)
	if a.target.lease.Probe {
		a.target.pause(a.target.lease.Until) // no second probe before the home node has processed the failure
	}
	if !e.Sent {
		a.target.pause(now.Add(refusedPause))
		r.attemptNotStarted(now, a, ReasonTargetFailed)
		return
	}
	req := a.request
	r.closeAttempt(a)
	req.sent = true
	req.failures++
	req.failedTargets = append(req.failedTargets, a.target.lease.Target)
	switch {
	case len(req.attempts) > 0:
		// The other attempt determines the outcome.
	case req.idempotent && !req.replied && req.failures < maxFailures && r.takeRetryBudget():
		r.stats.Retries++
		r.enqueue(now, req)
	default:
		r.finishUnanswered(req, ReasonTargetFailed)
	}
	r.slotFreed(now, req.pool)
}

// attemptNotStarted handles an attempt that the target did not start. The request is queued again for any target, unless it
// has had more than maxRefusals such attempts.
func (r *Router) attemptNotStarted(now time.Time, a *attempt, reason Reason) {
	req := a.request
	r.closeAttempt(a)
	req.refusals++
	switch {
	case len(req.attempts) > 0:
		// The other attempt determines the outcome.
	case req.replied || req.refusals > maxRefusals:
		r.finishUnanswered(req, reason)
	default:
		r.enqueue(now, req)
	}
	r.slotFreed(now, req.pool)
}

// failOverdueAttempts fails the attempts for which no result was reported in time.
func (r *Router) failOverdueAttempts(now time.Time, req *request) {
	for _, a := range slices.Clone(req.attempts) {
		if !now.Before(a.reportDue) {
			r.attemptFailed(now, AttemptFailed{Attempt: a.id, Sent: true})
		}
	}
}

// hedge sends a second attempt of an idempotent request that takes longer than the job's p95, if no other request is
// queued in the pool.
func (r *Router) hedge(now time.Time, req *request) {
	if req.hedged || req.replied || len(req.attempts) != 1 || req.pool.queue.length > 0 {
		return
	}
	t := req.pool.pickTarget(now, r.config.Zone, req)
	if t == nil || req.triedOn(t) > 0 || !r.takeRetryBudget() {
		return
	}
	req.hedged = true
	r.stats.Hedges++
	r.dispatch(now, req, t)
}

// takeRetryBudget takes one retry or hedge from the budget. It returns false if the budget is used up.
func (r *Router) takeRetryBudget() bool {
	if r.retryBudget < 1 {
		return false
	}
	r.retryBudget--
	return true
}

// slotFreed dispatches queued requests after a slot became free.
func (r *Router) slotFreed(now time.Time, p *pool) {
	r.dispatchQueued(now, p)
	r.updateDemand(now, p)
}
