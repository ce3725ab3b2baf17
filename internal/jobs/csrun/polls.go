package csrun

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// pollRetryDelay is the delay after an unanswered poll.
	pollRetryDelay = 250 * time.Millisecond
	// minPollWait is the minimum wait of a poll. It limits the poll rate for targets whose runs are expected to end now.
	minPollWait = 200 * time.Millisecond
	// predictionMargin is added to the predicted time of the next end, because predictions are off by about 20%.
	predictionMargin = 150 * time.Millisecond
	// maxUnansweredCalls is the number of consecutive unanswered calls after which a target counts as silent.
	maxUnansweredCalls = 2
	// maxUnlistedPolls is the number of consecutive polls without a list of runs after which a target counts as silent, even if it
	// answers other calls. It is higher than maxUnansweredCalls because polls wait for ends, and their answers are the first that
	// a busy leader reads too late.
	maxUnlistedPolls = 4
	// maxEndsPerPoll is the maximum number of ends in the answer to a poll, from the platform's protocol. The target returns
	// further ends after an acknowledgement.
	maxEndsPerPoll = 500
	// maxMissingPolls is the number of consecutive polls without a started run in the list after which the run is stopped.
	maxMissingPolls = 2
)

// sendPolls polls targets with open runs or with ends to acknowledge, and polls each new target once.
func (r *runner) sendPolls(now time.Time) {
	var firstPolls []*target
	inFlight := 0
	for _, w := range r.targetsByName() {
		unpolled := w.unpolled && w.failures == 0
		switch {
		case unpolled && w.polling:
			inFlight++
		case !r.pollDue(w, now):
		case unpolled:
			firstPolls = append(firstPolls, w)
		default:
			r.sendPoll(w, now)
		}
	}
	picked := pickInitialPolls(firstPolls, inFlight)
	for _, w := range picked {
		r.sendPoll(w, now)
	}
	r.initialPolls = firstPolls[len(picked):]
}

func (r *runner) pollDue(w *target, now time.Time) bool {
	spacing := r.options.Timing.MinPollInterval
	if w.failures > 1 {
		spacing = pollRetryDelay
	}
	if w.polling || w.closed || now.Sub(w.polledAt) < spacing {
		return false
	}
	if w.receivedEnd > w.committedEnd {
		return false // the answer would repeat ends that are being committed
	}
	return w.unpolled || len(w.runs) > 0 || w.acknowledgedEnd < w.committedEnd
}

func (r *runner) sendPoll(w *target, now time.Time) {
	o := PollRequest{Fence: w.fence}
	if w.failures == 0 && w.startsConfirmed() {
		// After an unanswered call, the target may have restarted and would discard ends of its new incarnation.
		o.Acknowledged = w.committedEnd
	}
	if len(w.runs) > 0 && !w.silent() {
		o.LeaseEnd = w.leaseEnd(now, r.options.Timing.Lease)
		w.maxLeaseEnd = max(w.maxLeaseEnd, o.LeaseEnd)
		o.Wait = r.pollWait(w, now)
	}
	w.polling = true
	w.polledAt = now
	r.options.Metrics.polls.Inc()
	r.stats.callSent()
	r.stats.polls++
	ctx, term, incarnation, record := r.ctx, r.term, w.incarnation, w.record
	timeout := w.pollTimeout(r.options.Timing.CallTimeout) + o.Wait
	go func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m := &pollResult{term: term, incarnation: incarnation, order: o, sentAt: now}
		m.response, m.err = r.options.Workers.Poll(limited, record, o)
		m.arrivedAt = r.now()
		r.send(m)
	}()
}

// pollWait returns how long a poll may wait for an end. It is limited by the time until the next expected end: if the answer
// is lost, the leader learns of all ends of the target only after the wait. After an unanswered call it is zero, because ends
// may be listed there already, and the next answer may be lost as well.
func (r *runner) pollWait(w *target, now time.Time) time.Duration {
	if w.unpolled || w.failures > 0 {
		return 0
	}
	wait := r.options.Timing.PollWait
	for _, u := range w.runs {
		if !u.longRunning {
			left := u.remaining(now)
			if left < 0 && u.prediction != nil {
				left = u.prediction.Remaining(u.passed(now))
			}
			wait = min(wait, max(minPollWait, left+predictionMargin))
		}
	}
	if w.awaitsReadiness() {
		wait = min(wait, readinessPollWait)
	}
	return wait
}

