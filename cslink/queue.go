package cslink

import "slices"

// itemOverhead is added to the size of each queued payload so that empty payloads are bounded, too.
const itemOverhead = 64

// item is a queued message.
type item struct {
	sequence uint64 // 0 until first written
	kind     Kind
	payload  []byte
	key      string // supersede key
	stale    bool   // superseded or withdrawn: not to be written again
}

func (it *item) size() int { return len(it.payload) + len(it.key) + itemOverhead }

// queue holds the messages to a peer until they are acknowledged. A message gets its sequence number when it is first
// written, so one that is replaced before has none.
type queue struct {
	sequence uint64  // last one assigned
	sent     []*item // numbered and not acknowledged, in order
	written  int     // sent[:written] have been written to the current socket
	waiting  []*item // never written, in order
	keys     map[string]*item
	bytes    int
}

// push appends an item or puts it in the place of a waiting one with the same key, where it cannot be starved by a
// stream of replacements. It reports whether it replaced one, and fails where the limit would be exceeded.
func (q *queue) push(it *item, limit int) (bool, error) {
	old := q.keys[it.key]
	if it.key == "" {
		old = nil
	}
	size := q.bytes + it.size()
	if old != nil && old.sequence == 0 {
		size -= old.size()
	}
	if size > limit {
		return false, ErrQueueFull
	}
	q.bytes = size
	if old != nil && old.sequence == 0 {
		old.kind = it.kind
		old.payload = it.payload
		return true, nil
	}
	if old != nil {
		old.stale = true
	}
	if it.key != "" {
		if q.keys == nil {
			q.keys = make(map[string]*item)
		}
		q.keys[it.key] = it
	}
	q.waiting = append(q.waiting, it)
	return false, nil
}

// withdraw removes the item with a key, unless it was written to the current socket. Then it is not written to a later one.
func (q *queue) withdraw(key string) {
	it := q.keys[key]
	if it == nil {
		return
	}
	it.stale = true
	same := func(o *item) bool { return o == it }
	switch i := slices.IndexFunc(q.sent, same); {
	case i < 0:
		q.waiting = slices.DeleteFunc(q.waiting, same)
	case i >= q.written:
		q.sent = slices.Delete(q.sent, i, i+1)
	default:
		return
	}
	q.release(it)
}

// pending tells whether next would return an item.
func (q *queue) pending() bool { return q.written < len(q.sent) || len(q.waiting) > 0 }

// skip removes items that were written to an earlier socket only and have newer state behind them.
func (q *queue) skip() int {
	n := 0
	for q.written < len(q.sent) && q.sent[q.written].stale {
		q.release(q.sent[q.written])
		q.sent = slices.Delete(q.sent, q.written, q.written+1)
		n++
	}
	return n
}

// next returns the item to write next, or nil, and whether it has been written before.
func (q *queue) next() (it *item, again bool) {
	if q.written < len(q.sent) {
		it = q.sent[q.written]
		q.written++
		return it, true
	}
	if len(q.waiting) == 0 {
		return nil, false
	}
	it = q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	q.sequence++
	it.sequence = q.sequence
	q.sent = append(q.sent, it)
	q.written++
	return it, false
}

// acknowledge removes the items up to a sequence number.
func (q *queue) acknowledge(sequence uint64) error {
	if sequence > q.sequence {
		return ErrProtocol
	}
	n := 0
	for n < len(q.sent) && q.sent[n].sequence <= sequence {
		q.release(q.sent[n])
		n++
	}
	clear(q.sent[:n])
	q.sent = q.sent[n:]
	q.written = max(0, q.written-n)
	return nil
}

// forget removes the items that have been written to any socket and returns their number.
func (q *queue) forget() int {
	n := len(q.sent)
	for _, it := range q.sent {
		q.release(it)
	}
	q.sent = nil
	q.written = 0
	return n
}

// release accounts for an item that leaves the queue.
func (q *queue) release(it *item) {
	q.bytes -= it.size()
	if it.key != "" && q.keys[it.key] == it {
		delete(q.keys, it.key)
	}
}
