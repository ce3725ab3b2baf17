package csraft

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// entryOverhead is the memory of an entry without its data, in bytes.
const entryOverhead = 120

// memoryLog holds the entries after base and the memberships in effect from base on.
type memoryLog struct {
	base     csmodel.Index
	baseTerm csmodel.Term
	baseTime time.Time
	entries  []Entry
	bytes    csmodel.Bytes
	members  []indexedMembership // in ascending order; the first one is at or below base
}

type indexedMembership struct {
	index      csmodel.Index
	membership Membership
}

func (l *memoryLog) lastIndex() csmodel.Index { return l.base + csmodel.Index(len(l.entries)) }

func (l *memoryLog) lastTerm() csmodel.Term {
	t, _ := l.term(l.lastIndex())
	return t
}

func (l *memoryLog) lastTime() time.Time {
	if len(l.entries) == 0 {
		return l.baseTime
	}
	return l.entries[len(l.entries)-1].At
}

func (l *memoryLog) empty() bool { return l.lastIndex() == 0 }

// term returns the term of an entry. It is not known for entries before base and after the last one.
func (l *memoryLog) term(i csmodel.Index) (csmodel.Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.lastIndex():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

// slice returns entries from first to last, limited to about the given number of bytes, but at least one if there is any.
func (l *memoryLog) slice(first, last csmodel.Index, limit csmodel.Bytes) []Entry {
	if first <= l.base || first > last {
		return nil
	}
	out := l.entries[first-l.base-1 : last-l.base]
	size := csmodel.Bytes(0)
	for i, e := range out {
		size += entrySize(e)
		if i > 0 && size > limit {
			return out[:i:i]
		}
	}
	return out[:len(out):len(out)]
}

func entrySize(e Entry) csmodel.Bytes { return csmodel.Bytes(len(e.Data) + entryOverhead) }

func (l *memoryLog) append(entries ...Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.bytes += entrySize(e)
		if e.Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			continue // leaders encode valid memberships; an invalid one is ignored on all nodes alike
		}
		l.members = append(l.members, indexedMembership{index: e.Index, membership: m})
	}
}

// truncate drops the entries from index first on.
func (l *memoryLog) truncate(first csmodel.Index) {
	for _, e := range l.entries[first-l.base-1:] {
		l.bytes -= entrySize(e)
	}
	// Copy, because messages that are not yet sent may share the old array.
	l.entries = slices.Clone(l.entries[:first-l.base-1])
	l.members = slices.DeleteFunc(l.members, func(p indexedMembership) bool { return p.index >= first })
}

// compact drops the entries up to last, which becomes the base.
func (l *memoryLog) compact(last csmodel.Index) {
	if last <= l.base {
		return
	}
	kept := slices.Clone(l.entries[last-l.base:])
	e := l.entries[last-l.base-1]
	at := l.membershipAt(last)
	l.members = append([]indexedMembership{at}, slices.DeleteFunc(l.members, func(p indexedMembership) bool { return p.index <= last })...)
	l.base, l.baseTerm, l.baseTime = last, e.Term, e.At
	l.entries = kept
	l.bytes = 0
	for _, e := range kept {
		l.bytes += entrySize(e)
	}
}

// resetTo empties the log after a snapshot.
func (l *memoryLog) resetTo(s Snapshot) {
	*l = memoryLog{
		base: s.Index, baseTerm: s.Term, baseTime: time.Unix(0, s.At).UTC(),
		members: []indexedMembership{{index: s.Index, membership: s.Members}},
	}
}

// membership returns the latest membership, committed or not.
func (l *memoryLog) membership() Membership { return l.membershipAt(l.lastIndex()).membership }

// membershipAt returns the membership in effect at an index.
func (l *memoryLog) membershipAt(i csmodel.Index) indexedMembership {
	out := indexedMembership{}
	for _, p := range l.members {
		if p.index <= i {
			out = p
		}
	}
	return out
}

// uncommittedChange returns the membership before the latest one if the latest one is uncommitted.
func (l *memoryLog) uncommittedChange(commit csmodel.Index) (Membership, bool) {
	n := len(l.members)
	if n < 2 || l.members[n-1].index <= commit {
		return Membership{}, false
	}
	return l.members[n-2].membership, true
}