// readinessPollWait is the wait of a poll while a long-running task has started and is not available yet. Other tasks of its
// step may be waiting for it.
const readinessPollWait = 250 * time.Millisecond

func (t *target) awaitsReadiness() bool {
	for _, u := range t.runs {
		if u.longRunning && u.started && !u.stop && !u.becameReady {
			return true
		}
	}
	return false
}

// answeringTarget returns the target that a call was sent to, or nil if its answer is obsolete. It drops answers to calls from
// an earlier term, or from before the target was removed and joined again: they say nothing about the orders sent since. The
// answer may change which orders the target needs.
func (r *runner) answeringTarget(term csmodel.Term, l csjob.Incarnation, f csmodel.Fence) *target {
	if term != r.term {
		return nil
	}
	w := r.currentTarget(l)
	if w == nil || w.fence != f {
		return nil
	}
	w.noOrdersDue = false
	return w
}

// currentTarget returns the state of an incarnation, or nil if the incarnation has ended.
func (r *runner) currentTarget(l csjob.Incarnation) *target {
	if !r.active {
		return nil
	}
	if w := r.targets[l.Target]; w != nil && w.incarnation == l {
		return w
	}
	return nil
}

func (r *runner) handlePollResult(m *pollResult) {
	r.stats.callDone(m.err)
	w := r.answeringTarget(m.term, m.incarnation, m.order.Fence)
	if w == nil {
		return
	}
	now := r.now()
	w.polling = false
	if m.err == nil {
		w.polledAt = now // a poll that has timed out has waited long enough
	}
	r.leader.requestRound()
	if w.unpolled {
		r.sendNextInitialPoll(now)
	}
	if m.err != nil {
		w.recordFailure(now)
		w.recordUnansweredPoll(m.sentAt)
		r.log.Info("look not answered", zap.String("target", string(w.incarnation.Target)), zap.Int("failures", w.failures), zap.Error(m.err))
		return
	}
	if m.response.Refusal != NotRefused {
		w.recordUnansweredPoll(m.sentAt)
		r.targetRefused(w, m.response.Refusal, now)
		return
	}
	if m.response.StartedAtMs != 0 && m.response.StartedAtMs != w.incarnation.StartedAtMs {
		w.recordFailure(now) // restarted; the next heartbeat reports the new incarnation
		w.recordUnansweredPoll(m.sentAt)
		return
	}
	if w.unpolled {
		// From now on, the fence of this poll rejects orders of earlier leaders. The clock of an earlier heartbeat doesn't
		// bound the leases granted since, because the heartbeat may have been delayed.
		w.maxLeaseEnd = max(w.maxLeaseEnd, m.response.Clock+r.options.Timing.LongestLease)
	}
	w.recordClock(m.response.Clock, m.sentAt, m.arrivedAt, r.options.Timing.LongestLease)
	w.minLeaseEnd = max(w.minLeaseEnd, m.order.LeaseEnd)
	w.recordAnswer(now)
	w.unpolled, w.unansweredPolls = false, 0
	prompt := m.sentAt.Sub(w.listedAt) < maxPromptGap
	endClock := w.endClock(m)
	w.listedAt, w.listClock = now, m.response.Clock
	w.acknowledgedEnd = max(w.acknowledgedEnd, m.order.Acknowledged)
	r.recordEnds(w, m, endClock, now, prompt)
	r.reconcileRuns(w, m)
}

// targetRefused handles a refusal that concerns the whole target.
func (r *runner) targetRefused(w *target, why Refusal, now time.Time) {
	r.log.Info("target refused", zap.String("target", string(w.incarnation.Target)), zap.Stringer("reason", why))
	switch why {
	case RefusedFence:
		r.resign("a target has seen a higher fence")
	case RefusedWrongTarget:
		if !w.closed {
			w.closed = true
			r.addTargetEvent(csjob.TargetEvent{Target: w.record, Ended: true}, nil, "another target has the address")
		}
	case RefusedUnhealthy:
		w.backoffUntil = now.Add(unhealthyBackoff)
		w.failures = max(w.failures, 1)
	case NotRefused, RefusedStaleAttempt, RefusedLeaseExpired, RefusedResources, RefusedTicket, RefusedInvalid:
	}
}

