package cstask

import (
	"container/heap"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// bucketWidth is the granularity at which ended records are removed, in nanoseconds. With buckets, a task ends in constant
// time unless it is the first one of its bucket.
const bucketWidth = int64(time.Minute)

// history holds the ended records in buckets by the later of their deadline and end.
type history struct {
	records         map[csmodel.TaskID]*endedRecord
	buckets         map[int64]*endedRecord // head of the linked list of each bucket
	bucketOrder     bucketHeap
	bytes           int   // of the results
	evictedDeadline int64 // latest deadline among the records that were removed before their retention ended
}

func newHistory() history {
	return history{records: make(map[csmodel.TaskID]*endedRecord), buckets: make(map[int64]*endedRecord)}
}

func (h *history) add(e *endedRecord) {
	b := max(e.deadline, e.endedAt) / bucketWidth
	first, ok := h.buckets[b]
	if !ok {
		heap.Push(&h.bucketOrder, b)
	}
	e.next = first
	h.buckets[b] = e
	h.records[e.id] = e
	h.bytes += len(e.result)
}

// evict removes the buckets past their retention, then the oldest ones until the limits hold. A repeated submission of a
// task of the former is refused because its deadline is older than the retention, one of the latter because its deadline
// is not later than evictedDeadline.
func (h *history) evict(now int64, l Limits) {
	for len(h.bucketOrder) > 0 && (h.bucketOrder[0]+1)*bucketWidth+int64(l.Retention) <= now {
		h.removeOldestBucket()
	}
	for len(h.bucketOrder) > 0 && (len(h.records) > l.Ended || h.bytes > l.Bytes) {
		h.evictedDeadline = max(h.evictedDeadline, h.removeOldestBucket())
	}
}

// removeOldestBucket removes the oldest bucket and returns the latest deadline in it.
func (h *history) removeOldestBucket() int64 {
	b := heap.Pop(&h.bucketOrder).(int64)
	var latest int64
	for e := h.buckets[b]; e != nil; e = e.next {
		latest = max(latest, e.deadline)
		h.bytes -= len(e.result)
		delete(h.records, e.id)
	}
	delete(h.buckets, b)
	return latest
}

// bucketHeap is a min-heap of bucket numbers.
type bucketHeap []int64

func (h bucketHeap) Len() int           { return len(h) }
func (h bucketHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h bucketHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *bucketHeap) Push(x any) { *h = append(*h, x.(int64)) }

// Pop implements heap.Interface.
func (h *bucketHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// endTask moves a task to the ended records.
func (t *Table) endTask(r *record, s State, at time.Time, result []byte) {
	t.leaveState(r)
	e := &endedRecord{
		id: r.id, job: r.job.id, team: r.team.id, digest: r.digest, deadline: r.deadline, accepted: r.accepted,
		endedAt: nanos(at), fence: r.fence, result: result, state: s,
	}
	if r.run != nil {
		e.message = r.run.message
	}
	t.bytes -= r.storedBytes()
	delete(t.tasks, r.id)
	r.state, r.payload, r.run = s, nil, nil
	r.team.unfinished--
	t.dropUnusedTeam(r.team.id, r.team)
	r.job.unfinished--
	t.dropUnusedJob(r.job)
	t.history.add(e)
	t.history.evict(t.now, t.limits)
}
