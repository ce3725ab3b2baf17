package csrequest

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

type requestState uint8

const (
	recording  requestState = iota + 1 // its record is being written
	queued                             // waits for a slot
	running                            // has attempts in flight
	forwarding                         // sent to the owner of its key
	waiting                            // waits for another request with the same key
)

// request is a request of a caller that has not ended. It may outlive its reply while an attempt runs on for its key.
type request struct {
	id         RequestID
	job        *jobState
	pool       *pool
	team       *teamState
	teamName   csmodel.TeamID
	arrived    time.Time
	deadline   time.Time
	sequence   uint64
	state      requestState
	idempotent bool
	key        *Key // of this node
	print      uint32
	primary    *request   // of a waiting request
	waiters    []*request // with the same key
	replied    bool
	sent       bool // an attempt may have reached a target
	hedged     bool
	charged    bool // the team was charged for its turn
	attempts   []*attempt
	tried      []csmodel.VMID // targets on which an attempt failed
	failures   int
	refusals   int
	retryAfter time.Duration
	queue      *teamQueue
	index      int
}

// triedOn returns 1 where an attempt failed or runs on the target, otherwise 0.
func (r *request) triedOn(t *target) int {
	if slices.Contains(r.tried, t.lease.Target) {
		return 1
	}
	for _, a := range r.attempts {
		if a.target.lease.Target == t.lease.Target {
			return 1
		}
	}
	return 0
}

// attempt is one dispatch of a request to a target.
type attempt struct {
	id      csmodel.AttemptID
	request *request
	target  *target
	started time.Time
	until   time.Time // given up without a report of the dispatch
}

// finish gives the outcome to the request and those that wait for it, closes its attempts and stores the outcome for its
// key.
func (r *Router) finish(req *request, v verdict) {
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
		r.close(a)
		r.emit(Abort{Attempt: a.id})
	}
	delete(r.requests, req.id)
	if req.key != nil {
		r.settle(req, v)
	}
	r.reply(req, v)
	for _, w := range slices.Clone(req.waiters) {
		w.primary = nil
		w.retryAfter = req.retryAfter
		delete(r.requests, w.id)
		r.reply(w, v)
	}
}

// settle stores what became of a key.
func (r *Router) settle(req *request, v verdict) {
	id := keyID{incarnation: req.key.Incarnation, sequence: req.key.Sequence}
	delete(r.keyed, id)
	keys := r.config.Keys
	switch {
	case v.outcome == Answered:
		keys.set(*req.key, keyAnswered, req.print)
		keys.store(*req.key, v.answer)
		r.emit(Record{Data: encode(*req.key, keyAnswered, req.print, &v.answer)})
	case v.outcome == Unknown && !req.idempotent:
		keys.set(*req.key, keyUnknown, req.print)
		r.emit(Record{Data: encode(*req.key, keyUnknown, req.print, nil)})
	default:
		// Nothing ran, or running it again is harmless: the key may be used again.
		keys.set(*req.key, keyUnused, 0)
	}
}

// reply gives the outcome to the caller unless it was given before.
func (r *Router) reply(req *request, v verdict) {
	if req.replied {
		return
	}
	req.replied = true
	reply := Reply{ID: req.id, Outcome: v.outcome, Reason: v.reason}
	switch v.outcome {
	case Answered:
		r.stats.Answered++
		reply.Answer = v.answer
	case NotRun:
		r.stats.NotRun++
		reply.RetryAfter = req.retryAfter
	default:
		r.stats.Unknown++
	}
	r.emit(reply)
}

// end ends a request that gets no answer: not run where nothing was sent, otherwise unknown.
func (r *Router) end(req *request, reason Reason) {
	outcome := NotRun
	if req.sent || len(req.attempts) > 0 || req.state == forwarding || req.state == waiting {
		outcome = Unknown
	}
	r.finish(req, verdict{outcome: outcome, reason: reason})
}

// leave ends the wait of a caller whose timeout has passed or who went away. An attempt of a request that is not idempotent
// runs on and its outcome is stored.
func (r *Router) leave(now time.Time, req *request, reason Reason) {
	if req.replied {
		return
	}
	keep := len(req.attempts) > 0 && !req.idempotent
	wanted := req.idempotent && len(req.attempts) > 0 && len(req.waiters) > 0
	if keep || wanted {
		r.reply(req, verdict{outcome: Unknown, reason: reason})
		return
	}
	r.end(req, reason)
	if req.pool != nil {
		r.pump(now, req.pool)
	}
}

// expired handles the caller's timeout. A target whose attempt took unusually long has failed.
func (r *Router) expired(now time.Time, req *request) {
	if req.replied {
		return
	}
	for _, a := range req.attempts {
		if p95, ok := req.job.p95(); ok && now.Sub(a.started) > 2*p95 {
			a.target.failed(now)
		}
	}
	r.leave(now, req, ReasonTimeout)
}

func (r *Router) cancelled(now time.Time, e Cancelled) {
	if req, ok := r.requests[e.ID]; ok {
		r.leave(now, req, ReasonCanceled)
	}
}

// forwardAnswered passes on the outcome of the owner of the key.
func (r *Router) forwardAnswered(e ForwardAnswered) {
	req, ok := r.requests[e.ID]
	if !ok || req.state != forwarding {
		return
	}
	req.retryAfter = e.RetryAfter
	v := verdict{outcome: e.Outcome, answer: e.Answer, reason: e.Reason}
	if v.outcome != Answered && v.outcome != NotRun {
		v.outcome = Unknown
	}
	r.finish(req, v)
}

// forwardFailed handles an owner that cannot be reached. An earlier request with the key may have run there, so the outcome
// is unknown even where nothing was sent now. An idempotent request of which nothing was sent runs here, without its key.
func (r *Router) forwardFailed(now time.Time, e ForwardFailed) {
	req, ok := r.requests[e.ID]
	if !ok || req.state != forwarding {
		return
	}
	if e.Sent || !req.idempotent || req.job == nil || r.draining {
		r.finish(req, verdict{outcome: Unknown, reason: ReasonOwner})
		return
	}
	req.sent = true // an earlier request with the key may have run
	r.admit(now, req)
}

// Drain refuses new requests as not run. Requests that arrived before are served, and stored outcomes are still returned.
func (r *Router) Drain(now time.Time) {
	r.now = now
	r.draining = true
}

// Drained tells whether the Router is draining and nothing is queued or in flight.
func (r *Router) Drained() bool { return r.draining && len(r.requests) == 0 && len(r.attempts) == 0 }

// Stop ends all requests: not run where nothing was sent, otherwise unknown.
func (r *Router) Stop(now time.Time) []Command {
	r.now = now
	r.out = nil
	r.draining = true
	for _, id := range csmodel.SortedKeys(r.requests) {
		if req, ok := r.requests[id]; ok {
			r.end(req, ReasonStopped)
		}
	}
	return r.out
}
