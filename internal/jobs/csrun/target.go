package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Bounds of what is known about a target.
const (
	// clockDrift is how much slower than ours the clock of a target may run, from the platform's protocol.
	clockDrift = 0.02
	// clockSlack is how far the clock of an answer may be off what is expected from an earlier one. Clocks are told in whole
	// milliseconds; the rest allows for a target that stands still for a moment.
	clockSlack = 50 * time.Millisecond
	// lapseSlack is added to the end of a lease before its runs count as over.
	lapseSlack = 500 * time.Millisecond
	// deafFor is how long after its lease a target that sends heartbeats has for an answer to a look: three looks of patience
	// with lookRetry between them, one by each way that csrelay tries.
	deafFor = 2500 * time.Millisecond
	// silentBeats is the number of heartbeat intervals after which a target gets no new tasks.
	silentBeats = 2.5
	// silentTargets is the number of targets that have to be silent for their availability zone to count as cut off: one
	// alone is more likely at fault itself.
	silentTargets = 2
	// restAfterRefusal keeps new tasks off a target that refused one.
	restAfterRefusal = 500 * time.Millisecond
	// restUnhealthy keeps new tasks off a target that called itself unhealthy.
	restUnhealthy = 2 * time.Second
)

// runKey names a run.
type runKey struct {
	task    csjob.TaskKey
	attempt csjob.Attempt
}

// run is what the leader knows of an open run on a target.
type run struct {
	key       runKey
	since     time.Time
	expected  time.Duration // predicted run time
	started   bool          // the target has acknowledged or listed it
	here      bool          // it was this life of the target that did so
	ackedAt   time.Time
	lasting   bool
	placedDue bool // it was put on a VM that is due for want of another one, and stays until the VM is taken
	stop      bool // it has to end
	stopped   bool // the target has acknowledged the stop
	stopAt    time.Time
	busy      bool // an order is on its way
	nextAt    time.Time
	tries     int
	starts    int  // starts that were sent in this term
	missing   int  // looks that did not list it
	ended     bool // the target has listed its end, which may not be committed yet
	percent   int
	load      float64
	settled   bool      // it has been at full work
	onTime    time.Time // when its job misses its objective; zero while not computed
	job       *csjob.Job
	open      bool // the table lists it
}

// target is what the leader knows of one life of a target.
type target struct {
	life     csjob.Life
	record   csjob.Target
	fence    csmodel.Fence // of orders to this life
	sequence int64
	heardAt  time.Time
	clock    time.Duration // of the target
	clockAt  time.Time     // when the answer with the clock arrived; zero where none has
	// clockFrom is when the call with that answer began; zero where it is not known.
	clockFrom time.Time
	granted   time.Duration // latest end of the lease; an upper bound of what earlier leaders granted
	leased    time.Duration // latest end of the lease that an answered look has carried; a lower bound
	lapsesAt  time.Time     // fallback while the clock is not known
	overAt    time.Time     // when the lease was first found over; zero while it is not
	deafFrom  time.Time     // start of the last look without a list
	deafLooks int           // looks without a list in a row

	runs     map[runKey]*run
	list     []*run          // the same runs, for walks
	strays   map[runKey]bool // listed runs that should not be there; true while a stop is on its way
	looking  bool
	fresh    bool // no look has been answered yet
	lookedAt time.Time
	listedAt time.Time // last answered look
	noted    int64     // committed ends
	taken    int64     // ends on their way to being committed
	told     int64     // noted ends that the target was told of
	calls    int
	failures int       // unanswered calls in a row
	failedAt time.Time // the first of them
	answerAt time.Time // last answered call
	restTill time.Time
	fencing  bool // the life is over, or about to end in the table: no orders and looks
	// successor is the life that has started under the name and whose runs are being stopped.
	successor csjob.Life
	stopping  bool // the runs of a life that is over are being stopped on the new one
	grades    grades
	calm      bool // no run needs an order, as long as nothing has changed since the last walk
	held      int  // the last round in which its VM was about to be taken away
	due       int  // the last round in which its VM was to be taken away soon
	tally     tally
}

// answered notes a sign of this life that is handled now.
func (t *target) answered(now time.Time) {
	t.heardAt = now
	t.answerAt = now
	t.failures = 0
}

// reading takes in the clock of an answer of this life. The answer is to a call that began at a time, which is zero where it
// is not known.
func (t *target) reading(clock time.Duration, began, arrived time.Time, longest time.Duration) {
	if clock <= 0 || arrived.Before(t.clockAt) {
		return
	}
	if t.clockAt.IsZero() {
		t.granted = clock + longest
	}
	t.clock, t.clockAt, t.clockFrom = clock, arrived, began
}

// sameLife tells whether the clock of an answer goes on from the last reading. Each life has a clock of its own, and the
// answer to an order names no life.
func (t *target) sameLife(clock time.Duration, began, arrived time.Time) bool {
	if clock <= 0 || t.clockAt.IsZero() {
		return false
	}
	since := began.Sub(t.clockAt)
	if since > 0 {
		since = time.Duration((1 - clockDrift) * float64(since))
	}
	if clock < t.clock+since-clockSlack {
		return false
	}
	return t.clockFrom.IsZero() || clock <= t.clock+time.Duration((1+clockDrift)*float64(arrived.Sub(t.clockFrom)))+clockSlack
}

