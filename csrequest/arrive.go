package csrequest

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxBody       = csmodel.MiB
	retryRatio    = 0.1 // retries and hedges for each request
	maxBudget     = 10  // retries and hedges that may be saved up
	minRetryAfter = 100 * time.Millisecond
	// forwardMargin is subtracted from the timeout of a forwarded request, so that the owner's outcome returns in time.
	forwardMargin = 20 * time.Millisecond
)

// arrive decides whether a request is admitted. A key is looked up before anything else can refuse the request as not run,
// because an earlier request with the key may have run.
func (r *Router) arrive(now time.Time, a Arrive) {
	if _, known := r.requests[a.ID]; known {
		return
	}
	r.stats.Arrivals++
	req := &request{id: a.ID, arrived: now, idempotent: a.Idempotent, index: notQueued, teamName: a.Team}
	r.requests[a.ID] = req
	req.job = r.jobs[a.Job]
	req.deadline = now.Add(timeout(a, req.job))
	if req.job != nil {
		req.pool = r.pool(req.job.config.Pool)
		req.pool.arrivals++
	}
	if req.team = r.teams[a.Team]; req.team == nil {
		req.teamName = noTeam
		req.team = r.teams[noTeam]
	}
	switch {
	case a.Size > maxBody:
		r.refuse(req, ReasonSize, 0)
	case a.Key != "":
		r.arriveKeyed(now, req, a)
	case !r.configured:
		r.refuse(req, ReasonUnready, time.Second)
	case !a.Idempotent:
		r.refuse(req, ReasonKey, 0)
	default:
		r.admit(now, req)
	}
}

func timeout(a Arrive, job *jobState) time.Duration {
	switch {
	case a.Timeout > 0:
		return a.Timeout
	case job != nil && job.config.Timeout > 0:
		return job.config.Timeout
	default:
		return defaultWait
	}
}

// arriveKeyed handles a request with an idempotency key: at its owner, or by forwarding it there.
func (r *Router) arriveKeyed(now time.Time, req *request, a Arrive) {
	key, err := ParseKey(a.Key)
	if err != nil {
		r.refuse(req, ReasonKey, 0)
		return
	}
	if key.Node != r.config.Node {
		r.forward(now, req, key.Node, a.Forwarded)
		return
	}
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	fingerprint := fingerprint(a)
	if primary, running := r.keyed[id]; running {
		r.await(req, primary, fingerprint)
		return
	}
	v := r.config.Keys.lookup(now, key, fingerprint)
	if !v.run {
		r.finish(req, v)
		return
	}
	req.key = &key
	req.print = fingerprint
	r.keyed[id] = req
	r.admit(now, req)
}

// await makes a request share the outcome of one in progress with the same key.
func (r *Router) await(req, primary *request, fingerprint uint32) {
	if primary.print != fingerprint {
		r.finish(req, verdict{outcome: Unknown, reason: ReasonReused})
		return
	}
	req.state = waiting
	req.primary = primary
	primary.waiters = append(primary.waiters, req)
	r.after(req.deadline, req.id, timerDeadline)
}

// fingerprint detects a key that is used for two different requests.
func fingerprint(a Arrive) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a.Job))
	return uint32(d.Sum64() ^ a.Digest ^ a.Digest>>32)
}

// forward sends a request to the owner of its key, also while the node is draining: only the owner can tell that the key
// has not run.
func (r *Router) forward(now time.Time, req *request, owner csmodel.NodeID, forwarded bool) {
	if forwarded {
		r.finish(req, verdict{outcome: Unknown, reason: ReasonKey})
		return
	}
	req.state = forwarding
	left := req.deadline.Sub(now)
	r.after(req.deadline, req.id, timerDeadline)
	r.emit(Forward{ID: req.id, Node: owner, Timeout: left - min(forwardMargin, left/4)})
}

// admit puts a request into its queue, or refuses it as not run.
func (r *Router) admit(now time.Time, req *request) {
	if !r.configured {
		r.refuse(req, ReasonUnready, time.Second)
		return
	}
	if req.job == nil {
		r.refuse(req, ReasonJob, 0)
		return
	}
	if r.draining {
		r.refuse(req, ReasonDrain, 0)
		return
	}
	if limiter := req.team.limiter; limiter != nil && !limiter.AllowN(now, 1) {
		r.refuse(req, ReasonQuota, time.Duration(float64(time.Second)/float64(limiter.Limit())))
		return
	}
	left := req.deadline.Sub(now)
	if wait := req.pool.wait(now, req); wait > 0 && wait+req.pool.mean > left {
		r.refuse(req, ReasonWait, wait-left)
		return
	}
	if req.pool.queue.length >= maxQueue {
		victim := req.pool.queue.victim(req.teamName, req.team.share())
		if victim == nil {
			r.refuse(req, ReasonQueue, req.pool.expected(now))
			return
		}
		r.end(victim, ReasonQueue)
	}
	r.budget = min(maxBudget, r.budget+retryRatio)
	r.after(req.deadline, req.id, timerDeadline)
	if req.key != nil && !req.idempotent {
		req.state = recording
		r.emit(Record{ID: req.id, Data: encode(*req.key, keyStarted, req.print, nil)})
		return
	}
	r.enqueue(now, req)
}

// recorded continues a request whose record is durable.
func (r *Router) recorded(now time.Time, e Recorded) {
	req, ok := r.requests[e.ID]
	if !ok || req.state != recording {
		return
	}
	if e.Failed {
		r.refuse(req, ReasonDisk, 0)
		return
	}
	r.config.Keys.set(*req.key, keyStarted, req.print)
	r.enqueue(now, req)
}

func (r *Router) enqueue(now time.Time, req *request) {
	r.sequence++
	req.sequence = r.sequence
	req.state = queued
	req.pool.queue.add(req)
	r.pump(now, req.pool)
	r.updateDemand(now, req.pool)
}

// refuse ends a request that is not admitted.
func (r *Router) refuse(req *request, reason Reason, retryAfter time.Duration) {
	req.retryAfter = max(minRetryAfter, retryAfter)
	r.end(req, reason)
}
