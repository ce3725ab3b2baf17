package csrequest

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	keyLife      = 24 * time.Hour // from issue to expiry
	recordLife   = 25 * time.Hour // from issue until the record may be forgotten
	pageSize     = 1024           // keys in a page
	maxIssue     = 4096           // keys in a batch
	defaultStore = 4 * csmodel.MiB
	// answerOverhead is counted for each stored answer in addition to its body.
	answerOverhead = 128
	// storePart is the part of the store that a single answer may take.
	storePart = 4
)

// KeysConfig configures Keys. Zero fields take defaults.
type KeysConfig struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	// Stored is the largest total size of stored answers.
	Stored csmodel.Bytes
}

// keyState is what is known about a key. The zero value means that no request with the key has started.
type keyState uint8

const (
	keyUnused keyState = iota
	keyStarted
	keyAnswered
	keyUnknown
)

type keyID struct {
	incarnation csmodel.Incarnation
	sequence    uint64
}

// page holds the states of consecutive keys: 5 bytes for each key.
type page struct {
	issued time.Time // newest issue time in the page
	states [pageSize]keyState
	prints [pageSize]uint32
}

type pageID struct {
	incarnation csmodel.Incarnation
	number      uint64
}

type storedAnswer struct {
	answer Answer
	issued time.Time
}

// Keys issues idempotency keys and remembers what happened to the requests that used them.
type Keys struct {
	config  KeysConfig
	issued  uint64 // last sequence number
	pages   map[pageID]*page
	answers map[keyID]storedAnswer
	order   []keyID // of answers, oldest first
	stored  csmodel.Bytes
}

// NewKeys returns Keys without records.
func NewKeys(c KeysConfig) *Keys {
	if c.Stored == 0 {
		c.Stored = defaultStore
	}
	return &Keys{
		config:  c,
		pages:   map[pageID]*page{},
		answers: map[keyID]storedAnswer{},
	}
}

// Issue returns new keys, at most 4096 at once.
func (k *Keys) Issue(now time.Time, count int) []Key {
	count = max(0, min(count, maxIssue))
	keys := make([]Key, 0, count)
	for range count {
		k.issued++
		keys = append(keys, Key{
			Node:        k.config.Node,
			Incarnation: k.config.Incarnation,
			Sequence:    k.issued,
			Issued:      now.Truncate(time.Millisecond),
		})
	}
	return keys
}

// verdict is what Keys says about a request with a key.
type verdict struct {
	run     bool // no request with the key has started
	outcome Outcome
	answer  Answer
	reason  Reason
}

// lookup tells what to do with a request that uses a key of this node and is not in flight.
func (k *Keys) lookup(now time.Time, key Key, fingerprint uint32) verdict {
	if !now.Before(key.Issued.Add(keyLife)) {
		return verdict{outcome: Unknown, reason: ReasonExpired}
	}
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	state, known := k.state(id)
	current := key.Incarnation == k.config.Incarnation
	switch {
	case state == keyUnused && current && key.Sequence > k.issued:
		return verdict{outcome: NotRun, reason: ReasonKey}
	case state == keyUnused && !current:
		// The previous process may have started the request without a surviving record.
		return verdict{outcome: Unknown, reason: ReasonLost}
	case state == keyUnused:
		return verdict{run: true}
	case known != fingerprint:
		// The key has run with another body. A caller that encodes its request differently must not believe that the
		// request was not run.
		return verdict{outcome: Unknown, reason: ReasonReused}
	case state == keyAnswered:
		if s, ok := k.answers[id]; ok {
			return verdict{outcome: Answered, answer: s.answer}
		}
		return verdict{outcome: Unknown, reason: ReasonEvicted}
	default:
		return verdict{outcome: Unknown, reason: ReasonLost}
	}
}

func (k *Keys) state(id keyID) (keyState, uint32) {
	p, ok := k.pages[pageOf(id)]
	if !ok {
		return keyUnused, 0
	}
	return p.states[id.sequence%pageSize], p.prints[id.sequence%pageSize]
}

func (k *Keys) set(key Key, s keyState, fingerprint uint32) {
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	p, ok := k.pages[pageOf(id)]
	if !ok {
		p = &page{}
		k.pages[pageOf(id)] = p
	}
	if key.Issued.After(p.issued) {
		p.issued = key.Issued
	}
	p.states[id.sequence%pageSize] = s
	p.prints[id.sequence%pageSize] = fingerprint
}

// store keeps an answer and evicts the oldest ones beyond the bound.
func (k *Keys) store(key Key, a Answer) {
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	size := answerSize(a)
	if _, ok := k.answers[id]; ok || size > k.config.Stored/storePart {
		return
	}
	k.answers[id] = storedAnswer{answer: a, issued: key.Issued}
	k.order = append(k.order, id)
	k.stored += size
	for k.stored > k.config.Stored {
		k.evict()
	}
}

func (k *Keys) evict() {
	id := k.order[0]
	k.order = k.order[1:]
	k.stored -= answerSize(k.answers[id].answer)
	delete(k.answers, id)
}

// Tick forgets records whose keys expired at least an hour ago.
func (k *Keys) Tick(now time.Time) {
	limit := now.Add(-recordLife)
	for id, p := range k.pages {
		if p.issued.Before(limit) {
			delete(k.pages, id)
		}
	}
	for len(k.order) > 0 && k.answers[k.order[0]].issued.Before(limit) {
		k.evict()
	}
}

func answerSize(a Answer) csmodel.Bytes {
	return csmodel.Bytes(len(a.Body)+len(a.Type)) + answerOverhead
}

func pageOf(id keyID) pageID {
	return pageID{incarnation: id.incarnation, number: id.sequence / pageSize}
}

func sortedPages(pages map[pageID]*page) []pageID {
	ids := make([]pageID, 0, len(pages))
	for id := range pages {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b pageID) int {
		return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.number, b.number))
	})
	return ids
}
