package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// SignOfLife is a heartbeat that reports only that the target is alive. Another node has acknowledged it.
type SignOfLife struct {
	_           struct{} `cbor:",toarray"`
	Incarnation csjob.Incarnation
	Sequence    int64
	Age         time.Duration // time from the heartbeat until that node forwarded it
}

// signsOfLifeReceived is the actor message with signs of life that another node forwarded.
type signsOfLifeReceived struct{ signsOfLife []SignOfLife }

// DiffersFrom reports whether the heartbeat describes its target differently from the recorded state.
func (b Heartbeat) DiffersFrom(recorded csjob.Target) bool { return !sameTarget(recorded, b.Target) }

// SignsOfLife handles heartbeats that other nodes have acknowledged. It does not block.
func (l *Leader) SignsOfLife(s []SignOfLife) {
	if len(s) > 0 {
		l.root.Send(l.pid, &signsOfLifeReceived{s})
	}
}

// onSignsOfLife records that targets are alive. It ignores those of an earlier incarnation and those overtaken by a later heartbeat.
func (r *runner) onSignsOfLife(m *signsOfLifeReceived) {
	now := r.now()
	for _, s := range m.signsOfLife {
		w := r.currentTarget(s.Incarnation)
		if w == nil || s.Sequence <= w.sequence && w.sequence > 0 {
			continue
		}
		r.stats.heartbeats++
		w.sequence = s.Sequence
		if at := now.Add(-s.Age); at.After(w.heardAt) {
			w.heardAt = at
		}
	}
}
