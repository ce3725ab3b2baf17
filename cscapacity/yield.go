package cscapacity

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// throttlePart is the part of its capacity that a throttled task gives up.
	throttlePart = 0.75
	// minSlack is the time to its latest start that a task must have left to give way. It covers a burst of some seconds
	// at a quarter of the speed.
	minSlack = 30 * time.Second
)

// Task is a running deferred task of a pool.
type Task struct {
	VM    csmodel.VMID
	Task  csmodel.TaskID
	Fence csmodel.Fence
	Slots float64 // capacity at full speed
	// Slack is the time until the task could not even finish by its deadline if it started over.
	Slack     time.Duration
	Throttled bool
}

// Tasks chooses the tasks of the pool that give way until the freed capacity reaches Yield, and those that no longer need
// to. Tasks that are already throttled come first, then those with the most slack, so that tasks seldom change between the
// two. A task without slack keeps its speed. With Checkpoint a task gives way once, otherwise until it is resumed.
func (s Share) Tasks(tasks []Task) (yield, resume []Task) {
	part := throttlePart
	if s.Checkpoint {
		part = 1
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
		freed += t.Slots * part
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
