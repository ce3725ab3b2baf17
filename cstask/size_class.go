package cstask

import (
	"cmp"
	"container/heap"
	"math/bits"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// sizeClassKey identifies the waiting tasks of a job whose sizes are within a factor of two. When the first tasks of a class
// do not fit anywhere, the others are assumed not to fit either, so a tick does not try all of them. cpu and memory are
// the bit lengths of the sizes in millicores and MiB.
type sizeClassKey struct {
	job         csmodel.JobID
	cpu, memory int
}

// classEntry is a waiting task in a size class. It is outdated when the task has left the queue since it was added.
type classEntry struct {
	latestStart int64 // Unix nanoseconds
	record      *record
	sequence    uint64
}

func (e classEntry) waiting() bool {
	return e.record.state == StateWaiting && e.record.sequence == e.sequence
}

func compareEntries(a, b classEntry) int {
	return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.record.id, b.record.id))
}

// sizeClass is a heap of waiting tasks by their latest start.
type sizeClass struct {
	key          sizeClassKey
	entries      []classEntry
	lastEstimate time.Duration // estimated run time that the latest starts were computed with; 0 if none
	unplaced     int
	visited      []classEntry // entries that were tried in this tick
}

// Len implements heap.Interface.
func (c *sizeClass) Len() int { return len(c.entries) }

// Less implements heap.Interface.
func (c *sizeClass) Less(i, j int) bool { return compareEntries(c.entries[i], c.entries[j]) < 0 }

// Swap implements heap.Interface.
func (c *sizeClass) Swap(i, j int) { c.entries[i], c.entries[j] = c.entries[j], c.entries[i] }

// Push implements heap.Interface.
func (c *sizeClass) Push(x any) { c.entries = append(c.entries, x.(classEntry)) }

// Pop implements heap.Interface.
func (c *sizeClass) Pop() any {
	last := len(c.entries) - 1
	e := c.entries[last]
	c.entries[last] = classEntry{}
	c.entries = c.entries[:last]
	return e
}

func sizeClassOf(r *record) sizeClassKey {
	cpu, memory := r.cpu, r.memory
	if r.run != nil {
		cpu = max(cpu, r.run.peak.CPU)
		memory = max(memory, r.run.peak.Memory)
	}
	return sizeClassKey{
		job:    r.job.id,
		cpu:    bits.Len64(uint64(cpu)),
		memory: bits.Len64(uint64(memory / csmodel.MiB)),
	}
}

func (s *Scheduler) enqueue(r *record) {
	key := sizeClassOf(r)
	class, ok := s.classes[key]
	if !ok {
		class = &sizeClass{key: key, lastEstimate: s.estimatedRuntime(r.job)}
		s.classes[key] = class
	}
	heap.Push(class, classEntry{latestStart: s.table.latestStart(r), record: r, sequence: r.sequence})
	s.queuedEntries++
}

func (s *Scheduler) estimatedRuntime(j *job) time.Duration {
	if j.estimator == nil {
		return 0
	}
	u, ok := j.estimator.estimate()
	if !ok {
		return 0
	}
	return u.Runtime
}

// head returns the first entry of a size class whose task still waits, and removes outdated entries before it.
func (s *Scheduler) head(class *sizeClass) (classEntry, bool) {
	for len(class.entries) > 0 {
		e := class.entries[0]
		if e.waiting() {
			return e, true
		}
		heap.Pop(class)
		s.queuedEntries--
	}
	return classEntry{}, false
}

// updateLatestStarts recomputes the latest starts of a size class when the estimated run time has changed by more than a
// quarter.
func (s *Scheduler) updateLatestStarts(class *sizeClass) {
	e, ok := s.head(class)
	if !ok {
		return
	}
	estimated := s.estimatedRuntime(e.record.job)
	change := max(estimated, class.lastEstimate) - min(estimated, class.lastEstimate)
	if change <= class.lastEstimate/4 {
		return
	}
	class.lastEstimate = estimated
	for i := range class.entries {
		class.entries[i].latestStart = s.table.latestStart(class.entries[i].record)
	}
	heap.Init(class)
}

// restoreVisited returns the entries that were tried to the heap. Those of leased tasks become outdated when the lease
// commits.
func (c *sizeClass) restoreVisited() {
	for _, e := range c.visited {
		heap.Push(c, e)
	}
	c.visited = c.visited[:0]
	c.unplaced = 0
}

// classQueue is a heap of size classes by their first entry.
type classQueue []classHead

type classHead struct {
	first classEntry
	class *sizeClass
}

// Len implements heap.Interface.
func (q classQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q classQueue) Less(i, j int) bool {
	return compareEntries(q[i].first, q[j].first) < 0
}

// Swap implements heap.Interface.
func (q classQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *classQueue) Push(x any) { *q = append(*q, x.(classHead)) }

// Pop implements heap.Interface.
func (q *classQueue) Pop() any {
	last := len(*q) - 1
	head := (*q)[last]
	*q = (*q)[:last]
	return head
}
