package csrun

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: 349 targets send 230 heartbeats per second. Other nodes acknowledge those that report no change and forward them in
// batches, which may contain late or repeated signs of life, or signs of life of an incarnation that has ended.
func TestSignsOfLife(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	incarnation := csjob.Incarnation{Target: "t", StartedAtMs: 5}
	cases := []struct {
		name         string
		signOfLife   SignOfLife
		inactive     bool
		want         time.Time
		wantSequence int64 // sequence afterwards
	}{
		{"new", SignOfLife{Incarnation: incarnation, Sequence: 4, Age: 200 * time.Millisecond}, false, now.Add(-200 * time.Millisecond), 4},
		{"older than an answer", SignOfLife{Incarnation: incarnation, Sequence: 4, Age: 9 * time.Second}, false, now.Add(-5 * time.Second), 4},
		{"repeated", SignOfLife{Incarnation: incarnation, Sequence: 3}, false, now.Add(-5 * time.Second), 3},
		{"of an earlier incarnation", SignOfLife{Incarnation: csjob.Incarnation{Target: "t", StartedAtMs: 4}, Sequence: 9}, false, now.Add(-5 * time.Second), 3},
		{"of an unknown target", SignOfLife{Incarnation: csjob.Incarnation{Target: "u", StartedAtMs: 5}, Sequence: 9}, false, now.Add(-5 * time.Second), 3},
		{"to a node that does not lead", SignOfLife{Incarnation: incarnation, Sequence: 4}, true, now.Add(-5 * time.Second), 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &target{incarnation: incarnation, sequence: 3, heardAt: now.Add(-5 * time.Second)}
			r := &runner{options: Options{Clock: clockwork.NewFakeClockAt(now)}, termState: termState{
				active: !c.inactive, targets: map[csjob.TargetID]*target{"t": w},
			}}
			r.onSignsOfLife(&signsOfLifeReceived{[]SignOfLife{c.signOfLife}})
			if !w.heardAt.Equal(c.want) || w.sequence != c.wantSequence {
				t.Errorf("got heard at %s with sequence %d, want %s and %d", w.heardAt, w.sequence, c.want, c.wantSequence)
			}
		})
	}
}

// A heartbeat that reports a change is not just a sign of life: the change has to be committed before it is acknowledged.
func TestHeartbeatWithChange(t *testing.T) {
	recorded := csjob.Target{
		Incarnation: csjob.Incarnation{Target: "t", StartedAtMs: 5}, Pool: "p", Address: "a", Zone: "z", Resources: csjob.Resources{CPU: 1, Memory: 2, GPUs: 3},
		Labels: []string{"l"},
	}
	cases := []struct {
		name   string
		change func(*csjob.Target)
		want   bool
	}{
		{"nothing", func(*csjob.Target) {}, false},
		{"incarnation", func(t *csjob.Target) { t.Incarnation.StartedAtMs++ }, true},
		{"pool", func(t *csjob.Target) { t.Pool = "q" }, true},
		{"address", func(t *csjob.Target) { t.Address = "b" }, true},
		{"zone", func(t *csjob.Target) { t.Zone = "y" }, true},
		{"resources", func(t *csjob.Target) { t.Resources.CPU++ }, true},
		{"draining", func(t *csjob.Target) { t.Draining = true }, true},
		{"labels", func(t *csjob.Target) { t.Labels = []string{"m"} }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := Heartbeat{Target: recorded}
			c.change(&b.Target)
			if got := b.DiffersFrom(recorded); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
