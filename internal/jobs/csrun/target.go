package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// Bounds and timeouts for the state of a target.
const (
	// maxClockDrift is the maximum fraction by which a target's clock may run slower than ours, from the platform's protocol.
	maxClockDrift = 0.02
	// clockTolerance is the tolerated difference between the clock of an answer and the value extrapolated from an earlier
	// answer. Clocks have a resolution of one millisecond; the remainder allows for a target that is paused briefly.
	clockTolerance = 50 * time.Millisecond
	// leaseMargin is added to the end of a lease before its runs are considered ended.
	leaseMargin = 500 * time.Millisecond
	// unresponsiveGrace is how long after the end of its lease a target that still sends heartbeats may leave polls
	// unanswered. It allows for three polls of minSilentTimeout with pollRetryDelay between them, one for each route that csrelay
	// tries.
	unresponsiveGrace = 2500 * time.Millisecond
	// silentHeartbeats is the number of heartbeat intervals without a sign of life after which a target gets no new tasks.
	silentHeartbeats = 2.5
	// minSilentTargets is the minimum number of silent targets for their availability zone to be considered unreachable. A
	// single silent target is more likely to be faulty itself.
	minSilentTargets = 2
	// refusalBackoff is how long a target that refused a task gets no new ones.
	refusalBackoff = 500 * time.Millisecond
	// unhealthyBackoff is how long a target that reported itself unhealthy gets no new tasks.
	unhealthyBackoff = 2 * time.Second
)

// runKey identifies a run.
type runKey struct {
	task    csjob.TaskKey
	attempt csjob.Attempt
}

// run is the leader's state of an open run on a target.
type run struct {
	key                runKey
	since              time.Time          // when the leader decided to start it
	startDelay         time.Duration      // from since until it began on the target; expected until the start is answered
	committedAt        time.Time          // when this leader saw the commit of the start; zero for runs of earlier leaders
	startClock         time.Duration      // clock of the target when it answered the only start order; zero if unknown
	expected           time.Duration      // predicted run time
	prediction         *csplan.Prediction // nil if unknown
	mayCopy            bool               // its step allows copies
	copy               bool               // started beside another run of its task
	started            bool               // the target has acknowledged its start or listed it
	onIncarnation      bool               // the answer is known to come from this incarnation of the target
	ackedAt            time.Time
	longRunning        bool // a long-running task whose job is active
	placedEvictingSoon bool // placed on a VM that will be reclaimed soon, for lack of another; it stays until the VM is reclaimed
	stop               bool // it has to be stopped
	stopped            bool // the target has acknowledged the stop
	stopAt             time.Time
	orderInFlight      bool      // an order is in flight
	nextOrderAt        time.Time // no order is sent earlier
	orderTries         int       // orders since the last acknowledgement
	startsSent         int       // start orders sent in this term
	missedPolls        int       // polls that didn't list it
	ended              bool      // the target has reported its end, which may not be committed yet
	percent            int       // progress that the target reported last; fullWork for a long-running task in full operation
	load               float64
	becameReady        bool      // it has reached full operation
	deadline           time.Time // when its job misses its objective; zero until computed
	job                *csjob.Job
	inTable            bool // the table has it as open
}

