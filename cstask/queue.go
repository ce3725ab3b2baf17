package cstask

import "cowslipstream.example/cowslipstream/csmodel"

// queue is a linked list of the waiting tasks in the order of their sequence. A scheduler reads new tasks from its end.
type queue struct {
	first, last *record
	length      int
}

func (q *queue) push(r *record) {
	r.previous = q.last
	if q.last != nil {
		q.last.next = r
	} else {
		q.first = r
	}
	q.last = r
	q.length++
}

func (q *queue) remove(r *record) {
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		q.first = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		q.last = r.previous
	}
	r.previous, r.next = nil, nil
	q.length--
}

// enqueue appends a task to the queue under a new sequence number.
func (t *Table) enqueue(r *record) {
	t.sequence++
	r.sequence = t.sequence
	r.state = StateWaiting
	r.reason = ReasonNone
	t.queue.push(r)
}

// addLease records the lease of a task on a VM.
func (t *Table) addLease(r *record, vm csmodel.VMID, leasedAt, expiry int64) {
	leases, ok := t.leasesByVM[vm]
	if !ok {
		leases = &vmLeases{}
		t.leasesByVM[vm] = leases
	}
	run := r.ensureRun()
	run.vm, run.leasedAt, run.expiry, run.index = vm, leasedAt, expiry, len(leases.records)
	leases.records = append(leases.records, r)
	t.lastLeaseVersion++
	leases.leaseVersion = t.lastLeaseVersion
	r.state = StateLeased
	t.leasedCount++
}

// leaveState removes a task from the queue, lease or count of its current state.
func (t *Table) leaveState(r *record) {
	switch r.state {
	case StateWaiting:
		t.queue.remove(r)
	case StateLeased:
		t.removeLease(r)
	case StateSetAside:
		t.setAsideCount--
	default:
	}
	r.state = StateNone
}

func (t *Table) removeLease(r *record) {
	run := r.run
	leases := t.leasesByVM[run.vm]
	last := len(leases.records) - 1
	moved := leases.records[last]
	leases.records[run.index] = moved
	moved.run.index = run.index
	leases.records[last] = nil
	leases.records = leases.records[:last]
	t.lastLeaseVersion++
	leases.leaseVersion = t.lastLeaseVersion
	if last == 0 {
		delete(t.leasesByVM, run.vm)
	}
	run.vm, run.leasedAt, run.expiry, run.index, run.sequence = "", 0, 0, 0, 0
	t.leasedCount--
}

// outcome reports whether an attempt of a job on a VM succeeded. The scheduler derives the health of VMs and jobs from it.
type outcome struct {
	vm        csmodel.VMID
	jobID     csmodel.JobID
	succeeded bool
}

// maxOutcomes is the number of recent outcomes that are kept. A scheduler that falls further behind misses the older ones.
const maxOutcomes = 4096

// outcomeLog is a ring buffer of recent outcomes. It is not part of snapshots, because a scheduler reads only the outcomes
// since its own start.
type outcomeLog struct {
	outcomes []outcome
	total    uint64
}

func (l *outcomeLog) add(o outcome) {
	if len(l.outcomes) < maxOutcomes {
		l.outcomes = append(l.outcomes, o)
	} else {
		l.outcomes[l.total%maxOutcomes] = o
	}
	l.total++
}

// since calls fn for each outcome after the first n that is still kept.
func (l *outcomeLog) since(n uint64, fn func(outcome)) {
	if l.total > maxOutcomes {
		n = max(n, l.total-maxOutcomes)
	}
	for ; n < l.total; n++ {
		fn(l.outcomes[n%maxOutcomes])
	}
}
