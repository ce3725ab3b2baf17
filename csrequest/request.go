package csrequest

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// requestState is the stage of a request that has not ended.
type requestState uint8

const (
	stateRecording  requestState = iota + 1 // its key record is being written
	stateQueued                             // waiting for a slot
	stateRunning                            // at least one attempt is in flight
	stateForwarding                         // sent to the owner of its key
	stateWaiting                            // waiting for another request with the same key
)

// request is a request that has not ended. It may exist after its reply, while an attempt continues so that its outcome can
// be stored for the key.
type request struct {
	id            RequestID
	job           *jobState
	pool          *pool
	team          *teamState
	teamName      csmodel.TeamID
	arrived       time.Time
	deadline      time.Time
	sequence      uint64
	state         requestState
	idempotent    bool
	key           *Key // nil unless this node owns it
	fingerprint   uint32
	primary       *request   // request whose outcome this one waits for
	waiters       []*request // requests that wait for this one's outcome
	replied       bool
	sent          bool // this request or an earlier one with its key may have reached a target
	hedged        bool
	charged       bool // the team's pass was advanced for it
	attempts      []*attempt
	failedTargets []csmodel.VMID // targets on which an attempt failed
	failures      int
	refusals      int
	retryAfter    time.Duration
	queue         *teamQueue
	index         int // in queue.requests, or notQueued
}

// triedOn returns 1 if an attempt of the request failed or is in flight on the target, otherwise 0.
func (r *request) triedOn(t *target) int {
	if slices.Contains(r.failedTargets, t.lease.Target) {
		return 1
	}
	for _, a := range r.attempts {
		if a.target.lease.Target == t.lease.Target {
			return 1
		}
	}
	return 0
}

// attempt is one try to run a request on a target.
type attempt struct {
	id        csmodel.AttemptID
	request   *request
	target    *target
	started   time.Time
	reportDue time.Time // time at which the attempt fails if no result was reported
}

// finish ends a request: it aborts its attempts, stores the outcome for its key, and replies to its caller and to the
// requests that wait for it.
func (r *Router) finish(req *request, res result) {
	if req.queue != nil {
		req.pool.queue.remove(req)
	}
	if req.primary != nil {
		waiters := req.primary.waiters
		if i := slices.Index(waiters, req); i >= 0 {
			req.primary.waiters = slices.Delete(waiters, i, i+1)
		}
	}
	for _, a := range slices.Clone(req.attempts) {
		r.closeAttempt(a)
		r.emit(Abort{Attempt: a.id})
	}
	delete(r.requests, req.id)
	if req.key != nil {
		r.storeOutcome(req, res)
	}
	r.reply(req, res)
	for _, w := range slices.Clone(req.waiters) {
		w.primary = nil
		w.retryAfter = req.retryAfter
		delete(r.requests, w.id)
		r.reply(w, res)
	}
}

// storeOutcome stores the outcome of a request for its key.
func (r *Router) storeOutcome(req *request, res result) {
	id := keyID{incarnation: req.key.Incarnation, sequence: req.key.Sequence}
	delete(r.requestsByKey, id)
	keys := r.config.Keys
	switch {
	case res.outcome == Answered:
		keys.setState(*req.key, keyAnswered, req.fingerprint)
		keys.storeAnswer(*req.key, res.answer)
		r.emit(Record{Data: encodeKeyRecord(*req.key, keyAnswered, req.fingerprint, &res.answer)})
	case res.outcome == Unknown && !req.idempotent:
		keys.setState(*req.key, keyUnknown, req.fingerprint)
		r.emit(Record{Data: encodeKeyRecord(*req.key, keyUnknown, req.fingerprint, nil)})
	default:
		// The request did not run, or may safely run again: the key can be used again.
		keys.setState(*req.key, keyUnused, 0)
	}
}