// maxPromptGap is the maximum time between two polls for which the time of an end is exact enough to learn run times from.
const maxPromptGap = 300 * time.Millisecond

// recordEnds records the ends that the leader has not received before. endClock is when the runs ended, on the clock of the target.
func (r *runner) recordEnds(w *target, m *pollResult, endClock time.Duration, now time.Time, prompt bool) {
	received := 0
	for _, e := range m.response.Ended {
		if e.Number <= w.receivedEnd {
			continue
		}
		received++
		w.receivedEnd = e.Number
		r.endNumbers[w.incarnation] = e.Number
		r.stats.ends++
		key := runKey{e.Task, e.Attempt}
		delete(w.strays, key)
		end := csjob.End{Task: e.Task, Attempt: e.Attempt, Incarnation: w.incarnation, Outcome: e.Outcome, Checkpoint: e.Checkpoint}
		expected, worked := time.Duration(0), time.Duration(0)
		if u := w.runs[key]; u != nil {
			u.ended, expected, worked = true, u.expected, u.worked(endClock)
			w.usage.valid = false
			r.learnFromEnd(w, u, &end, worked, now, prompt)
		}
		r.proposedEnds = append(r.proposedEnds, end)
		r.options.Metrics.ends.WithLabelValues(outcomeNames[e.Outcome]).Inc()
		r.log.Info("end", zap.String("job", string(e.Task.Job)), zap.Stringer("task", e.Task), zap.Int("attempt", int(e.Attempt)),
			zap.String("target", string(w.incarnation.Target)), zap.String("outcome", outcomeNames[e.Outcome]), zap.Int64("number", e.Number),
			zap.Bool("prompt", prompt), zap.Duration("ran", end.Ran), zap.Duration("expected", expected.Round(time.Millisecond)))
	}
	if prompt {
		r.recordEndList(w, m, endClock, now, received)
	}
}

// reconcileRuns compares the runs that the target lists with the open runs in the table.
func (r *runner) reconcileRuns(w *target, m *pollResult) {
	listed := csmodel.NewSet[runKey]()
	for _, p := range m.response.Running {
		key := runKey{p.Task, p.Attempt}
		listed.Add(key)
		u := w.runs[key]
		if u == nil {
			if _, known := w.strays[key]; !known {
				w.strays[key] = false
			}
			continue
		}
		r.confirmStart(u)
		u.onIncarnation = true
		u.percent, u.load, u.missedPolls = p.Percent, p.Load, 0
		u.becameReady = u.becameReady || p.Percent == readyPercent
	}
	for key := range w.strays {
		if !listed.Has(key) {
			delete(w.strays, key)
		}
	}
	if len(m.response.Ended) >= maxEndsPerPoll {
		return // a missing run may be among the ends of a later poll
	}
	ended := csmodel.NewSet[runKey]()
	for _, e := range m.response.Ended {
		ended.Add(runKey{e.Task, e.Attempt})
	}
	for key, u := range w.runs {
		if !listed.Has(key) && !ended.Has(key) {
			r.handleMissingRun(w, u, m.sentAt)
		}
	}
}

// readyPercent is the progress, in percent, at which a long-running task is available.
const readyPercent = 100

// handleMissingRun handles an open run that the target lists neither as running nor as ended.
func (r *runner) handleMissingRun(w *target, u *run, pollStarted time.Time) {
	switch {
	case u.stopped && u.stopAt.Before(pollStarted):
		// The stop was acknowledged before the poll was sent, so the run never started and can no longer start.
		r.proposedEnds = append(r.proposedEnds, csjob.End{Task: u.key.task, Attempt: u.key.attempt, Incarnation: w.incarnation, Outcome: csjob.OutcomeNotStarted})
		r.log.Info("run never started", zap.Stringer("task", u.key.task), zap.Int("attempt", int(u.key.attempt)),
			zap.String("target", string(w.incarnation.Target)))
	case u.started && u.ackedAt.Before(pollStarted):
		if u.missedPolls++; u.missedPolls >= maxMissingPolls {
			u.stop = true
		}
	}
}

var outcomeNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "unrun"}
