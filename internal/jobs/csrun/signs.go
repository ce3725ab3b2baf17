package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Sign is a heartbeat that tells nothing new but that the target is alive. Another store has acknowledged it.
type Sign struct {
	_        struct{} `cbor:",toarray"`
	Life     csjob.Life
	Sequence int64
	Age      time.Duration // time from the heartbeat until the store passed it on
}

// signs are messages of the actor.
type signs struct{ signs []Sign }

// Changes tells whether a heartbeat says something else of its target than what is recorded.
func (b Beat) Changes(recorded csjob.Target) bool { return !sameTarget(recorded, b.Target) }

// Signs takes in heartbeats that other stores have acknowledged. It does not block.
func (l *Leader) Signs(s []Sign) {
	if len(s) > 0 {
		l.root.Send(l.pid, &signs{s})
	}
}

// signed notes that targets are alive. A sign of an earlier life, or one that a later heartbeat has overtaken, tells nothing.
func (r *runner) signed(m *signs) {
	now := r.now()
	for _, s := range m.signs {
		w := r.target(s.Life)
		if w == nil || s.Sequence <= w.sequence && w.sequence > 0 {
			continue
		}
		r.work.beats++
		w.sequence = s.Sequence
		if at := now.Add(-s.Age); at.After(w.heardAt) {
			w.heardAt = at
		}
	}
}
