package cstask

import "cowslipstream.example/cowslipstream/csmodel"

// queue links the waiting tasks in the order in which they entered it. A scheduler reads the new ones from its end.
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

// wait puts a task at the end of the queue.
func (t *Table) wait(r *record) {
	t.sequence++
	r.sequence = t.sequence
	r.state = StateWaiting
	r.reason = ReasonNone
	t.queue.push(r)
}

// hold records the lease of a task on a VM.
func (t *Table) hold(r *record, vm csmodel.VMID, since, expiry int64) {
	h, ok := t.holders[vm]
	if !ok {
		h = &holder{}
		t.holders[vm] = h
	}
	a := r.attempt()
	a.vm, a.since, a.expiry, a.slot = vm, since, expiry, len(h.records)
	h.records = append(h.records, r)
	t.versions++
	h.version = t.versions
	r.state = StateLeased
	t.leased++
}

// leave takes a task out of its current state.
func (t *Table) leave(r *record) {
	switch r.state {
	case StateWaiting:
		t.queue.remove(r)
	case StateLeased:
		t.unhold(r)
	case StateSetAside:
		t.aside--
	default:
	}
	r.state = StateNone
}

func (t *Table) unhold(r *record) {
	a := r.run
	h := t.holders[a.vm]
	last := len(h.records) - 1
	moved := h.records[last]
	h.records[a.slot] = moved
	moved.run.slot = a.slot
	h.records[last] = nil
	h.records = h.records[:last]
	t.versions++
	h.version = t.versions
	if last == 0 {
		delete(t.holders, a.vm)
	}
	a.vm, a.since, a.expiry, a.slot, a.sequence = "", 0, 0, 0, 0
	t.leased--
}

// outcome is how an attempt ended, for the scheduler's view of the VM and the job.
type outcome struct {
	vm csmodel.VMID
	id csmodel.JobID
	ok bool
}

// feedLength bounds the outcomes that a scheduler can read after a pause.
const feedLength = 4096

// feed holds the recent outcomes. It is not replicated: only a scheduler that ran meanwhile reads it.
type feed struct {
	outcomes []outcome
	total    uint64
}

func (f *feed) add(o outcome) {
	if len(f.outcomes) < feedLength {
		f.outcomes = append(f.outcomes, o)
	} else {
		f.outcomes[f.total%feedLength] = o
	}
	f.total++
}

// since calls fn for the outcomes after the first n.
func (f *feed) since(n uint64, fn func(outcome)) {
	if f.total > feedLength {
		n = max(n, f.total-feedLength)
	}
	for ; n < f.total; n++ {
		fn(f.outcomes[n%feedLength])
	}
}
