package csrequest

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxBody           = csmodel.MiB
	retriesPerRequest = 0.1 // retries and hedges added to the budget for each admitted request
	maxRetryBudget    = 10  // retries and hedges that the budget can hold
	minRetryAfter     = 100 * time.Millisecond
	// forwardMargin is subtracted from the timeout of a forwarded request, so that the owner's outcome returns before the
	// caller's deadline.
	forwardMargin = 20 * time.Millisecond
)

// arrive admits or refuses a request. Only the size check precedes the key lookup: any other refusal as not-run would be
// wrong if an earlier request with the key has run.
func (r *Router) arrive(now time.Time, a RequestArrived) {
	if _, known := r.requests[a.ID]; known {
		return
	}
	r.stats.Arrivals++
	req := &request{id: a.ID, arrived: now, idempotent: a.Idempotent, index: notQueued, teamName: a.Team}
	r.requests[a.ID] = req
	req.job = r.jobs[a.Job]
	req.deadline = now.Add(timeout(a, req.job))
	if req.job != nil {
		req.pool = r.ensurePool(req.job.config.Pool)
		req.pool.arrivals++
	}
	if req.team = r.teams[a.Team]; req.team == nil {
		req.teamName = unconfiguredTeam
		req.team = r.teams[unconfiguredTeam]
	}
	switch {
	case a.Size > maxBody:
		r.refuse(req, ReasonBodyTooLarge, 0)
	case a.Key != "":
		r.arriveWithKey(now, req, a)
	case !r.configured:
		r.refuse(req, ReasonUnconfigured, time.Second)
	case !a.Idempotent:
		r.refuse(req, ReasonInvalidKey, 0)
	default:
		r.admit(now, req)
	}
}

// timeout returns the request's own timeout, the job's, or the default.
func timeout(a RequestArrived, job *jobState) time.Duration {
	switch {
	case a.Timeout > 0:
		return a.Timeout
	case job != nil && job.config.Timeout > 0:
		return job.config.Timeout
	default:
		return defaultTimeout
	}
}

// arriveWithKey handles a request with an idempotency key: here if this node owns the key, otherwise by forwarding it to
// the owner.
func (r *Router) arriveWithKey(now time.Time, req *request, a RequestArrived) {
	key, err := ParseKey(a.Key)
	if err != nil {
		r.refuse(req, ReasonInvalidKey, 0)
		return
	}
	if key.Node != r.config.Node {
		r.forward(now, req, key.Node, a.Forwarded)
		return
	}
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	fingerprint := fingerprint(a)
	if primary, running := r.requestsByKey[id]; running {
		r.awaitPrimary(req, primary, fingerprint)
		return
	}
	res := r.config.Keys.lookup(now, key, fingerprint)
	if !res.mayRun {
		r.finish(req, res)
		return
	}
	req.key = &key
	req.fingerprint = fingerprint
	r.requestsByKey[id] = req
	r.admit(now, req)
}

// awaitPrimary lets a request share the outcome of the request in progress with the same key.
func (r *Router) awaitPrimary(req, primary *request, fingerprint uint32) {
	if primary.fingerprint != fingerprint {
		r.finish(req, result{outcome: Unknown, reason: ReasonKeyReused})
		return
	}
	req.state = stateWaiting
	req.primary = primary
	primary.waiters = append(primary.waiters, req)
	r.startTimer(req.deadline, req.id, timerDeadline)
}

// fingerprint returns a hash of the job and the body's digest. It detects a key that is used for two different requests.
func fingerprint(a RequestArrived) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a.Job))
	return uint32(d.Sum64() ^ a.Digest ^ a.Digest>>32)
}

// forward sends a request to the owner of its key, even while the node is draining, because only the owner knows whether a
// request with the key has run.
func (r *Router) forward(now time.Time, req *request, owner csmodel.NodeID, forwarded bool) {
	if forwarded {
		r.finish(req, result{outcome: Unknown, reason: ReasonInvalidKey})
		return
	}
	req.state = stateForwarding
	remaining := req.deadline.Sub(now)
	r.startTimer(req.deadline, req.id, timerDeadline)
	r.emit(Forward{ID: req.id, Node: owner, Timeout: remaining - min(forwardMargin, remaining/4)})
}

// admit enqueues a request, or refuses it as not-run.
func (r *Router) admit(now time.Time, req *request) {
	if !r.configured {
		r.refuse(req, ReasonUnconfigured, time.Second)
		return
	}
	if req.job == nil {
		r.refuse(req, ReasonUnknownJob, 0)
		return
	}
	if r.draining {
		r.refuse(req, ReasonDraining, 0)
		return
	}
	if limiter := req.team.limiter; limiter != nil && !limiter.AllowN(now, 1) {
		r.refuse(req, ReasonQuotaExceeded, time.Duration(float64(time.Second)/float64(limiter.Limit())))
		return
	}
	remaining := req.deadline.Sub(now)
	if wait := req.pool.expectedWait(now, req); wait > 0 && wait+req.pool.meanLatency > remaining {
		r.refuse(req, ReasonWaitTooLong, wait-remaining)
		return
	}
	if req.pool.queue.length >= maxQueueLength {
		shed := req.pool.queue.shedCandidate(req.teamName, req.team.share())
		if shed == nil {
			r.refuse(req, ReasonQueueFull, req.pool.expectedQueueWait(now))
			return
		}
		r.finishUnanswered(shed, ReasonQueueFull)
	}
	r.retryBudget = min(maxRetryBudget, r.retryBudget+retriesPerRequest)
	r.startTimer(req.deadline, req.id, timerDeadline)
	if req.key != nil && !req.idempotent {
		req.state = stateRecording
		r.emit(Record{ID: req.id, Data: encodeKeyRecord(*req.key, keyStarted, req.fingerprint, nil)})
		return
	}
	r.enqueue(now, req)
}

// recorded enqueues a request whose key record is durable, or refuses it if the record could not be written.
func (r *Router) recorded(now time.Time, e Recorded) {
	req, ok := r.requests[e.ID]
	if !ok || req.state != stateRecording {
		return
	}
	if e.Failed {
		r.refuse(req, ReasonRecordFailed, 0)
		return
	}
	r.config.Keys.setState(*req.key, keyStarted, req.fingerprint)
	r.enqueue(now, req)
}

// enqueue queues a request and dispatches what the free slots allow.
func (r *Router) enqueue(now time.Time, req *request) {
	r.sequence++
	req.sequence = r.sequence
	req.state = stateQueued
	req.pool.queue.add(req)
	r.dispatchQueued(now, req.pool)
	r.updateDemand(now, req.pool)
}

// refuse ends a request that is not admitted.
func (r *Router) refuse(req *request, reason Reason, retryAfter time.Duration) {
	req.retryAfter = max(minRetryAfter, retryAfter)
	r.finishUnanswered(req, reason)
}
