package csrun

import (
	"cmp"
	"slices"
	"time"
)

// dueOrders returns the runs to stop and to start now, each sorted by age, oldest first. They are separate because stops are
// sent first: stops have a time limit, while starts keep arriving. A run whose end was reported needs no order.
func (t *target) dueOrders(now time.Time) (stops, starts []*run) {
	for _, u := range t.list {
		switch {
		case u.orderInFlight || u.ended || now.Before(u.nextOrderAt):
		case u.stop && !u.stopped:
			stops = append(stops, u)
		case !u.stop && !u.started:
			starts = append(starts, u)
		}
	}
	slices.SortFunc(stops, compareAge)
	slices.SortFunc(starts, compareAge)
	return stops, starts
}

func compareAge(a, b *run) int {
	return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.key.task.Job, b.key.task.Job),
		cmp.Compare(a.key.task.Step, b.key.task.Step), cmp.Compare(a.key.task.Index, b.key.task.Index))
}
