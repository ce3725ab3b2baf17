package csrun

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// callsPerTarget bounds the orders on their way to one target. Its connections are bounded, and each new one is
	// charged.
	callsPerTarget = 3
	// orderRetry is the pause before an order is sent for the third time. It doubles up to orderRetryMost. The second time
	// follows at once: most targets that leave one order unanswered answer the next one.
	orderRetry     = 200 * time.Millisecond
	orderRetryMost = time.Second
	// startTries is the number of unanswered starts after which the run is stopped instead. A task that lasts may be at work
	// already, and a stop would take it away from its step; its start is sent again until a look tells.
	startTries = 2
)

type orderKind uint8

const (
	orderStart orderKind = iota
	orderStop
)

var orderNames = [...]string{"start", "stop"}

// sendOrders sends the starts and stops that are due.
func (r *runner) sendOrders(now time.Time, t *csjob.Table) {
	for _, w := range r.all() {
		if w.calm || w.fencing || w.fresh || w.clockAt.IsZero() {
			continue
		}
		w.calm = w.ordersDone()
		r.sendOrdersTo(now, t, w)
	}
}

// ordersDone tells whether no run needs an order. Runs, answers and evictions change that.
func (t *target) ordersDone() bool {
	for _, u := range t.list {
		if (u.stop && !u.stopped) || (!u.stop && !u.started) {
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
		if w.calls < callsPerTarget {
			r.stop(w, u)
		}
	}
	for key, sent := range w.strays {
		if !sent && w.calls < callsPerTarget {
			w.strays[key] = true
			r.stopStray(w, key)
		}
	}
	for _, u := range starts {
		if w.calls < callsPerTarget {
			r.start(now, t, w, u)
		}
	}
}

func (r *runner) start(now time.Time, t *csjob.Table, w *target, u *run) {
	j := t.Job(u.key.task.Job)
	if j == nil || j.Tasks == nil {
		return
	}
	o := StartOrder{
		Task: u.key.task, Attempt: u.key.attempt, Spec: j.Submission.Spec, Until: w.grant(now, r.o.Timing.Lease),
		Fence: w.fence, Checkpoint: j.Task(u.key.task).Checkpoint,
	}
	record := w.record
	r.order(w, u, orderStart, func(ctx context.Context) (Reply, error) { return r.o.Workers.Start(ctx, record, o) })
}

// order calls the target and reports the answer to the actor.
func (r *runner) order(w *target, u *run, kind orderKind, call func(context.Context) (Reply, error)) {
	u.busy = true
	u.tries++
	w.calls++
	r.work.called()
	if kind == orderStart {
		u.starts++
		r.work.starts++
	} else {
		r.work.stops++
	}
	r.o.Metrics.orders.WithLabelValues(orderNames[kind]).Inc()
	ctx, timeout := r.ctx, r.o.Timing.CallTimeout
	m := &ordered{term: r.term, life: w.life, fence: w.fence, key: u.key, kind: kind, began: r.now()}
	go func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m.reply, m.err = call(limited)
		m.arrived = r.now()
		r.send(m)
	}()
}

// stopStray ends a run that should not be there, for example one whose start arrived seconds late.
func (r *runner) stopStray(w *target, key runKey) {
	r.log.Info("stray run", zap.Stringer("task", key.task), zap.Int("attempt", int(key.attempt)), zap.String("target", string(w.life.Target)))
	r.stop(w, &run{key: key, stop: true})
}

func (r *runner) stop(w *target, u *run) {
	record := w.record
	o := StopOrder{Task: u.key.task, Attempt: u.key.attempt, Fence: w.fence}
	r.order(w, u, orderStop, func(ctx context.Context) (Reply, error) { return r.o.Workers.Stop(ctx, record, o) })
}

func (r *runner) ordered(m *ordered) {
	r.work.returned(m.err)
	w := r.called(m.term, m.life, m.fence)
	if w == nil {
		return
	}
	now := r.now()
	w.calm = false
	w.calls--
	r.leader.poke()
	u := w.runs[m.key]
	if _, stray := w.strays[m.key]; stray && m.err != nil {
		w.strays[m.key] = false
	}
	if m.err != nil {
		r.unanswered(w, u, m, now)
		return
	}
	known := r.replied(w, m, now)
	if u == nil {
		return
	}
	u.busy = false
	if m.reply.Refusal == RefusedNot {
		u.here = u.here || (known && m.kind == orderStart)
		r.acknowledged(u, m, now)
		return
	}
	r.orderRefused(w, u, m, now)
}

