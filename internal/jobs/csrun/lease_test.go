package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
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

// Guards against a second run while the first may still run: a new leader takes the clock of a target from a heartbeat that
// waited in its own queue, or on its way, and derives from it how long the leases of earlier leaders are at most. The first
// answered look brings the clock up to date, and the leases then counted as over while one of them had seconds left.
func TestFirstLookBoundsEarlierLeases(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration // of the heartbeat until it was handled
	}{
		{"prompt heartbeat", 0},
		{"heartbeat on its way for a second", time.Second},
		{"heartbeat in the queue of a slow leader", 8 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			w.clockAt, w.fresh = time.Time{}, true
			now := r.now()
			beat := Beat{Target: csjob.Target{Life: w.life}, Sequence: 1, Clock: time.Minute - c.delay}
			r.heard(w, &beaten{beat, make(chan error, 1)}, now)
			// An earlier leader's look is carried out just before the first one of this leader.
			lease := time.Minute + r.o.Timing.LongestLease
			w.looking = true
			r.looked(&looked{
				term: 2, life: w.life, started: now, arrived: now, look: Look{Reply: Reply{Clock: time.Minute}, Born: w.life.Born},
			})
			for after := range 10 {
				at := now.Add(time.Duration(after) * time.Second)
				slowest := time.Minute + time.Duration((1-clockDrift)*float64(at.Sub(now)))
				if w.lapsed(at) && slowest <= lease {
					t.Fatalf("got the lease over %s after the look, want it held for %s", at.Sub(now), r.o.Timing.LongestLease)
				}
			}
			if !w.lapsed(now.Add(2 * r.o.Timing.LongestLease)) {
				t.Error("got a lease that is never over")
			}
		})
	}
}

// Guards against stopping a task that lasts while others of its step are away by the leader's own last list: their ends were
// taken in, or they were not listed, and the command that ends them was not committed yet.
func TestRunThatIsNotListedIsNotAtWork(t *testing.T) {
	key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
	cases := []struct {
		name string
		look Look
		want bool
	}{
		{"at work", Look{Running: []Progress{{Task: key.task, Attempt: key.attempt, Percent: fullWork}}}, true},
		{"not at work yet", Look{Running: []Progress{{Task: key.task, Attempt: key.attempt, Percent: fullWork / 2}}}, false},
		{"ended with its lease", Look{Ended: []Ended{{Number: 1, Task: key.task, Attempt: key.attempt, Outcome: csjob.OutcomeLapsed}}}, false},
		{"neither listed nor ended", Look{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			u := &run{key: key, lasting: true, started: true, here: true, percent: fullWork, settled: true}
			w.runs[key] = u
			now := r.now()
			c.look.Clock = time.Minute
			r.looked(&looked{term: 2, life: w.life, order: LookOrder{Until: 2 * time.Minute}, look: c.look, started: now, arrived: now})
			if got := w.atWork(now, u); got != c.want {
				t.Errorf("got at work %v, want %v", got, c.want)
			}
		})
	}
}
