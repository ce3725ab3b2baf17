package cscapacity

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// throttledFraction is the fraction of its capacity that a throttled task gives up.
	throttledFraction = 0.75
	// minSlack is the slack that a task must have left to yield. It covers a burst of some seconds at a quarter of full
	// speed.
	minSlack = 30 * time.Second
)

// Task is a running deferred task of a pool.
type Task struct {
	VM    csmodel.VMID
	Task  csmodel.TaskID
	Fence csmodel.Fence
	Slots float64 // capacity at full speed
	// Slack is the time after which the task, if it started over, could no longer finish by its deadline.
	Slack     time.Duration
	Throttled bool
}

// Tasks selects the tasks of the pool that must yield until the freed capacity reaches Yield, and the throttled tasks
// that resume. Tasks that are already throttled come first, then those with the most slack, so that tasks seldom change
// between throttled and full speed. A task with too little slack is never slowed. With Checkpoint a task yields once,
// otherwise until it is resumed.
func (s DeferredLimit) Tasks(tasks []Task) (yield, resume []Task) {
	fraction := throttledFraction
	if s.Checkpoint {
		fraction = 1
	}
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b Task) int {
		return cmp.Or(compareBool(b.Throttled, a.Throttled), cmp.Compare(b.Slack, a.Slack), cmp.Compare(a.Task, b.Task))
	})
	freed := 0.0
	for _, t := range sorted {
		if t.Slack < minSlack || freed >= s.Yield {
			if t.Throttled {
				resume = append(resume, t)
			}
			continue
		}
		freed += t.Slots * fraction
		if s.Checkpoint || !t.Throttled {
			yield = append(yield, t)
		}
	}
	return yield, resume
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