// replied takes in what the answer to an order tells of the target. It returns whether the clock of the answer shows that it
// is of the life that is known.
func (r *runner) replied(w *target, m *ordered, now time.Time) bool {
	switch {
	case m.reply.Clock == 0:
		w.answered(now)
		return false
	case !w.sameLife(m.reply.Clock, m.began, m.arrived):
		r.log.Info("answer of another life", zap.String("target", string(w.life.Target)), zap.Duration("clock", m.reply.Clock),
			zap.Duration("known", w.clock), zap.Duration("age", m.arrived.Sub(w.clockAt)))
		return false
	}
	w.reading(m.reply.Clock, m.began, m.arrived, r.o.Timing.LongestLease)
	w.answered(now)
	return true
}

func (r *runner) unanswered(w *target, u *run, m *ordered, now time.Time) {
	w.unanswered(now)
	r.log.Info("order not answered", zap.String("order", orderNames[m.kind]), zap.String("job", string(m.key.task.Job)),
		zap.Stringer("task", m.key.task), zap.Int("attempt", int(m.key.attempt)), zap.String("target", string(w.life.Target)),
		zap.Duration("after", now.Sub(m.began)), zap.Error(m.err))
	if u == nil {
		return
	}
	u.busy = false
	u.nextAt = now
	if u.tries > 1 {
		u.nextAt = now.Add(min(orderRetry<<min(u.tries-2, 4), orderRetryMost))
	}
	if m.kind == orderStart && u.tries >= startTries && !u.started && !u.lasting {
		u.stop = true
	}
}

func (r *runner) acknowledged(u *run, m *ordered, now time.Time) {
	u.tries = 0
	switch m.kind {
	case orderStart:
		u.started = true
		u.ackedAt = now
		r.o.Metrics.startTime.Observe(now.Sub(u.since).Seconds())
	case orderStop:
		u.stopped = true
		u.stopAt = now
	}
}

func (r *runner) orderRefused(w *target, u *run, m *ordered, now time.Time) {
	r.log.Info("order refused", zap.String("order", orderNames[m.kind]), zap.String("job", string(m.key.task.Job)),
		zap.Stringer("task", m.key.task), zap.Int("attempt", int(m.key.attempt)), zap.String("target", string(w.life.Target)),
		zap.Stringer("reason", m.reply.Refusal))
	switch m.reply.Refusal {
	case RefusedFence, RefusedLife:
		r.refused(w, m.reply.Refusal, now)
	case RefusedLate:
		u.nextAt = now // sent again with the clock of this answer
	case RefusedOld:
		u.stop = true // it has ended there, or a stop has overtaken it
	case RefusedUnhealthy:
		r.refused(w, m.reply.Refusal, now)
		if u.onlyStart(m) {
			r.unrun(w, u)
			return
		}
		u.stop = true
		u.nextAt = now.Add(orderRetry)
	case RefusedRoom, RefusedTicket, RefusedInvalid:
		w.restTill = now.Add(restAfterRefusal)
		if u.onlyStart(m) {
			r.unrun(w, u)
			return
		}
		u.stop = true // an earlier copy of the order may still arrive
		if m.kind == orderStop {
			u.nextAt = now.Add(orderRetry)
		}
	case RefusedNot:
	}
}

// onlyStart tells whether an answer is to the only start of this term. Then its refusal means that the run does not exist
// and never will: starts of earlier terms are refused since the first look of this one, by their fence.
func (u *run) onlyStart(m *ordered) bool {
	return m.kind == orderStart && u.starts == 1 && !u.started
}

// unrun ends a run that the target has refused.
func (r *runner) unrun(w *target, u *run) {
	u.busy = true // no further order
	r.ends = append(r.ends, csjob.End{Task: u.key.task, Attempt: u.key.attempt, Life: w.life, Outcome: csjob.OutcomeUnrun})
}
