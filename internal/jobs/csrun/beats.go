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

// beat takes in a heartbeat. Changes of the target are committed before it is acknowledged.
func (r *runner) beat(m *beaten) {
	if !r.loaded || !r.o.State.Leading() {
		m.done <- ErrNotLeading
		return
	}
	now := r.now()
	r.work.beats++
	b := m.beat
	life := b.Target.Life
	w := r.targets[life.Target]
	switch {
	case w != nil && life.Born < w.life.Born, r.superseded(b.Target):
		m.done <- nil // a late heartbeat of an earlier life
	case w == nil && r.o.Fleet != nil && r.o.Fleet.Dead(life):
		m.done <- nil // its last heartbeat was overtaken by the end of its VM's stay
	case w == nil:
		r.event(csjob.TargetEvent{Target: b.Target}, m.done, "target joined")
		r.endPredecessors(b.Target)
	case w.life != life:
		r.reborn(w, b)
		m.done <- nil
	default:
		r.heard(w, m, now)
	}
}

func (r *runner) heard(w *target, m *beaten, now time.Time) {
	b := m.beat
	if b.Sequence <= w.sequence && w.sequence > 0 {
		m.done <- nil
		return
	}
	w.sequence = b.Sequence
	w.heardAt = now
	if w.clockAt.IsZero() {
		w.reading(b.Clock, time.Time{}, now, r.o.Timing.LongestLease)
		w.answered(now)
	}
	if sameTarget(w.record, b.Target) {
		m.done <- nil
		return
	}
	r.event(csjob.TargetEvent{Target: b.Target}, m.done, "target changed")
}

func sameTarget(a, b csjob.Target) bool {
	return a.Life == b.Life && a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Room == b.Room &&
		a.Leaving == b.Leaving && slices.Equal(a.Labels, b.Labels)
}

// event adds a change of a target to the next command.
func (r *runner) event(e csjob.TargetEvent, done chan error, what string) {
	r.log.Info(what, zap.String("target", string(e.Target.Life.Target)), zap.Int64("born", e.Target.Life.Born),
		zap.String("pool", string(e.Target.Pool)), zap.String("address", e.Target.Address), zap.Bool("leaving", e.Target.Leaving))
	r.events = append(r.events, e)
	if done != nil {
		r.waiters = append(r.waiters, done)
	}
	r.leader.poke()
}

// superseded tells whether a younger target has the address.
func (r *runner) superseded(t csjob.Target) bool {
	for _, w := range r.targets {
		if w.life.Born > t.Life.Born && w.record.Address == t.Address && w.life.Target != t.Life.Target {
			return true
		}
	}
	return false
}

// endPredecessors ends older targets with the address: it is given out again only after they have ended.
func (r *runner) endPredecessors(t csjob.Target) {
	for _, w := range r.all() {
		if w.record.Address == t.Address && w.life.Target != t.Life.Target {
			r.event(csjob.TargetEvent{Target: w.record, Gone: true}, nil, "target replaced at its address")
		}
	}
}

// reborn takes in a target that started again under its name. Orders for its earlier life may still arrive at the new
// one, so every open run is stopped there before the earlier life counts as over.
func (r *runner) reborn(w *target, b Beat) {
	if w.stopping {
		return
	}
	w.heardAt = r.now()
	if w.successor != b.Target.Life {
		w.successor = b.Target.Life
		w.lapsesAt = r.longestLapse(w.heardAt)
	}
	w.fencing, w.stopping = true, true
	w.clockAt = time.Time{} // the clock of the earlier life tells nothing about what the new one runs
	r.log.Info("target restarted", zap.String("target", string(w.life.Target)), zap.Int64("born", b.Target.Life.Born),
		zap.Int64("before", w.life.Born), zap.Int("runs", len(w.runs)))
	ctx, term, fence := r.ctx, r.term, r.nextFence()
	// The new life refuses what is still on its way to the earlier one. Such a refusal tells nothing of another leader.
	w.fence = fence
	var stops []StopOrder
	for key := range w.runs {
		stops = append(stops, StopOrder{Task: key.task, Attempt: key.attempt, Fence: fence})
	}
	go func() {
		m := &fenced{term: term, beat: b}
		m.ends, m.err = r.fence(ctx, b, stops, fence)
		r.send(m)
	}()
}

