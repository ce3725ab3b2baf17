package csrequest

import (
	"container/heap"
	"time"
)

// timerKind is the action that a timer triggers.
type timerKind uint8

const (
	timerDeadline       timerKind = iota + 1 // the caller's deadline has passed
	timerHedge                               // an attempt has taken the job's p95
	timerAttemptOverdue                      // no result of an attempt was reported in time
)

// timer is a pending timer of a request. It is ignored if the request has ended when it fires.
type timer struct {
	at       time.Time
	sequence uint64
	id       RequestID
	kind     timerKind
}

// timers is a heap of timers in the order of time. Timers with equal times fire in the order of creation.
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

func (r *Router) startTimer(at time.Time, id RequestID, kind timerKind) {
	r.sequence++
	heap.Push(&r.timers, timer{at: at, sequence: r.sequence, id: id, kind: kind})
}
