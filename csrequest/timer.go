package csrequest

import (
	"container/heap"
	"time"
)

type timerKind uint8

const (
	timerDeadline timerKind = iota + 1 // the caller's timeout
	timerHedge                         // the job's p95 has passed
	timerLinger                        // an attempt is given up
)

// timer is a pending event of a request. Timers of requests that ended are ignored when they fire.
type timer struct {
	at       time.Time
	sequence uint64
	id       RequestID
	kind     timerKind
}

// timers is a heap in the order of time. Equal times fire in the order of creation.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if c := t[i].at.Compare(t[j].at); c != 0 {
		return c < 0
	}
	return t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (r *Router) after(at time.Time, id RequestID, kind timerKind) {
	r.sequence++
	heap.Push(&r.timers, timer{at: at, sequence: r.sequence, id: id, kind: kind})
}
