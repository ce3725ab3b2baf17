package cscapacity

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// ThrottlePart is the part of its capacity that a throttled task gives up.
	ThrottlePart = 0.75
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

// Yield chooses the tasks that give way until the freed capacity reaches slots, and those that no longer need to. Tasks
// that are already throttled come first, then those with the most slack, so that tasks seldom change between the two. A
// task without slack keeps its speed.
func Yield(tasks []Task, slots, part float64) (slow, resume []Task) {
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b Task) int {
		return cmp.Or(compareBool(b.Throttled, a.Throttled), cmp.Compare(b.Slack, a.Slack), cmp.Compare(a.Task, b.Task))
	})
	freed := 0.0
	for _, t := range sorted {
		if t.Slack < minSlack || freed >= slots {
			if t.Throttled {
				resume = append(resume, t)
			}
			continue
		}
		freed += t.Slots * part
		if !t.Throttled {
			slow = append(slow, t)
		}
	}
	return slow, resume
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
