package csrun

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// onHeartbeat handles a heartbeat. If it reports a change of the target, it is acknowledged once the change is committed.
func (r *runner) onHeartbeat(m *heartbeatReceived) {
	if !r.tableLoaded || !r.options.State.Leading() {
		m.done <- ErrNotLeading
		return
	}
	now := r.now()
	r.stats.heartbeats++
	b := m.heartbeat
	incarnation := b.Target.Incarnation
	w := r.targets[incarnation.Target]
	switch {
	case !r.poolKnown(w, b.Target):
		// Another writer's, or of a pool that is not configured yet or any more. It is acknowledged, so that no other store is asked.
		r.unknownPools.Do(func() {
			r.log.Warn("heartbeat with unknown pool", zap.String("target", string(incarnation.Target)), zap.String("pool", string(b.Target.Pool)),
				zap.String("address", b.Target.Address))
		})
		m.done <- nil
	case r.outdated(w, b.Target):
		m.done <- nil
	case w == nil && r.options.Fleet != nil && r.options.Fleet.Ended(incarnation):
		m.done <- nil // late heartbeat of a target whose VM was reclaimed
	case w == nil:
		r.addTargetEvent(csjob.TargetEvent{Target: b.Target}, m.done, "target joined")
		r.checkPredecessors(b.Target)
	case w.incarnation != incarnation:
		r.onRestart(w, b)
		m.done <- nil
	default:
		r.refreshTarget(w, m, now)
	}
}

// poolKnown reports whether a heartbeat names a pool of the configuration. A target that has joined keeps its pool after a configuration
// has removed it, because its runs go on. Before the first configuration there are no runs, and every pool counts as known.
func (r *runner) poolKnown(w *target, reported csjob.Target) bool {
	if w != nil && w.incarnation == reported.Incarnation && w.record.Pool == reported.Pool {
		return true
	}
	known := false
	r.options.State.View(func(t *csjob.Table) { known = t.Config() == nil || t.HasPool(reported.Pool) })
	return known
}

func (r *runner) refreshTarget(w *target, m *heartbeatReceived, now time.Time) {
	b := m.heartbeat
	if b.Sequence <= w.sequence && w.sequence > 0 {
		m.done <- nil
		return
	}
	w.sequence = b.Sequence
	w.heardAt = now
	if w.clockAt.IsZero() {
		w.recordClock(b.Clock, time.Time{}, now, r.options.Timing.LongestLease)
		w.recordAnswer(now)
	}
	if sameTarget(w.record, b.Target) {
		m.done <- nil
		return
	}
	r.addTargetEvent(csjob.TargetEvent{Target: b.Target}, m.done, "target changed")
}

func sameTarget(a, b csjob.Target) bool {
	return a.Incarnation == b.Incarnation && a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Resources == b.Resources &&
		a.Draining == b.Draining && slices.Equal(a.Labels, b.Labels)
}

// addTargetEvent adds a change of a target to the next command. done, if not nil, receives the result of the commit.
func (r *runner) addTargetEvent(e csjob.TargetEvent, done chan error, what string) {
	r.log.Info(what, zap.String("target", string(e.Target.Incarnation.Target)), zap.Int64("born", e.Target.Incarnation.StartedAtMs),
		zap.String("pool", string(e.Target.Pool)), zap.String("address", e.Target.Address), zap.Bool("leaving", e.Target.Draining))
	r.targetChanges = append(r.targetChanges, targetChange{e, done})
	r.leader.requestRound()
}

// outdated reports whether a heartbeat is a late one of an incarnation that has ended: its target has restarted since, or the target is
// not known and one that was started later has its address.
func (r *runner) outdated(w *target, reported csjob.Target) bool {
	switch {
	case w == nil:
		return r.addressReused(reported)
	case w.incarnation == reported.Incarnation:
		return false
	default:
		return reported.Incarnation.StartedAtMs < w.incarnation.StartedAtMs || r.addressReused(reported)
	}
}

