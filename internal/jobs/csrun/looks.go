package csrun

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// lookRetry is the pause after a look that was not answered.
	lookRetry = 250 * time.Millisecond
	// leastWait bounds the wait of a look from below, so that looks at a target whose runs take longer than predicted stay
	// rare.
	leastWait = 200 * time.Millisecond
	// waitMargin is added to the predicted time of the next end: predictions are off by about a fifth.
	waitMargin = 150 * time.Millisecond
	// silentFailures is the number of unanswered calls in a row after which a target counts as silent.
	silentFailures = 2
	// silentLooks is the number of looks without a list in a row after which it does, whatever other calls are answered. It is
	// higher because looks wait for ends and are the first calls that a busy leader reads too late.
	silentLooks = 4
	// endsPerList is the number of ends that a list holds at most, from the platform's protocol. Others follow after an
	// acknowledgement.
	endsPerList = 500
	// missingLooks is the number of looks without a started run after which it is stopped.
	missingLooks = 2
)

// sendLooks looks at targets with open runs, with ends to acknowledge, and once at each new one.
func (r *runner) sendLooks(now time.Time) {
	var first []*target
	onTheirWay := 0
	for _, w := range r.all() {
		unknown := w.fresh && w.failures == 0
		switch {
		case unknown && w.looking:
			onTheirWay++
		case !r.lookDue(w, now):
		case unknown:
			first = append(first, w)
		default:
			r.sendLook(w, now)
		}
	}
	for _, w := range pickFirst(first, onTheirWay) {
		r.sendLook(w, now)
	}
}

func (r *runner) lookDue(w *target, now time.Time) bool {
	spacing := r.o.Timing.LookSpacing
	if w.failures > 1 {
		spacing = lookRetry
	}
	if w.looking || w.fencing || now.Sub(w.lookedAt) < spacing {
		return false
	}
	if w.taken > w.noted {
		return false // the answer would repeat the ends that are being committed
	}
	return w.fresh || len(w.runs) > 0 || w.told < w.noted
}

func (r *runner) sendLook(w *target, now time.Time) {
	o := LookOrder{Fence: w.fence}
	if w.failures == 0 && w.accounted() {
		// After an unanswered call the target may have restarted as well.
		o.Noted = w.noted
	}
	if len(w.runs) > 0 && !w.silent() {
		o.Until = w.until(now, r.o.Timing.Lease)
		w.granted = max(w.granted, o.Until)
		if !w.fresh {
			o.Wait = r.lookWait(w, now)
		}
	}
	w.looking = true
	w.lookedAt = now
	r.o.Metrics.looks.Inc()
	r.work.called()
	r.work.looks++
	ctx, term, life, record := r.ctx, r.term, w.life, w.record
	timeout := w.callTimeout(r.o.Timing.CallTimeout) + o.Wait
	go func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m := &looked{term: term, life: life, order: o, started: now}
		m.look, m.err = r.o.Workers.Look(limited, record, o)
		m.arrived = r.now()
		r.send(m)
	}()
}

// lookWait returns how long the answer to a look may wait for an end. It is no longer than until the next end is expected:
// if the answer is lost, all ends of the target are noticed only after the wait.
func (r *runner) lookWait(w *target, now time.Time) time.Duration {
	wait := r.o.Timing.LookWait
	for _, u := range w.runs {
		if !u.lasting {
			wait = min(wait, max(leastWait, u.expected-now.Sub(u.since)+waitMargin))
		}
	}
	if w.unsettled() {
		wait = min(wait, settleWait)
	}
	return wait
}

// settleWait is the wait of a look while a task that lasts has started and is not at work yet: others of its step may
// wait for it.
const settleWait = 250 * time.Millisecond

func (t *target) unsettled() bool {
	for _, u := range t.runs {
		if u.lasting && u.started && !u.stop && !u.settled {
			return true
		}
	}
	return false
}

// called returns the target that a call of a term was sent to, or nil where its answer no longer matters. An answer from
// before this node led anew, or from before the target was given up and joined again, is dropped: it tells nothing about the
// orders that were sent since. What the target needs next may have changed with the answer.
func (r *runner) called(term csmodel.Term, l csjob.Life, f csmodel.Fence) *target {
	if term != r.term {
		return nil
	}
	w := r.target(l)
	if w == nil || w.fence != f {
		return nil
	}
	w.calm = false
	return w
}

// target returns the state of a life, or nil where it is over.
func (r *runner) target(l csjob.Life) *target {
	if !r.active {
		return nil
	}
	if w := r.targets[l.Target]; w != nil && w.life == l {
		return w
	}
	return nil
}

func (r *runner) looked(m *looked) {
	r.work.returned(m.err)
	w := r.called(m.term, m.life, m.order.Fence)
	if w == nil {
		return
	}
	now := r.now()
	w.looking = false
	w.lookedAt = now
	r.leader.poke()
	if m.err != nil {
		w.unanswered(now)
		w.unlisted(m.started)
		r.log.Info("look not answered", zap.String("target", string(w.life.Target)), zap.Int("failures", w.failures), zap.Error(m.err))
		return
	}
	if m.look.Refusal != RefusedNot {
		w.unlisted(m.started)
		r.refused(w, m.look.Refusal, now)
		return
	}
	if m.look.Born != 0 && m.look.Born != w.life.Born {
		w.unanswered(now) // restarted; its heartbeat tells more
		w.unlisted(m.started)
		return
	}
	if w.fresh {
		// The fence of this look keeps orders of earlier leaders out from now on. A heartbeat before it may have waited, and
		// its clock bounds no lease that was granted meanwhile.
		w.granted = max(w.granted, m.look.Clock+r.o.Timing.LongestLease)
	}
	w.reading(m.look.Clock, m.started, m.arrived, r.o.Timing.LongestLease)
	w.leased = max(w.leased, m.order.Until)
	w.answered(now)
	w.fresh, w.deafLooks = false, 0
	prompt := m.started.Sub(w.listedAt) < promptLook
	w.listedAt = now
	w.told = max(w.told, m.order.Noted)
	r.takeEnds(w, m.look.Ended, now, prompt)
	r.takeProgress(w, m)
}

