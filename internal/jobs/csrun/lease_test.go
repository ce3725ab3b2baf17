package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against stopping a long-running task while other tasks of its step have ended because a busy leader extended their
// lease too late: no call has failed, and the last list is younger than maxListAge.
func TestRunWithoutLeaseIsUnavailable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name   string
		age    time.Duration // time since the poll that returned the clock began
		leased time.Duration // remaining lease at that clock; zero if no lease was confirmed
		polled bool          // the clock is from a poll, not from a heartbeat
		want   bool
	}{
		{"valid lease", 900 * time.Millisecond, time.Second, true, true},
		{"expired lease", 1100 * time.Millisecond, time.Second, true, false},
		{"lease expired if the clock is fast", 990 * time.Millisecond, time.Second, true, false},
		{"clock from a heartbeat", 0, time.Second, false, false},
		{"no confirmed lease", 100 * time.Millisecond, 0, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &target{clock: time.Minute, clockAt: now, listedAt: now.Add(-time.Second)}
			if c.polled {
				w.clockSentAt = now.Add(-c.age)
			}
			if c.leased > 0 {
				w.minLeaseEnd = w.clock + c.leased
			}
			u := &run{started: true, percent: readyPercent}
			if got := w.runAvailable(now, u); got != c.want {
				t.Errorf("got available %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a second run of a task while the first may still run. A new leader takes the clock of a target from a
// heartbeat that was delayed in its queue or in the network, and derives from it the latest end of the leases of earlier
// leaders. When the first answered poll updated the clock, these leases counted as expired although one of them had seconds
// left.
func TestFirstPollBoundsEarlierLeases(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration // of the heartbeat until it was handled
	}{
		{"prompt heartbeat", 0},
		{"heartbeat delayed in the network for 1 s", time.Second},
		{"heartbeat delayed in the queue of a slow leader for 8 s", 8 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			w.clockAt, w.unpolled = time.Time{}, true
			now := r.now()
			heartbeat := Heartbeat{Target: csjob.Target{Incarnation: w.incarnation}, Sequence: 1, Clock: time.Minute - c.delay}
			r.refreshTarget(w, &heartbeatReceived{heartbeat, make(chan error, 1)}, now)
			// A poll of an earlier leader is carried out just before the first poll of this leader.
			lease := time.Minute + r.options.Timing.LongestLease
			w.polling = true
			r.handlePollResult(&pollResult{
				term: 2, incarnation: w.incarnation, sentAt: now, arrivedAt: now, response: PollResponse{Reply: Reply{Clock: time.Minute}, StartedAtMs: w.incarnation.StartedAtMs},
			})
			for after := range 10 {
				at := now.Add(time.Duration(after) * time.Second)
				slowest := time.Minute + time.Duration((1-maxClockDrift)*float64(at.Sub(now)))
				if w.leaseExpired(at) && slowest <= lease {
					t.Fatalf("lease counts as expired %s after the poll, want it valid for %s", at.Sub(now), r.options.Timing.LongestLease)
				}
			}
			if !w.leaseExpired(now.Add(2 * r.options.Timing.LongestLease)) {
				t.Error("lease never expires")
			}
		})
	}
}

// Guards against stopping a long-running task while other tasks of its step are unavailable according to the leader's own last
// list: their ends were listed, or they were missing from the list, and the command that ends them was not committed yet.
func TestUnlistedRunIsUnavailable(t *testing.T) {
	key := runKey{task: csjob.TaskKey{Job: "a"}, attempt: 1}
	cases := []struct {
		name     string
		response PollResponse
		want     bool
	}{
		{"available", PollResponse{Running: []Progress{{Task: key.task, Attempt: key.attempt, Percent: readyPercent}}}, true},
		{"not ready yet", PollResponse{Running: []Progress{{Task: key.task, Attempt: key.attempt, Percent: readyPercent / 2}}}, false},
		{"ended because the lease expired", PollResponse{Ended: []RunEnd{{Number: 1, Task: key.task, Attempt: key.attempt, Outcome: csjob.OutcomeLost}}}, false},
		{"neither listed nor ended", PollResponse{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestRunner(2)
			u := &run{key: key, longRunning: true, started: true, onIncarnation: true, percent: readyPercent, becameReady: true}
			w.runs[key] = u
			now := r.now()
			c.response.Clock = time.Minute
			r.handlePollResult(&pollResult{term: 2, incarnation: w.incarnation, order: PollRequest{LeaseEnd: 2 * time.Minute}, response: c.response, sentAt: now, arrivedAt: now})
			if got := w.runAvailable(now, u); got != c.want {
				t.Errorf("got available %v, want %v", got, c.want)
			}
		})
	}
}
