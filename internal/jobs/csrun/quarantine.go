package csrun

import "time"

// Quarantine of targets on which runs fail.
const (
	// failureWindow is how long a failure counts: a longer gap between two failures restarts the count.
	failureWindow = 6 * time.Second
	// quarantineThreshold is the number of consecutive failed runs that starts a quarantine.
	quarantineThreshold = 3
	// quarantineDuration is how long a failing target gets no new tasks before it is retried.
	quarantineDuration = 3 * time.Second
)

// quarantine tracks consecutive failed runs on a target and its quarantine.
type quarantine struct {
	failuresInRow int // consecutive failed runs
	lastFailure   time.Time
	until         time.Time
}

// recordEnd records the end of a run.
func (q *quarantine) recordEnd(now time.Time, failed bool) {
	if !failed {
		q.failuresInRow = 0
		q.until = time.Time{}
		return
	}
	if now.Sub(q.lastFailure) > failureWindow {
		q.failuresInRow = 0
	}
	q.failuresInRow++
	q.lastFailure = now
	if q.failuresInRow >= quarantineThreshold {
		q.until = now.Add(quarantineDuration)
	}
}

// suspect reports whether the target should get a task only if no other target can take it.
func (q *quarantine) suspect() bool { return q.failuresInRow > 0 }

// quarantined reports whether the target must not get tasks.
func (q *quarantine) quarantined(now time.Time) bool { return now.Before(q.until) }
