package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Bounds and timeouts for the state of a target.
const (
	// clockDrift is the maximum fraction by which a target's clock may run slower than ours, from the platform's protocol.
	clockDrift = 0.02
	// clockTolerance is the tolerated difference between the clock of an answer and the value extrapolated from an earlier
	// answer. Clocks have a resolution of one millisecond; the remainder allows for a target that is paused briefly.
	clockTolerance = 50 * time.Millisecond
	// leaseMargin is added to the end of a lease before its runs are considered ended.
	leaseMargin = 500 * time.Millisecond
	// unresponsiveGrace is how long after the end of its lease a target that still sends heartbeats may leave polls
	// unanswered. It allows for three polls of minSilentTimeout with lookRetry between them, one for each route that csrelay
	// tries.
	unresponsiveGrace = 2500 * time.Millisecond
	// silentHeartbeats is the number of heartbeat intervals without a sign of life after which a target gets no new tasks.
	silentHeartbeats = 2.5
	// minSilentTargets is the minimum number of silent targets for their availability zone to be considered unreachable. A
	// single silent target is more likely to be faulty itself.
	minSilentTargets = 2
	// restAfterRefusal is how long a target that refused a task gets no new ones.
	restAfterRefusal = 500 * time.Millisecond
	// restUnhealthy is how long a target that reported itself unhealthy gets no new tasks.
	restUnhealthy = 2 * time.Second
)

// runKey identifies a run.
type runKey struct {
	task    csjob.TaskKey
	attempt csjob.Attempt
}

// run is the leader's state of an open run on a target.
type run struct {
	key       runKey
	since     time.Time
	expected  time.Duration // predicted run time
	started   bool          // the target has acknowledged its start or listed it
	here      bool          // the answer is known to come from this life of the target
	ackedAt   time.Time
	lasting   bool // a long-running task whose job is active
	placedDue bool // placed on a VM that will be reclaimed soon, for lack of another; it stays until the VM is reclaimed
	stop      bool // it has to be stopped
	stopped   bool // the target has acknowledged the stop
	stopAt    time.Time
	busy      bool      // an order is in flight
	nextAt    time.Time // no order is sent earlier
	tries     int       // orders since the last acknowledgement
	starts    int       // start orders sent in this term
	missing   int       // polls that didn't list it
	ended     bool      // the target has reported its end, which may not be committed yet
	percent   int       // progress that the target reported last; fullWork for a long-running task in full operation
	load      float64
	settled   bool      // it has reached full operation
	onTime    time.Time // when its job misses its objective; zero until computed
	job       *csjob.Job
	inTable   bool // the table has it as open
}

// target is the leader's state of one life of a target, that is of one start of its process.
type target struct {
	life     csjob.Life
	record   csjob.Target
	fence    csmodel.Fence // fence of orders to this life
	sequence int64
	heardAt  time.Time
	clock    time.Duration // last clock reading of the target
	clockAt  time.Time     // when the answer with the clock arrived; zero if none has
	// clockFrom is when the call with that answer was sent; zero if unknown.
	clockFrom        time.Time
	granted          time.Duration // upper bound of the end of the lease, including leases granted by earlier leaders
	leased           time.Duration // lower bound of the end of the lease: the latest end sent with an answered poll
	fallbackLeaseEnd time.Time     // end of the lease on our clock, used while the target's clock is unknown
	leaseOverAt      time.Time     // when the lease was first found expired; zero while it holds
	deafFrom         time.Time     // start of the last poll without a list of runs
	deafLooks        int           // consecutive polls without a list of runs

	runs           map[runKey]*run
	list           []*run          // the same runs, for iteration
	strays         map[runKey]bool // listed runs that shouldn't exist; true while a stop is in flight
	looking        bool            // a poll is in flight
	fresh          bool            // no poll has been answered yet
	lookedAt       time.Time
	listedAt       time.Time // time of the last answered poll
	noted          int64     // number of the last committed end
	taken          int64     // number of the last end received, which may not be committed yet
	told           int64     // number of the last end acknowledged to the target
	calls          int       // orders in flight
	failures       int       // consecutive unanswered calls
	firstFailureAt time.Time // time of the first of them
	answeredAt     time.Time // time of the last answered call
	restTill       time.Time // no new tasks until then
	fencing        bool      // the life has ended, or its end is being committed: it gets no orders or polls
	// successor is the life that replaces this one under the same name. Runs are stopped there before this life ends.
	successor csjob.Life
	closing   bool // the runs of this life are being stopped on its successor, or its end is proposed
	grades    quarantine
	calm      bool // no run needs an order; reset on each change
	held      int  // last round in which its VM was about to be reclaimed
	due       int  // last round in which its VM was due to be reclaimed soon
	tally     usage
}

// answered records an answer of this life that is handled now.
func (t *target) answered(now time.Time) {
	t.heardAt = now
	t.answeredAt = now
	t.failures = 0
}

// reading records the clock of an answer of this life. began is when the call was sent and zero if unknown. longest is the
// longest lease that an earlier leader may have granted.
func (t *target) reading(clock time.Duration, began, arrived time.Time, longest time.Duration) {
	if clock <= 0 || arrived.Before(t.clockAt) {
		return
	}
	if t.clockAt.IsZero() {
		t.granted = clock + longest
	}
	t.clock, t.clockAt, t.clockFrom = clock, arrived, began
}

