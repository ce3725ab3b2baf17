package csrun

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// maxCallsPerTarget limits the orders in flight to one target. A target accepts a limited number of connections, and each
	// new connection is charged.
	maxCallsPerTarget = 3
	// orderRetryDelay is the delay before the second retry of an order. It doubles with each retry, up to maxOrderRetryDelay.
	// The first retry is immediate: most targets that leave one order unanswered answer the next one.
	orderRetryDelay    = 200 * time.Millisecond
	maxOrderRetryDelay = time.Second
	// maxUnansweredStarts is the number of unanswered starts after which a batch run is stopped instead. The start of a
	// long-running task is retried until a poll shows its state: the task may already be running, and a stop would reduce the
	// availability of its step.
	maxUnansweredStarts = 2
)

type orderKind uint8

const (
	orderStart orderKind = iota
	orderStop
)

var orderKindNames = [...]string{"start", "stop"}

// sendOrders sends the starts and stops that are due.
func (r *runner) sendOrders(now time.Time, t *csjob.Table) {
	for _, w := range r.targetsByName() {
		if w.noOrdersDue || w.closed || w.unpolled || w.clockAt.IsZero() {
			continue
		}
		w.noOrdersDue = w.ordersDone()
		r.sendOrdersTo(now, t, w)
	}
}

// sendNextOrders sends further orders to a target that has carried out one, without waiting for the next round.
func (r *runner) sendNextOrders(w *target, now time.Time) {
	if len(w.list) <= maxCallsPerTarget || w.closed || w.unpolled || w.ordersDone() || !r.options.State.Leading() {
		return
	}
	r.options.State.View(func(t *csjob.Table) { r.sendOrdersTo(now, t, w) })
}

// ordersDone reports whether no run needs an order. New runs, answers and evictions change the result.
func (t *target) ordersDone() bool {
	for _, u := range t.list {
		if !u.ended && ((u.stop && !u.stopped) || (!u.stop && !u.started)) {
			return false
		}
	}
	for _, sent := range t.strays {
		if !sent {
			return false
		}
	}
	return true
}

func (r *runner) sendOrdersTo(now time.Time, t *csjob.Table, w *target) {
	stops, starts := w.dueOrders(now)
	for _, u := range stops {
		if w.ordersInFlight < maxCallsPerTarget {
			r.sendStop(w, u)
		}
	}
	for key, sent := range w.strays {
		if !sent && w.ordersInFlight < maxCallsPerTarget {
			w.strays[key] = true
			r.stopStray(w, key)
		}
	}
	for _, u := range starts {
		if w.ordersInFlight < maxCallsPerTarget {
			r.sendStart(now, t, w, u)
		}
	}
}

func (r *runner) sendStart(now time.Time, t *csjob.Table, w *target, u *run) {
	j := t.Job(u.key.task.Job)
	if j == nil || j.Released() {
		return
	}
	if j.Task(u.key.task) == nil {
		return // its occurrence is done
	}
	o := StartOrder{
		Task: u.key.task, Attempt: u.key.attempt, Spec: j.Submission.Spec, LeaseEnd: w.grantLease(now, r.options.Timing.Lease),
		Fence: w.fence, Checkpoint: j.Checkpoint(u.key.task),
	}
	record := w.record
	r.sendOrder(w, u, orderStart, func(ctx context.Context) (Reply, error) { return r.options.Workers.Start(ctx, record, o) })
}

// sendOrder calls the target in the background and sends the result to the actor.
func (r *runner) sendOrder(w *target, u *run, kind orderKind, call func(context.Context) (Reply, error)) {
	u.orderInFlight = true
	u.orderTries++
	w.ordersInFlight++
	r.stats.callSent()
	if kind == orderStart {
		u.startsSent++
		r.stats.starts++
		if u.startsSent == 1 && !u.committedAt.IsZero() {
			r.recordWait(waitStartOrder, r.now().Sub(u.committedAt), 1)
		}
	} else {
		r.stats.stops++
	}
	r.options.Metrics.orders.WithLabelValues(orderKindNames[kind]).Inc()
	ctx, timeout := r.ctx, r.options.Timing.CallTimeout
	m := &orderResult{term: r.term, incarnation: w.incarnation, fence: w.fence, key: u.key, kind: kind, sentAt: r.now()}
	go func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m.reply, m.err = call(limited)
		m.arrivedAt = r.now()
		r.send(m)
	}()
}

// stopStray stops a run that the table doesn't list as open, for example one whose start arrived seconds late.
func (r *runner) stopStray(w *target, key runKey) {
	r.log.Info("stray run", zap.Stringer("task", key.task), zap.Int("attempt", int(key.attempt)), zap.String("target", string(w.incarnation.Target)))
	r.sendStop(w, &run{key: key, stop: true})
}

func (r *runner) sendStop(w *target, u *run) {
	record := w.record
	o := StopOrder{Task: u.key.task, Attempt: u.key.attempt, Fence: w.fence}
	r.sendOrder(w, u, orderStop, func(ctx context.Context) (Reply, error) { return r.options.Workers.Stop(ctx, record, o) })
}