// fence stops runs on a new life and returns what ended there.
func (r *runner) fence(ctx context.Context, b Beat, stops []StopOrder, fence csmodel.Fence) ([]Ended, error) {
	for _, s := range stops {
		limited, cancel := context.WithTimeout(ctx, r.o.Timing.CallTimeout)
		reply, err := r.o.Workers.Stop(limited, b.Target, s)
		cancel()
		if err == nil && reply.Refusal != RefusedNot {
			err = fmt.Errorf("%w: %s", ErrRefused, reply.Refusal)
		}
		if err != nil {
			return nil, err
		}
	}
	if len(stops) == 0 {
		return nil, nil
	}
	limited, cancel := context.WithTimeout(ctx, r.o.Timing.CallTimeout)
	defer cancel()
	look, err := r.o.Workers.Look(limited, b.Target, LookOrder{Fence: fence})
	switch {
	case err != nil:
	case look.Refusal != RefusedNot:
		err = fmt.Errorf("%w: %s", ErrRefused, look.Refusal)
	case look.Born != 0 && look.Born != b.Target.Life.Born, len(look.Running) > 0:
		err = ErrNoAnswer // started once more, or stops take a moment; the next heartbeat tries again
	}
	return look.Ended, err
}

func (r *runner) fenced(m *fenced) {
	w := r.targets[m.beat.Target.Life.Target]
	if !r.active || m.term != r.term || w == nil {
		return
	}
	if m.err != nil {
		r.log.Warn("restarted target not fenced", zap.String("target", string(w.life.Target)), zap.Error(m.err))
		if !r.now().After(w.lapsesAt) {
			w.stopping = false // the next heartbeat tries again
			return
		}
		// Nobody has extended a lease there, so what the new life took for the earlier one is over.
	}
	for _, e := range m.ends {
		r.ends = append(r.ends, csjob.End{
			Task: e.Task, Attempt: e.Attempt, Life: m.beat.Target.Life, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
	r.event(csjob.TargetEvent{Target: m.beat.Target}, nil, "target restarted and fenced")
}

// leave takes in the announcement of a target's end. What runs there ends with its lease at the latest.
func (r *runner) leave(m *left) {
	if !r.loaded || !r.o.State.Leading() {
		m.done <- ErrNotLeading
		return
	}
	w := r.targets[m.life.Target]
	if w == nil || (m.life.Born != 0 && m.life.Born != w.life.Born) {
		m.done <- nil
		return
	}
	busy := len(w.runs) > 0
	r.o.State.View(func(t *csjob.Table) { busy = busy || r.occupied(t, w.life) })
	if !busy {
		w.fencing = true // a start that is chosen before the end is committed is not sent
		r.event(csjob.TargetEvent{Target: w.record, Gone: true}, m.done, "target left")
		return
	}
	record := w.record
	record.Leaving = true
	r.event(csjob.TargetEvent{Target: record}, m.done, "target leaves with open runs")
}

// closeLost ends the lives of targets that were silent until everything that ran there has ended. A busy leader may take a
// target for silent whose answers wait to be handled, so a target with open runs is asked once more when its lease is over:
// what it tells of its runs decides rather than the clock. A target that sends heartbeats while no look is answered has longer
// for an answer.
func (r *runner) closeLost(now time.Time, t *csjob.Table) {
	for _, w := range r.all() {
		if w.heardAt.IsZero() {
			w.heardAt = r.since
		}
		silent := now.Sub(w.heardAt)
		if w.stopping || !w.lost(now) || (silent < silentAfter(r.o.Timing.Beat) && !w.deaf(now)) {
			continue
		}
		w.fencing, w.stopping = true, true // until the table has dropped it
		r.log.Warn("target lost", zap.String("target", string(w.life.Target)), zap.Duration("silent", silent),
			zap.Int("deaf_looks", w.deafLooks), zap.Time("listed", w.listedAt), zap.Duration("granted", w.granted),
			zap.Duration("clock", w.clock), zap.Duration("clock_age", now.Sub(w.clockAt)), zap.Int("runs", len(t.TasksOn(w.life))))
		r.event(csjob.TargetEvent{Target: w.record, Gone: true}, nil, "target ended by its lease")
	}
}