// addressReused reports whether a target that was started later has the same address.
func (r *runner) addressReused(t csjob.Target) bool {
	return slices.ContainsFunc(r.addresses.at(t.Address), func(id csjob.TargetID) bool {
		return id != t.Incarnation.Target && r.targets[id].incarnation.StartedAtMs > t.Incarnation.StartedAtMs
	})
}

// checkPredecessors asks whether older targets with the same address are still there. An address is reused only after its previous
// holder has ended, but the heartbeat alone doesn't prove that: it may be another program's.
func (r *runner) checkPredecessors(t csjob.Target) {
	for _, id := range r.addresses.at(t.Address) {
		if id != t.Incarnation.Target {
			r.checkAddress(r.targets[id])
		}
	}
}

// checkAddress calls a target to find out whether it still has its address. It doesn't wait for a poll in flight, which may be an
// earlier holder's and would then end with its timeout.
func (r *runner) checkAddress(w *target) {
	r.options.Metrics.polls.Inc()
	r.stats.callSent()
	r.stats.polls++
	ctx, record, timeout := r.ctx, w.record, r.options.Timing.CallTimeout
	m := &addressChecked{term: r.term, incarnation: w.incarnation, fence: w.fence}
	go func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m.response, m.err = r.options.Workers.Poll(limited, record, PollRequest{Fence: m.fence})
		r.send(m)
	}()
}

// onAddressChecked ends a target whose address has passed on. Any other answer, or none, is left to its polls and its lease.
func (r *runner) onAddressChecked(m *addressChecked) {
	r.stats.callDone(m.err)
	w := r.answeringTarget(m.term, m.incarnation, m.fence)
	if w != nil && m.err == nil && m.response.Refusal == RefusedWrongTarget {
		r.targetRefused(w, m.response.Refusal, r.now())
	}
}

// onRestart handles a target that has restarted under its name. Orders for its previous incarnation may still arrive at the new
// one, so every open run is stopped there before the previous incarnation is considered ended.
func (r *runner) onRestart(w *target, b Heartbeat) {
	if w.closing {
		return
	}
	w.heardAt = r.now()
	if w.successor != b.Target.Incarnation {
		w.successor = b.Target.Incarnation
		w.fallbackLeaseEnd = r.latestLeaseEnd(w.heardAt)
	}
	w.closed, w.closing = true, true
	w.clockAt = time.Time{} // the clock of the previous incarnation says nothing about the runs of the new one
	r.log.Info("target restarted", zap.String("target", string(w.incarnation.Target)), zap.Int64("born", b.Target.Incarnation.StartedAtMs),
		zap.Int64("before", w.incarnation.StartedAtMs), zap.Int("runs", len(w.runs)))
	ctx, term, fence := r.ctx, r.term, r.nextFence()
	// The new incarnation refuses orders that were sent to the previous one. Such a refusal doesn't mean that there is a newer leader.
	w.fence = fence
	var stops []StopOrder
	for key := range w.runs {
		stops = append(stops, StopOrder{Task: key.task, Attempt: key.attempt, Fence: fence})
	}
	go func() {
		m := &restartFenced{term: term, heartbeat: b}
		m.ends, m.err = r.stopOnSuccessor(ctx, b, stops, fence)
		r.send(m)
	}()
}

// stopOnSuccessor stops the given runs on a new incarnation and returns the runs that have ended there.
func (r *runner) stopOnSuccessor(ctx context.Context, b Heartbeat, stops []StopOrder, fence csmodel.Fence) ([]RunEnd, error) {
	for _, s := range stops {
		limited, cancel := context.WithTimeout(ctx, r.options.Timing.CallTimeout)
		reply, err := r.options.Workers.Stop(limited, b.Target, s)
		cancel()
		if err == nil && reply.Refusal != NotRefused {
			err = fmt.Errorf("%w: %s", ErrRefused, reply.Refusal)
		}
		if err != nil {
			return nil, err
		}
	}
	if len(stops) == 0 {
		return nil, nil
	}
	limited, cancel := context.WithTimeout(ctx, r.options.Timing.CallTimeout)
	defer cancel()
	look, err := r.options.Workers.Poll(limited, b.Target, PollRequest{Fence: fence})
	switch {
	case err != nil:
	case look.Refusal != NotRefused:
		err = fmt.Errorf("%w: %s", ErrRefused, look.Refusal)
	case look.StartedAtMs != 0 && look.StartedAtMs != b.Target.Incarnation.StartedAtMs, len(look.Running) > 0:
		err = ErrNoAnswer // restarted again, or a stop is not complete yet; the next heartbeat retries
	}
	return look.Ended, err
}

