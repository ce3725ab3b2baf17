package cstask

import (
	"container/heap"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// bucketWidth is the granularity of forgetting. Buckets make ending a task O(1).
const bucketWidth = int64(time.Minute)

// history holds the ended records in buckets of the later of deadline and end.
type history struct {
	records map[csmodel.TaskID]*ended
	buckets map[int64]*ended // first record of each bucket
	order   buckets
	bytes   int
	floor   int64 // latest deadline that was forgotten early
}

func newHistory() history {
	return history{records: make(map[csmodel.TaskID]*ended), buckets: make(map[int64]*ended)}
}

func (h *history) add(e *ended) {
	b := max(e.deadline, e.at) / bucketWidth
	first, ok := h.buckets[b]
	if !ok {
		heap.Push(&h.order, b)
	}
	e.next = first
	h.buckets[b] = e
	h.records[e.id] = e
	h.bytes += len(e.result)
}

// forget drops the buckets past their retention, then the oldest ones until the limits hold. Repeats of the former are
// refused because their deadlines are older than the retention, repeats of the latter because of the floor.
func (h *history) forget(now int64, l Limits) {
	for len(h.order) > 0 && (h.order[0]+1)*bucketWidth+int64(l.Retention) <= now {
		h.drop()
	}
	for len(h.order) > 0 && (len(h.records) > l.Ended || h.bytes > l.Bytes) {
		h.floor = max(h.floor, h.drop())
	}
}

// drop forgets the oldest bucket and returns the latest deadline in it.
func (h *history) drop() int64 {
	b := heap.Pop(&h.order).(int64)
	var latest int64
	for e := h.buckets[b]; e != nil; e = e.next {
		latest = max(latest, e.deadline)
		h.bytes -= len(e.result)
		delete(h.records, e.id)
	}
	delete(h.buckets, b)
	return latest
}

// buckets is a heap of bucket numbers.
type buckets []int64

func (b buckets) Len() int           { return len(b) }
func (b buckets) Less(i, j int) bool { return b[i] < b[j] }
func (b buckets) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *buckets) Push(x any) { *b = append(*b, x.(int64)) }

// Pop implements heap.Interface.
func (b *buckets) Pop() any {
	last := len(*b) - 1
	x := (*b)[last]
	*b = (*b)[:last]
	return x
}

// end moves a task to the ended records.
func (t *Table) end(r *record, s State, at time.Time, result []byte) {
	t.leave(r)
	e := &ended{
		id: r.id, job: r.job.id, team: r.team.id, digest: r.digest, deadline: r.deadline, accepted: r.accepted,
		at: nanos(at), fence: r.fence, result: result, state: s,
	}
	if r.run != nil {
		e.message = r.run.message
	}
	t.bytes -= r.size()
	delete(t.tasks, r.id)
	r.state, r.payload, r.run = s, nil, nil
	r.team.unfinished--
	t.dropTeam(r.team.id, r.team)
	r.job.unfinished--
	t.dropJob(r.job)
	t.history.add(e)
	t.history.forget(t.now, t.limits)
}
