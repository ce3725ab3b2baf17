package csrun

import (
	"testing"
	"time"
)

// Guards against stopping a task that lasts while others of its step have ended with a lease that a busy leader extended too
// late: no call has failed, and the last list is younger than listFresh.
func TestTaskWithoutALeaseIsNotAtWork(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name   string
		from   time.Duration // since the look with the clock began
		leased time.Duration // left of the lease at the time of that clock
		known  bool
		want   bool
	}{
		{"lease holds", 900 * time.Millisecond, time.Second, true, true},
		{"lease is over", 1100 * time.Millisecond, time.Second, true, false},
		{"a fast clock ends the lease", 990 * time.Millisecond, time.Second, true, false},
		{"clock of a heartbeat", 0, time.Second, false, false},
		{"no lease was confirmed", 100 * time.Millisecond, 0, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &target{clock: time.Minute, clockAt: now, listedAt: now.Add(-time.Second)}
			if c.known {
				w.clockFrom = now.Add(-c.from)
			}
			if c.leased > 0 {
				w.leased = w.clock + c.leased
			}
			u := &run{started: true, percent: fullWork}
			if got := w.atWork(now, u); got != c.want {
				t.Errorf("got at work %v, want %v", got, c.want)
			}
		})
	}
}
