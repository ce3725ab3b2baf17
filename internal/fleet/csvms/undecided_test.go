package csvms

import (
	"errors"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

var errUnknown = errors.New("outcome unknown")

// stall holds the commands of the fleet back from now on. Their outcome is not known to it.
func (g *group) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = true
}

// resume ends a stall. The commands that were held back are applied, or are lost.
func (s *stage) resume(apply bool) {
	s.t.Helper()
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = false
	for _, c := range g.held {
		if !apply {
			break
		}
		if _, err := g.apply(c); err != nil {
			s.t.Error(err)
		}
	}
	g.held = nil
}

// rounds makes rounds for a while and calls f after each.
func (s *stage) rounds(d time.Duration, f func()) {
	s.t.Helper()
	end := time.Now().Add(d)
	s.run(2*d, func(*csjob.Table) bool {
		f()
		return time.Now().After(end)
	})
}

// Guards against a move that ends runs: the outcome of its command is not known for longer than a reservation lasts, its VM was
// given free for new tasks meanwhile, and then the command is applied.
func TestOrderWithUnknownOutcomeStaysReserved(t *testing.T) {
	t.Parallel()
	for _, applied := range []bool{true, false} {
		name := "lost"
		if applied {
			name = "applied"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, map[csmodel.PoolID]int{"a": 1, "b": 0})
			s.rounds(300*time.Millisecond, func() {})
			life := csjob.Life{Target: "a-0.0", Born: 1}
			s.group.stall()
			o := &reservation{order: csjob.VMOrder{VM: "a-0", Pool: "b", Life: life}, since: time.Now(), sent: true}
			s.fleet.reserved["a-0"] = o
			s.fleet.commit(time.Now(), []csjob.VMOrder{o.order})
			o.since = o.since.Add(-holdLimit)
			s.rounds(500*time.Millisecond, func() {})
			if !s.fleet.Held().Has(life) {
				t.Error("got the VM free for new tasks, want it held")
			}
			s.resume(applied)
			pool := csmodel.PoolID("a")
			if applied {
				pool = "b"
			}
			s.run(5*time.Second, func(table *csjob.Table) bool {
				return len(s.fleet.reserved) == 0 && len(table.VMOrders()) == 0 && s.cloud.list()[0].Pool == pool
			})
		})
	}
}