// reply sends the outcome to the caller, unless a reply was sent before.
func (r *Router) reply(req *request, res result) {
	if req.replied {
		return
	}
	req.replied = true
	reply := Reply{ID: req.id, Outcome: res.outcome, Reason: res.reason}
	switch res.outcome {
	case Answered:
		r.stats.Answered++
		reply.Answer = res.answer
	case NotRun:
		r.stats.NotRun++
		reply.RetryAfter = req.retryAfter
	default:
		r.stats.Unknown++
	}
	r.emit(reply)
}

// finishUnanswered ends a request without an answer: not-run if no part of it was sent, otherwise unknown.
func (r *Router) finishUnanswered(req *request, reason Reason) {
	outcome := NotRun
	if req.sent || len(req.attempts) > 0 || req.state == stateForwarding || req.state == stateWaiting {
		outcome = Unknown
	}
	r.finish(req, result{outcome: outcome, reason: reason})
}

// endCallerWait replies to a caller whose deadline has passed or who cancelled. An attempt of a request that is not idempotent
// continues so that its outcome can be stored; so does one of an idempotent request for whose outcome other requests wait.
// Otherwise the request ends.
func (r *Router) endCallerWait(now time.Time, req *request, reason Reason) {
	if req.replied {
		return
	}
	storing := len(req.attempts) > 0 && !req.idempotent
	awaited := req.idempotent && len(req.attempts) > 0 && len(req.waiters) > 0
	if storing || awaited {
		r.reply(req, result{outcome: Unknown, reason: reason})
		return
	}
	r.finishUnanswered(req, reason)
	if req.pool != nil {
		r.dispatchQueued(now, req.pool)
	}
}

// deadlineExpired handles the caller's deadline. An attempt that has taken more than twice the job's p95 counts as a failure
// of its target.
func (r *Router) deadlineExpired(now time.Time, req *request) {
	if req.replied {
		return
	}
	for _, a := range req.attempts {
		if p95, ok := req.job.p95(); ok && now.Sub(a.started) > 2*p95 {
			a.target.observeFailure(now)
		}
	}
	r.endCallerWait(now, req, ReasonTimeout)
}

func (r *Router) cancelled(now time.Time, e Cancelled) {
	if req, ok := r.requests[e.ID]; ok {
		r.endCallerWait(now, req, ReasonCanceled)
	}
}

// forwardAnswered replies with the outcome that the owner of the key returned.
func (r *Router) forwardAnswered(e ForwardAnswered) {
	req, ok := r.requests[e.ID]
	if !ok || req.state != stateForwarding {
		return
	}
	req.retryAfter = e.RetryAfter
	res := result{outcome: e.Outcome, answer: e.Answer, reason: e.Reason}
	if res.outcome != Answered && res.outcome != NotRun {
		res.outcome = Unknown
	}
	r.finish(req, res)
}

// forwardFailed handles a key owner that cannot be reached. An earlier request with the key may have run there, so the
// outcome is unknown even if nothing was sent now. An idempotent request of which nothing was sent runs on this node,
// without its key.
func (r *Router) forwardFailed(now time.Time, e ForwardFailed) {
	req, ok := r.requests[e.ID]
	if !ok || req.state != stateForwarding {
		return
	}
	if e.Sent || !req.idempotent || req.job == nil || r.draining {
		r.finish(req, result{outcome: Unknown, reason: ReasonOwnerUnreachable})
		return
	}
	req.sent = true // an earlier request with the key may have run
	r.admit(now, req)
}

// Drain makes the Router refuse new requests as not-run. Requests that arrived before are served, and stored outcomes are
// still returned.
func (r *Router) Drain(now time.Time) {
	r.now = now
	r.draining = true
}

// Drained reports whether the Router is draining and no request or attempt is left.
func (r *Router) Drained() bool { return r.draining && len(r.requests) == 0 && len(r.attempts) == 0 }

// Stop ends all requests and returns the commands to execute. The outcome of a request is not-run if no part of it was sent,
// otherwise unknown.
func (r *Router) Stop(now time.Time) []Command {
	r.now = now
	r.commands = nil
	r.draining = true
	for _, id := range csmodel.SortedKeys(r.requests) {
		if req, ok := r.requests[id]; ok {
			r.finishUnanswered(req, ReasonStopped)
		}
	}
	return r.commands
}