func (r *runner) handleOrderResult(m *orderResult) {
	r.stats.callDone(m.err)
	w := r.answeringTarget(m.term, m.incarnation, m.fence)
	if w == nil {
		return
	}
	now := r.now()
	w.noOrdersDue = false
	w.ordersInFlight--
	r.leader.requestRound()
	u := w.runs[m.key]
	if _, stray := w.strays[m.key]; stray && m.err != nil {
		w.strays[m.key] = false
	}
	if m.err != nil {
		r.orderUnanswered(w, u, m, now)
		return
	}
	known := r.recordReply(w, m, now)
	if u == nil {
		return
	}
	u.orderInFlight = false
	if m.reply.Refusal == NotRefused {
		u.onIncarnation = u.onIncarnation || (known && m.kind == orderStart)
		if m.kind == orderStart {
			r.recordStartAnswer(w, u, m, known)
		}
		r.orderAcknowledged(u, m, now)
		r.sendNextOrders(w, now)
		return
	}
	r.orderRefused(w, u, m, now)
}

// recordReply updates the state of the target from the answer to an order. It reports whether the clock in the answer
// belongs to the known incarnation.
func (r *runner) recordReply(w *target, m *orderResult, now time.Time) bool {
	switch {
	case m.reply.Clock == 0:
		w.recordAnswer(now)
		return false
	case !w.clockContinues(m.reply.Clock, m.sentAt, m.arrivedAt):
		r.log.Info("answer of another life", zap.String("target", string(w.incarnation.Target)), zap.Duration("clock", m.reply.Clock),
			zap.Duration("known", w.clock), zap.Duration("age", m.arrivedAt.Sub(w.clockAt)))
		return false
	}
	w.recordClock(m.reply.Clock, m.sentAt, m.arrivedAt, r.options.Timing.LongestLease)
	w.recordAnswer(now)
	return true
}

func (r *runner) orderUnanswered(w *target, u *run, m *orderResult, now time.Time) {
	w.recordFailure(now)
	r.log.Info("order not answered", zap.String("order", orderKindNames[m.kind]), zap.String("job", string(m.key.task.Job)),
		zap.Stringer("task", m.key.task), zap.Int("attempt", int(m.key.attempt)), zap.String("target", string(w.incarnation.Target)),
		zap.Duration("after", now.Sub(m.sentAt)), zap.Error(m.err))
	if u == nil {
		return
	}
	u.orderInFlight = false
	u.nextOrderAt = now
	if u.orderTries > 1 {
		u.nextOrderAt = now.Add(min(orderRetryDelay<<min(u.orderTries-2, 4), maxOrderRetryDelay))
	}
	if m.kind == orderStart && u.orderTries >= maxUnansweredStarts && !u.started && !u.longRunning {
		u.stop = true
	}
}

func (r *runner) orderAcknowledged(u *run, m *orderResult, now time.Time) {
	u.orderTries = 0
	switch m.kind {
	case orderStart:
		r.confirmStart(u)
		u.ackedAt = now
		r.options.Metrics.startTime.Observe(now.Sub(u.since).Seconds())
	case orderStop:
		u.stopped = true
		u.stopAt = now
	}
}

func (r *runner) orderRefused(w *target, u *run, m *orderResult, now time.Time) {
	r.log.Info("order refused", zap.String("order", orderKindNames[m.kind]), zap.String("job", string(m.key.task.Job)),
		zap.Stringer("task", m.key.task), zap.Int("attempt", int(m.key.attempt)), zap.String("target", string(w.incarnation.Target)),
		zap.Stringer("reason", m.reply.Refusal))
	switch m.reply.Refusal {
	case RefusedFence, RefusedWrongTarget:
		r.targetRefused(w, m.reply.Refusal, now)
	case RefusedLeaseExpired:
		u.nextOrderAt = now // retried with a lease based on the clock in this answer
	case RefusedStaleAttempt:
		u.stop = true // the run has ended there, or a stop arrived before the start
	case RefusedUnhealthy:
		r.targetRefused(w, m.reply.Refusal, now)
		if u.isOnlyStart(m) {
			r.endUnstarted(w, u)
			return
		}
		u.stop = true
		u.nextOrderAt = now.Add(orderRetryDelay)
	case RefusedResources, RefusedTicket, RefusedInvalid:
		w.backoffUntil = now.Add(refusalBackoff)
		if u.isOnlyStart(m) {
			r.endUnstarted(w, u)
			return
		}
		u.stop = true // an earlier copy of the start may still arrive
		if m.kind == orderStop {
			u.nextOrderAt = now.Add(orderRetryDelay)
		}
	case NotRefused:
	}
}

// isOnlyStart reports whether the answer is to the only start sent in this term. If so, a refusal means that the run does not
// exist and never will: since the first poll of this term, the fence rejects starts of earlier terms.
func (u *run) isOnlyStart(m *orderResult) bool {
	return m.kind == orderStart && u.startsSent == 1 && !u.started
}

// endUnstarted ends a run whose start the target has refused.
func (r *runner) endUnstarted(w *target, u *run) {
	u.orderInFlight = true // prevents further orders
	r.proposedEnds = append(r.proposedEnds, csjob.End{Task: u.key.task, Attempt: u.key.attempt, Incarnation: w.incarnation, Outcome: csjob.OutcomeNotStarted})
}
