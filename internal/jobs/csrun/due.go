package csrun

import (
	"cmp"
	"slices"
	"time"
)

// dueOrders returns the runs that an order is due for: first those to stop, then those to start, the oldest first. Stops
// have a time limit, and starts go on arriving.
func (t *target) dueOrders(now time.Time) (stops, starts []*run) {
	for _, u := range t.list {
		switch {
		case u.busy || now.Before(u.nextAt):
		case u.stop && !u.stopped:
			stops = append(stops, u)
		case !u.stop && !u.started:
			starts = append(starts, u)
		}
	}
	slices.SortFunc(stops, older)
	slices.SortFunc(starts, older)
	return stops, starts
}

func older(a, b *run) int {
	return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.key.task.Job, b.key.task.Job),
		cmp.Compare(a.key.task.Step, b.key.task.Step), cmp.Compare(a.key.task.Index, b.key.task.Index))
}
