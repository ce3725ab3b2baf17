package csrun

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a new leader knows hundreds of targets and none of their clocks. Looks at all of them at once would delay its
// heartbeats, and leases of tasks that last would be extended last (rules AVAIL and LOST).
func TestFirstLooksAreBounded(t *testing.T) {
	lasting := map[runKey]*run{{attempt: 1}: {}, {attempt: 2}: {lasting: true}}
	busy := map[runKey]*run{{attempt: 1}: {}, {attempt: 2}: {}}
	var waiting []*target
	for n := range 3 * firstLooks {
		w := &target{life: csjob.Life{Target: csjob.TargetID(fmt.Sprint(n))}}
		switch {
		case n%10 == 9:
			w.runs = lasting
		case n%2 == 1:
			w.runs = busy
		}
		waiting = append(waiting, w)
	}
	if got := len(pickFirst(waiting, firstLooks+1)); got != 0 {
		t.Errorf("got %d looks beyond the bound, want none", got)
	}
	got := pickFirst(waiting, 4)
	if got, want := len(got), firstLooks-4; got != want {
		t.Errorf("got %d looks, want %d", got, want)
	}
	for n := 1; n < len(got); n++ {
		if a, b := got[n-1].weight(), got[n].weight(); a < b {
			t.Errorf("look %d: got a target of weight %d before one of %d", n, a, b)
		}
	}
	if got, want := got[0].weight(), 2; got != want {
		t.Errorf("got a target of weight %d first, want %d: tasks that last", got, want)
	}
}

// Pattern: a target answers again after a silence, with a list of tasks whose lease is about to end. They must not count as
// at work while others of their step are stopped (rule AVAIL).
func TestAtWorkNeedsALease(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name      string
		confirmed time.Duration // after the last reading of the clock
		age       time.Duration // of that reading
		want      bool
	}{
		{"extended by an answered look", 5 * time.Second, time.Second, true},
		{"never extended", 0, 0, false},
		{"about to end", time.Second, time.Second - leaseMargin, false},
		{"over", time.Second, 1500 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &target{clock: time.Hour, clockAt: now.Add(-c.age), listedAt: now.Add(-c.age)}
			if c.confirmed > 0 {
				w.confirmed = w.clock + c.confirmed
			}
			u := &run{lasting: true, started: true, percent: fullWork}
			if got := w.atWork(now, u); got != c.want {
				t.Errorf("got at work %t, want %t", got, c.want)
			}
		})
	}
}
