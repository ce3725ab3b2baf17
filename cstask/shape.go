package cstask

import (
	"cmp"
	"container/heap"
	"math/bits"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// shapeKey groups the waiting tasks of a job whose sizes are within a factor of two. When the first tasks of a shape do
// not fit anywhere, the others will not either, so a tick need not look at all of them.
type shapeKey struct {
	job         csmodel.JobID
	cpu, memory int
}

// entry is a waiting task in a shape. It is outdated when the task has left the queue since.
type entry struct {
	key      int64 // latest start
	record   *record
	sequence uint64
}

func (e entry) current() bool {
	return e.record.state == StateWaiting && e.record.sequence == e.sequence
}

func compareEntries(a, b entry) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.record.id, b.record.id))
}

// shape is a heap of waiting tasks, earliest latest-start first.
type shape struct {
	key     shapeKey
	entries []entry
	runtime time.Duration // learned run time that the keys were computed with; 0 if none
	misses  int
	later   []entry // entries that were looked at in this tick
}

// Len implements heap.Interface.
func (s *shape) Len() int { return len(s.entries) }

// Less implements heap.Interface.
func (s *shape) Less(i, j int) bool { return compareEntries(s.entries[i], s.entries[j]) < 0 }

// Swap implements heap.Interface.
func (s *shape) Swap(i, j int) { s.entries[i], s.entries[j] = s.entries[j], s.entries[i] }

// Push implements heap.Interface.
func (s *shape) Push(x any) { s.entries = append(s.entries, x.(entry)) }

// Pop implements heap.Interface.
func (s *shape) Pop() any {
	last := len(s.entries) - 1
	e := s.entries[last]
	s.entries[last] = entry{}
	s.entries = s.entries[:last]
	return e
}

func keyOf(r *record) shapeKey {
	cpu, memory := r.cpu, r.memory
	if r.run != nil {
		cpu = max(cpu, r.run.peak.CPU)
		memory = max(memory, r.run.peak.Memory)
	}
	return shapeKey{
		job:    r.job.id,
		cpu:    bits.Len64(uint64(cpu)),
		memory: bits.Len64(uint64(memory / csmodel.MiB)),
	}
}

func (s *Scheduler) enqueue(r *record) {
	k := keyOf(r)
	sh, ok := s.shapes[k]
	if !ok {
		sh = &shape{key: k, runtime: s.learnedRuntime(r.job)}
		s.shapes[k] = sh
	}
	heap.Push(sh, entry{key: s.table.latestStart(r), record: r, sequence: r.sequence})
	s.queued++
}

func (s *Scheduler) learnedRuntime(j *job) time.Duration {
	if j.sizes == nil {
		return 0
	}
	u, ok := j.sizes.estimate()
	if !ok {
		return 0
	}
	return u.Runtime
}

// head returns the first current entry of a shape.
func (s *Scheduler) head(sh *shape) (entry, bool) {
	for len(sh.entries) > 0 {
		e := sh.entries[0]
		if e.current() {
			return e, true
		}
		heap.Pop(sh)
		s.queued--
	}
	return entry{}, false
}

// refresh computes the keys of a shape anew when the learned run time has moved by more than a quarter.
func (s *Scheduler) refresh(sh *shape) {
	e, ok := s.head(sh)
	if !ok {
		return
	}
	learned := s.learnedRuntime(e.record.job)
	change := max(learned, sh.runtime) - min(learned, sh.runtime)
	if change <= sh.runtime/4 {
		return
	}
	sh.runtime = learned
	for i := range sh.entries {
		sh.entries[i].key = s.table.latestStart(sh.entries[i].record)
	}
	heap.Init(sh)
}

// restore puts the entries that were looked at back. Those whose task was leased become outdated when that commits.
func (s *shape) restore() {
	for _, e := range s.later {
		heap.Push(s, e)
	}
	s.later = s.later[:0]
	s.misses = 0
}

// front orders shapes by their first entry.
type front []candidate

type candidate struct {
	first entry
	shape *shape
}

// Len implements heap.Interface.
func (f front) Len() int { return len(f) }

// Less implements heap.Interface.
func (f front) Less(i, j int) bool { return compareEntries(f[i].first, f[j].first) < 0 }

// Swap implements heap.Interface.
func (f front) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *front) Push(x any) { *f = append(*f, x.(candidate)) }

// Pop implements heap.Interface.
func (f *front) Pop() any {
	last := len(*f) - 1
	c := (*f)[last]
	*f = (*f)[:last]
	return c
}