// target is the leader's state of one incarnation of a target, that is of one start of its process.
type target struct {
	incarnation csjob.Incarnation
	record      csjob.Target
	fence       csmodel.Fence // fence of orders to this incarnation
	sequence    int64
	heardAt     time.Time
	clock       time.Duration // last clock reading of the target
	clockAt     time.Time     // when the answer with the clock arrived; zero if none has
	// clockSentAt is when the call with that answer was sent; zero if unknown.
	clockSentAt      time.Time
	maxLeaseEnd      time.Duration // upper bound of the end of the lease, including leases granted by earlier leaders
	minLeaseEnd      time.Duration // lower bound of the end of the lease: the latest end sent with an answered poll
	fallbackLeaseEnd time.Time     // end of the lease on our clock, used while the target's clock is unknown
	leaseOverAt      time.Time     // when the lease was first found expired; zero while it holds
	unansweredPollAt time.Time     // start of the last poll without a list of runs
	unansweredPolls  int           // consecutive polls without a list of runs

	runs            map[runKey]*run
	list            []*run          // the same runs, for iteration
	strays          map[runKey]bool // listed runs that shouldn't exist; true while a stop is in flight
	polling         bool            // a poll is in flight
	unpolled        bool            // no poll has been answered yet
	polledAt        time.Time
	listedAt        time.Time     // time of the last answered poll
	listClock       time.Duration // clock of the target in that answer
	callTime        movingMean    // from an order until its answer
	committedEnd    int64         // number of the last committed end
	receivedEnd     int64         // number of the last end received, which may not be committed yet
	acknowledgedEnd int64         // number of the last end acknowledged to the target
	ordersInFlight  int           // orders in flight
	failures        int           // consecutive unanswered calls
	firstFailureAt  time.Time     // time of the first of them
	answeredAt      time.Time     // time of the last answered call
	backoffUntil    time.Time     // no new tasks until then
	closed          bool          // the incarnation has ended, or its end is being committed: it gets no orders or polls
	// successor is the incarnation that replaces this one under the same name. Runs are stopped there before this incarnation ends.
	successor         csjob.Incarnation
	closing           bool // the runs of this incarnation are being stopped on its successor, or its end is proposed
	quarantine        quarantine
	noOrdersDue       bool // no run needs an order; reset on each change
	heldRound         int  // last round in which its VM was about to be reclaimed
	evictingSoonRound int  // last round in which its VM was to be reclaimed soon
	usage             usage
	speed             speed
	peers             *speed  // of targets with the same rack and labels; nil before its first run
	cost              float64 // computed at costAt
	costAt            time.Time
	slow              bool // it counted as slow in the last round
	returning         int  // number of runs up to which a target that was slow is preferred; zero if it is ordinary
}

// recordAnswer records an answer of this incarnation that is handled now.
func (t *target) recordAnswer(now time.Time) {
	t.heardAt = now
	t.answeredAt = now
	t.failures = 0
}

// recordClock records the clock of an answer of this incarnation. sentAt is when the call was sent and zero if unknown. longest is the
// longest lease that an earlier leader may have granted.
func (t *target) recordClock(clock time.Duration, sentAt, arrivedAt time.Time, longest time.Duration) {
	if clock <= 0 || arrivedAt.Before(t.clockAt) {
		return
	}
	if t.clockAt.IsZero() {
		t.maxLeaseEnd = clock + longest
	}
	t.clock, t.clockAt, t.clockSentAt = clock, arrivedAt, sentAt
}

// clockContinues reports whether the clock of an answer is consistent with the last reading. Each incarnation has its own clock, and the
// answer to an order doesn't identify the incarnation.
func (t *target) clockContinues(clock time.Duration, sentAt, arrivedAt time.Time) bool {
	if clock <= 0 || t.clockAt.IsZero() {
		return false
	}
	since := sentAt.Sub(t.clockAt)
	if since > 0 {
		since = time.Duration((1 - maxClockDrift) * float64(since))
	}
	if clock < t.clock+since-clockTolerance {
		return false
	}
	return t.clockSentAt.IsZero() || clock <= t.clock+time.Duration((1+maxClockDrift)*float64(arrivedAt.Sub(t.clockSentAt)))+clockTolerance
}

// startsConfirmed reports whether each run that was started in this term is known to be on this incarnation. Otherwise the target may have
// restarted and the run may have ended on the new incarnation, which numbers its ends from the start: acknowledging this incarnation's
// numbers would make the new incarnation discard an end that the leader hasn't received.
func (t *target) startsConfirmed() bool {
	for _, u := range t.runs {
		if u.startsSent > 0 && !u.onIncarnation {
			return false
		}
	}
	return true
}

// recordFailure records a call that was not answered.
func (t *target) recordFailure(now time.Time) {
	if t.failures == 0 {
		t.firstFailureAt = now
	}
	t.failures++
}

// recordUnansweredPoll records a poll that returned no list of runs.
func (t *target) recordUnansweredPoll(sentAt time.Time) {
	t.unansweredPollAt = sentAt
	t.unansweredPolls++
}

// silent reports whether so many consecutive calls or polls were not answered that the lease is no longer extended. If the
// leader went on sending extensions that may have arrived, the runs would stay open forever.
func (t *target) silent() bool {
	return t.failures >= maxUnansweredCalls || t.unansweredPolls >= maxUnlistedPolls
}