// accounted tells whether each run that was ordered in this term is known to be on this life. Otherwise the target may have
// started again and the run may have ended on the new life, which numbers its ends anew: an acknowledgement of this life's
// numbers would make it forget an end that nobody has seen.
func (t *target) accounted() bool {
	for _, u := range t.runs {
		if u.starts > 0 && !u.here {
			return false
		}
	}
	return true
}

// unanswered counts a call that was not answered.
func (t *target) unanswered(now time.Time) {
	if t.failures == 0 {
		t.failedAt = now
	}
	t.failures++
}

// unlisted notes a look that brought no list.
func (t *target) unlisted(began time.Time) {
	t.deafFrom = began
	t.deafLooks++
}

// silent tells whether so many calls or looks in a row were not answered that the lease is no longer extended. An extension
// that may or may not have arrived would keep the runs open for ever.
func (t *target) silent() bool { return t.failures >= silentFailures || t.deafLooks >= silentLooks }

// grant returns the end of the lease that a start carries.
func (t *target) grant(now time.Time, lease time.Duration) time.Duration {
	until := t.until(now, lease)
	if t.silent() {
		return min(until, t.granted)
	}
	t.granted = max(t.granted, until)
	return until
}

// until returns the end of a lease of a length from now, on the target's clock.
func (t *target) until(now time.Time, lease time.Duration) time.Duration {
	if t.clockAt.IsZero() {
		return 0
	}
	return t.clock + now.Sub(t.clockAt) + lease
}

// lapsed tells whether everything that ran there under a lease has certainly ended.
func (t *target) lapsed(now time.Time) bool {
	if t.clockAt.IsZero() {
		return now.After(t.lapsesAt)
	}
	least := t.clock + time.Duration((1-clockDrift)*float64(now.Sub(t.clockAt)))
	return least > t.granted+lapseSlack
}

// holds tells whether what runs there under a lease certainly has one left. The answer with the clock may have been on its
// way, or waited for this node, since the call began.
func (t *target) holds(now time.Time) bool {
	if t.clockFrom.IsZero() {
		return false
	}
	return t.clock+time.Duration((1+clockDrift)*float64(now.Sub(t.clockFrom))) < t.leased
}

// lost tells whether the lease is over and the target has left a later look without an answer.
func (t *target) lost(now time.Time) bool {
	if !t.lapsed(now) {
		t.overAt = time.Time{}
		return false
	}
	if t.overAt.IsZero() {
		t.overAt = now
	}
	return len(t.runs) == 0 || (!t.looking && !t.deafFrom.Before(t.overAt))
}

// deaf tells whether a target that still sends heartbeats has to be given up: its lease is over, and no look has been answered
// since.
func (t *target) deaf(now time.Time) bool {
	return len(t.runs) > 0 && t.deafLooks > 0 && t.listedAt.Before(t.overAt) && now.Sub(t.overAt) >= deafFor
}

// usable tells whether the target counts as part of its pool.
func (t *target) usable(now time.Time, beat time.Duration) bool {
	return !t.record.Leaving && !t.clockAt.IsZero() && !t.silent() && !t.fencing && !t.fresh &&
		now.Sub(t.heardAt) < silentAfter(beat) && now.After(t.restTill)
}

// silentZones returns the availability zones in which several targets do not answer and none has answered since. A cut
// reaches all targets of a zone at once, and each task that is sent there waits for the end of its lease.
func (r *runner) silentZones() csmodel.Set[csmodel.AvailabilityZone] {
	if r.failing() < silentTargets {
		return nil
	}
	type signs struct {
		failing  int
		failedAt time.Time // the first unanswered call
		answerAt time.Time // the last answered one
	}
	zones := map[csmodel.AvailabilityZone]signs{}
	for _, w := range r.targets {
		z := zones[w.record.Zone]
		if w.failures > 0 {
			z.failing++
			if z.failedAt.IsZero() || w.failedAt.Before(z.failedAt) {
				z.failedAt = w.failedAt
			}
		}
		if w.answerAt.After(z.answerAt) {
			z.answerAt = w.answerAt
		}
		zones[w.record.Zone] = z
	}
	out := csmodel.NewSet[csmodel.AvailabilityZone]()
	for zone, z := range zones {
		if z.failing >= silentTargets && !z.answerAt.After(z.failedAt) {
			out.Add(zone)
		}
	}
	return out
}

// failing returns the number of targets whose last call was not answered.
func (r *runner) failing() int {
	n := 0
	for _, w := range r.all() {
		if w.failures > 0 {
			n++
		}
	}
	return n
}

// silentAfter returns the time without a sign after which a target counts as silent.
func silentAfter(beat time.Duration) time.Duration { return time.Duration(silentBeats * float64(beat)) }
