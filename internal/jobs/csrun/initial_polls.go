package csrun

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxInitialPolls is the maximum number of concurrent first polls of a new leader. In a deployment of 349 targets, polling
	// all of them at once would delay heartbeats and consensus messages behind the answers.
	maxInitialPolls = 64
	// minSilentTimeout is the minimum timeout of a poll of a target whose last calls were not answered. On a busy leader answers
	// wait in its own queues: commits took up to 680 ms there, and a call timeout of 200 ms was often too short.
	minSilentTimeout = 600 * time.Millisecond
)

// pickInitialPolls returns the targets that a new leader polls now: first those with long-running tasks, because their leases
// have to be extended, then those with other runs, then idle ones.
func pickInitialPolls(unpolled []*target, inFlight int) []*target {
	slices.SortStableFunc(unpolled, func(a, b *target) int { return cmp.Compare(b.pollPriority(), a.pollPriority()) })
	return unpolled[:min(len(unpolled), max(0, maxInitialPolls-inFlight))]
}

// sendNextInitialPoll replaces an answered first poll by the next one. Otherwise first polls would advance only once per round,
// and rounds of a busy leader are up to maxPause apart.
func (r *runner) sendNextInitialPoll(now time.Time) {
	for len(r.initialPolls) > 0 {
		w := r.initialPolls[0]
		r.initialPolls = r.initialPolls[1:]
		if w.unpolled && r.currentTarget(w.incarnation) == w && r.pollDue(w, now) {
			r.sendPoll(w, now)
			return
		}
	}
}

// pollPriority ranks a target by what would end with its lease: 2 for long-running tasks, 1 for other runs, 0 for none.
func (t *target) pollPriority() int {
	priority := min(len(t.list), 1)
	for _, u := range t.list {
		if u.longRunning {
			return 2
		}
	}
	return priority
}

// pollTimeout returns the timeout of a poll, excluding the time that the target may wait for a run to end.
func (t *target) pollTimeout(usual time.Duration) time.Duration {
	if t.silent() {
		return max(usual, minSilentTimeout)
	}
	return usual
}