// grantLease returns the end of the lease to send with a start, and records it as granted.
func (t *target) grantLease(now time.Time, lease time.Duration) time.Duration {
	until := t.leaseEnd(now, lease)
	if t.silent() {
		return min(until, t.maxLeaseEnd)
	}
	t.maxLeaseEnd = max(t.maxLeaseEnd, until)
	return until
}

// leaseEnd returns the end of a lease that begins now, on the target's clock, or 0 if that clock is unknown.
func (t *target) leaseEnd(now time.Time, lease time.Duration) time.Duration {
	if t.clockAt.IsZero() {
		return 0
	}
	return t.clock + now.Sub(t.clockAt) + lease
}

// leaseExpired reports whether every run there under a lease has certainly ended.
func (t *target) leaseExpired(now time.Time) bool {
	if t.clockAt.IsZero() {
		return now.After(t.fallbackLeaseEnd)
	}
	least := t.clock + time.Duration((1-maxClockDrift)*float64(now.Sub(t.clockAt)))
	return least > t.maxLeaseEnd+leaseMargin
}

// leaseHolds reports whether the lease of the runs there is certainly still valid. It counts from the time the call was sent,
// because the answer may have been delayed on the network or queued on this node.
func (t *target) leaseHolds(now time.Time) bool {
	if t.clockSentAt.IsZero() {
		return false
	}
	return t.clock+time.Duration((1+maxClockDrift)*float64(now.Sub(t.clockSentAt))) < t.minLeaseEnd
}

// lost reports whether the lease has expired and the target has not answered a poll sent after that. A target without runs
// needs no such poll, and a closed one gets none.
func (t *target) lost(now time.Time) bool {
	if !t.leaseExpired(now) {
		t.leaseOverAt = time.Time{}
		return false
	}
	if t.leaseOverAt.IsZero() {
		t.leaseOverAt = now
	}
	return len(t.runs) == 0 || t.closed || (!t.polling && !t.unansweredPollAt.Before(t.leaseOverAt))
}

// unresponsive reports whether to give up a target that still sends heartbeats: its lease has expired, and no poll has been
// answered since.
func (t *target) unresponsive(now time.Time) bool {
	return len(t.runs) > 0 && t.unansweredPolls > 0 && t.listedAt.Before(t.leaseOverAt) && now.Sub(t.leaseOverAt) >= unresponsiveGrace
}

// usable reports whether the target can take tasks and counts towards the capacity of its pool.
func (t *target) usable(now time.Time, interval time.Duration) bool {
	return !t.record.Draining && !t.clockAt.IsZero() && !t.silent() && !t.closed && !t.unpolled &&
		now.Sub(t.heardAt) < silenceThreshold(interval) && now.After(t.backoffUntil)
}

// silentZones returns the availability zones in which several targets have stopped answering since the last answer of any target there. A
// network partition affects all targets of a zone at once, and each task sent there is stuck until its lease ends. Targets that fell
// silent earlier tell nothing of the zone.
func (r *runner) silentZones() csmodel.Set[csmodel.AvailabilityZone] {
	if r.failingTargets() < minSilentTargets {
		return nil
	}
	answeredAt := map[csmodel.AvailabilityZone]time.Time{} // last answered call
	for _, w := range r.targets {
		if zone := w.record.Zone; w.answeredAt.After(answeredAt[zone]) {
			answeredAt[zone] = w.answeredAt
		}
	}
	failing := map[csmodel.AvailabilityZone]int{}
	for _, w := range r.targets {
		if zone := w.record.Zone; w.failures > 0 && !answeredAt[zone].After(w.firstFailureAt) {
			failing[zone]++
		}
	}
	out := csmodel.NewSet[csmodel.AvailabilityZone]()
	for zone, n := range failing {
		if n >= minSilentTargets {
			out.Add(zone)
		}
	}
	return out
}

// failingTargets returns the number of targets whose last call was not answered.
func (r *runner) failingTargets() int {
	n := 0
	for _, w := range r.targetsByName() {
		if w.failures > 0 {
			n++
		}
	}
	return n
}

// silenceThreshold returns the time without a sign of life after which a target is considered silent.
func silenceThreshold(interval time.Duration) time.Duration {
	return time.Duration(silentHeartbeats * float64(interval))
}