// refused handles a refusal that concerns the whole target.
func (r *runner) refused(w *target, why Refusal, now time.Time) {
	r.log.Info("target refused", zap.String("target", string(w.life.Target)), zap.Stringer("reason", why))
	switch why {
	case RefusedFence:
		r.resign("a target has seen a higher fence")
	case RefusedLife:
		if !w.fencing {
			w.fencing = true
			r.event(csjob.TargetEvent{Target: w.record, Gone: true}, nil, "another target has the address")
		}
	case RefusedUnhealthy:
		w.restTill = now.Add(restUnhealthy)
		w.failures = max(w.failures, 1)
	case RefusedNot, RefusedOld, RefusedLate, RefusedRoom, RefusedTicket, RefusedInvalid:
	}
}

// promptLook is the longest gap between two looks after which the time of an end is still known well enough to learn from.
const promptLook = 300 * time.Millisecond

func (r *runner) takeEnds(w *target, ended []Ended, now time.Time, prompt bool) {
	for _, e := range ended {
		if e.Number <= w.taken {
			continue
		}
		w.taken = e.Number
		r.noted[w.life] = e.Number
		r.work.ends++
		key := runKey{e.Task, e.Attempt}
		delete(w.strays, key)
		if u := w.runs[key]; u != nil {
			u.ended = true
			r.observe(w, u, e, now, prompt)
		}
		r.ends = append(r.ends, csjob.End{
			Task: e.Task, Attempt: e.Attempt, Life: w.life, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
		r.o.Metrics.ends.WithLabelValues(outcomeNames[e.Outcome]).Inc()
		r.log.Info("end", zap.String("job", string(e.Task.Job)), zap.Stringer("task", e.Task), zap.Int("attempt", int(e.Attempt)),
			zap.String("target", string(w.life.Target)), zap.String("outcome", outcomeNames[e.Outcome]), zap.Int64("number", e.Number),
			zap.Bool("prompt", prompt))
	}
}

// observe learns from the end of a run.
func (r *runner) observe(w *target, u *run, e Ended, now time.Time, prompt bool) {
	switch e.Outcome {
	case csjob.OutcomeDone:
		w.grades.note(now, false)
		if !prompt {
			return
		}
		r.o.State.View(func(t *csjob.Table) {
			if j := t.Job(e.Task.Job); j != nil && j.Tasks != nil {
				r.learned.Observe(j.Submission.Queue, j.Submission.Steps[e.Task.Step], now.Sub(u.since))
			}
		})
	case csjob.OutcomeFailed:
		w.grades.note(now, true)
		if w.grades.quarantined(now) {
			r.log.Warn("target quarantined", zap.String("target", string(w.life.Target)), zap.Int("failed_in_a_row", w.grades.failed),
				zap.Duration("for", quarantineFor))
		}
	case csjob.OutcomeStopped, csjob.OutcomeLapsed, csjob.OutcomeBroken, csjob.OutcomeAlone, csjob.OutcomeUnrun:
	}
}

// takeProgress compares the listed runs with the open ones.
func (r *runner) takeProgress(w *target, m *looked) {
	listed := csmodel.NewSet[runKey]()
	for _, p := range m.look.Running {
		key := runKey{p.Task, p.Attempt}
		listed.Add(key)
		u := w.runs[key]
		if u == nil {
			if _, known := w.strays[key]; !known {
				w.strays[key] = false
			}
			continue
		}
		u.started, u.here = true, true
		u.percent, u.load, u.missing = p.Percent, p.Load, 0
		u.settled = u.settled || p.Percent == fullWork
	}
	for key := range w.strays {
		if !listed.Has(key) {
			delete(w.strays, key)
		}
	}
	if len(m.look.Ended) >= endsPerList {
		return // the end of a run may be on a later list
	}
	ended := csmodel.NewSet[runKey]()
	for _, e := range m.look.Ended {
		ended.Add(runKey{e.Task, e.Attempt})
	}
	for key, u := range w.runs {
		if !listed.Has(key) && !ended.Has(key) {
			r.unlisted(w, u, m.started)
		}
	}
}

// fullWork is the share at which a task that lasts is at work, in percent.
const fullWork = 100

// unlisted handles an open run that the target neither runs nor has ended.
func (r *runner) unlisted(w *target, u *run, lookStarted time.Time) {
	switch {
	case u.stopped && u.stopAt.Before(lookStarted):
		// The stop was acknowledged before the look began: the run never started and cannot start any more.
		r.ends = append(r.ends, csjob.End{Task: u.key.task, Attempt: u.key.attempt, Life: w.life, Outcome: csjob.OutcomeUnrun})
		r.log.Info("run never started", zap.Stringer("task", u.key.task), zap.Int("attempt", int(u.key.attempt)),
			zap.String("target", string(w.life.Target)))
	case u.started && u.ackedAt.Before(lookStarted):
		if u.missing++; u.missing >= missingLooks {
			u.stop = true
		}
	}
}

var outcomeNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "unrun"}