func (r *runner) onRestartFenced(m *restartFenced) {
	w := r.targets[m.heartbeat.Target.Incarnation.Target]
	if !r.active || m.term != r.term || w == nil {
		return
	}
	if m.err != nil {
		r.log.Warn("fencing of restarted target failed", zap.String("target", string(w.incarnation.Target)), zap.Error(m.err))
		if !r.now().After(w.fallbackLeaseEnd) {
			w.closing = false // the next heartbeat retries
			return
		}
		// The longest lease has expired since the restart and none was extended, so every run that the new incarnation accepted for
		// the previous one has ended.
	}
	for _, e := range m.ends {
		r.proposedEnds = append(r.proposedEnds, csjob.End{
			Task: e.Task, Attempt: e.Attempt, Incarnation: m.heartbeat.Target.Incarnation, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
	r.addTargetEvent(csjob.TargetEvent{Target: m.heartbeat.Target}, nil, "target restarted and fenced")
}

// onLeave handles a target's announcement that it is leaving. Its runs end no later than its lease.
func (r *runner) onLeave(m *leaveReceived) {
	if !r.tableLoaded || !r.options.State.Leading() {
		m.done <- ErrNotLeading
		return
	}
	w := r.targets[m.incarnation.Target]
	if w == nil || (m.incarnation.StartedAtMs != 0 && m.incarnation.StartedAtMs != w.incarnation.StartedAtMs) {
		m.done <- nil
		return
	}
	busy := len(w.runs) > 0
	r.options.State.View(func(t *csjob.Table) { busy = busy || r.occupied(t, w.incarnation) })
	if !busy {
		w.closed = true // a start that is placed before the end is committed is not sent
		r.addTargetEvent(csjob.TargetEvent{Target: w.record, Ended: true}, m.done, "target left")
		return
	}
	record := w.record
	record.Draining = true
	r.addTargetEvent(csjob.TargetEvent{Target: record}, m.done, "target is leaving with open runs")
}

// endLostTargets ends the incarnations of targets that have been silent until all their runs have ended. To a busy leader a target may
// seem silent while its answers are queued, so a target with open runs is polled once more after its lease has expired, and
// its answer takes precedence over the clock. A target that sends heartbeats but answers no poll gets more time.
func (r *runner) endLostTargets(now time.Time, t *csjob.Table) {
	for _, w := range r.targetsByName() {
		if w.heardAt.IsZero() {
			w.heardAt = r.since
		}
		silent := now.Sub(w.heardAt)
		if w.closing || !w.lost(now) || (silent < silenceThreshold(r.options.Timing.HeartbeatInterval) && !w.unresponsive(now)) {
			continue
		}
		w.closed, w.closing = true, true // until the table has removed it
		r.log.Warn("target lost", zap.String("target", string(w.incarnation.Target)), zap.Duration("silent", silent),
			zap.Int("deaf_looks", w.unansweredPolls), zap.Time("listed", w.listedAt), zap.Duration("granted", w.maxLeaseEnd),
			zap.Duration("clock", w.clock), zap.Duration("clock_age", now.Sub(w.clockAt)), zap.Int("runs", len(t.TasksOn(w.incarnation))))
		r.addTargetEvent(csjob.TargetEvent{Target: w.record, Ended: true}, nil, "target removed after its lease expired")
	}
}
