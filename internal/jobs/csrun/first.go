package csrun

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstLooks bounds the first looks of a new leader that are on their way. At grown size it would look at 349 targets at
	// once, and heartbeats and messages of the group would wait behind the answers.
	firstLooks = 64
	// patience is the time for the answer to a look at a target whose last calls were not answered. On a busy leader an
	// answer waits in its own queues: commits took up to 680 ms there, and 200 ms for a call were often too short.
	patience = 600 * time.Millisecond
)

// pickFirst returns the targets of a new leader to look at now: those with tasks that last first, because their leases have
// to be extended, then those with other runs, then idle ones.
func pickFirst(waiting []*target, onTheirWay int) []*target {
	slices.SortStableFunc(waiting, func(a, b *target) int { return cmp.Compare(b.weight(), a.weight()) })
	return waiting[:min(len(waiting), max(0, firstLooks-onTheirWay))]
}

// weight ranks targets by what ends with their lease.
func (t *target) weight() int {
	n := min(len(t.list), 1)
	for _, u := range t.list {
		if u.lasting {
			return 2
		}
	}
	return n
}

// callTimeout returns the time for the answer to a look, besides the time that it waits.
func (t *target) callTimeout(usual time.Duration) time.Duration {
	if t.silent() {
		return max(usual, patience)
	}
	return usual
}