// sameLife reports whether the clock of an answer is consistent with the last reading. Each life has its own clock, and the
// answer to an order doesn't identify the life.
func (t *target) sameLife(clock time.Duration, began, arrived time.Time) bool {
	if clock <= 0 || t.clockAt.IsZero() {
		return false
	}
	since := began.Sub(t.clockAt)
	if since > 0 {
		since = time.Duration((1 - clockDrift) * float64(since))
	}
	if clock < t.clock+since-clockTolerance {
		return false
	}
	return t.clockFrom.IsZero() || clock <= t.clock+time.Duration((1+clockDrift)*float64(arrived.Sub(t.clockFrom)))+clockTolerance
}

// accounted reports whether each run that was started in this term is known to be on this life. Otherwise the target may have
// restarted and the run may have ended on the new life, which numbers its ends from the start: acknowledging this life's
// numbers would make the new life discard an end that the leader hasn't received.
func (t *target) accounted() bool {
	for _, u := range t.runs {
		if u.starts > 0 && !u.here {
			return false
		}
	}
	return true
}

// unanswered records a call that was not answered.
func (t *target) unanswered(now time.Time) {
	if t.failures == 0 {
		t.firstFailureAt = now
	}
	t.failures++
}

// unlisted records a poll that returned no list of runs.
func (t *target) unlisted(began time.Time) {
	t.deafFrom = began
	t.deafLooks++
}

// silent reports whether so many consecutive calls or polls were not answered that the lease is no longer extended. If the
// leader went on sending extensions that may have arrived, the runs would stay open forever.
func (t *target) silent() bool { return t.failures >= silentFailures || t.deafLooks >= silentLooks }

// grant returns the end of the lease to send with a start, and records it as granted.
func (t *target) grant(now time.Time, lease time.Duration) time.Duration {
	until := t.until(now, lease)
	if t.silent() {
		return min(until, t.granted)
	}
	t.granted = max(t.granted, until)
	return until
}

// until returns the end of a lease that begins now, on the target's clock, or 0 if that clock is unknown.
func (t *target) until(now time.Time, lease time.Duration) time.Duration {
	if t.clockAt.IsZero() {
		return 0
	}
	return t.clock + now.Sub(t.clockAt) + lease
}

// lapsed reports whether every run there under a lease has certainly ended.
func (t *target) lapsed(now time.Time) bool {
	if t.clockAt.IsZero() {
		return now.After(t.fallbackLeaseEnd)
	}
	least := t.clock + time.Duration((1-clockDrift)*float64(now.Sub(t.clockAt)))
	return least > t.granted+leaseMargin
}

// holds reports whether the lease of the runs there is certainly still valid. It counts from the time the call was sent,
// because the answer may have been delayed on the network or queued on this node.
func (t *target) holds(now time.Time) bool {
	if t.clockFrom.IsZero() {
		return false
	}
	return t.clock+time.Duration((1+clockDrift)*float64(now.Sub(t.clockFrom))) < t.leased
}

// lost reports whether the lease has expired and the target has not answered a poll sent after that. A target without runs
// needs no such poll.
func (t *target) lost(now time.Time) bool {
	if !t.lapsed(now) {
		t.leaseOverAt = time.Time{}
		return false
	}
	if t.leaseOverAt.IsZero() {
		t.leaseOverAt = now
	}
	return len(t.runs) == 0 || (!t.looking && !t.deafFrom.Before(t.leaseOverAt))
}

// unresponsive reports whether to give up a target that still sends heartbeats: its lease has expired, and no poll has been
// answered since.
func (t *target) unresponsive(now time.Time) bool {
	return len(t.runs) > 0 && t.deafLooks > 0 && t.listedAt.Before(t.leaseOverAt) && now.Sub(t.leaseOverAt) >= unresponsiveGrace
}

// usable reports whether the target can take tasks and counts towards the capacity of its pool.
func (t *target) usable(now time.Time, beat time.Duration) bool {
	return !t.record.Leaving && !t.clockAt.IsZero() && !t.silent() && !t.fencing && !t.fresh &&
		now.Sub(t.heardAt) < silenceThreshold(beat) && now.After(t.restTill)
}

// silentZones returns the availability zones in which several targets don't answer and no target has answered since. A
// network partition affects all targets of a zone at once, and each task sent there is stuck until its lease ends.
func (r *runner) silentZones() csmodel.Set[csmodel.AvailabilityZone] {
	if r.failingTargets() < minSilentTargets {
		return nil
	}
	type zoneState struct {
		failing        int
		firstFailureAt time.Time // first unanswered call
		answeredAt     time.Time // last answered call
	}
	zones := map[csmodel.AvailabilityZone]zoneState{}
	for _, w := range r.targets {
		z := zones[w.record.Zone]
		if w.failures > 0 {
			z.failing++
			if z.firstFailureAt.IsZero() || w.firstFailureAt.Before(z.firstFailureAt) {
				z.firstFailureAt = w.firstFailureAt
			}
		}
		if w.answeredAt.After(z.answeredAt) {
			z.answeredAt = w.answeredAt
		}
		zones[w.record.Zone] = z
	}
	out := csmodel.NewSet[csmodel.AvailabilityZone]()
	for zone, z := range zones {
		if z.failing >= minSilentTargets && !z.answeredAt.After(z.firstFailureAt) {
			out.Add(zone)
		}
	}
	return out
}

// failingTargets returns the number of targets whose last call was not answered.
func (r *runner) failingTargets() int {
	n := 0
	for _, w := range r.all() {
		if w.failures > 0 {
			n++
		}
	}
	return n
}

// silenceThreshold returns the time without a sign of life after which a target is considered silent.
func silenceThreshold(beat time.Duration) time.Duration {
	return time.Duration(silentHeartbeats * float64(beat))
}
