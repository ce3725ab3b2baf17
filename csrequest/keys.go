package csrequest

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	keyLifetime      = 24 * time.Hour // from issue to expiry
	recordRetention  = 25 * time.Hour // from issue until the record may be deleted
	keysPerPage      = 1024
	maxIssuedKeys    = 4096 // keys per call of Issue
	defaultMaxStored = 4 * csmodel.MiB
	// answerOverhead is the number of bytes counted for each stored answer in addition to its body and content type.
	answerOverhead = 128
	// A single answer may take at most 1/maxAnswerSizeDivisor of the store.
	maxAnswerSizeDivisor = 4
)

// KeysConfig configures Keys.
type KeysConfig struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	// MaxStored is the maximum total size of the stored answers. 0 selects 4 MiB.
	MaxStored csmodel.Bytes
}

// keyState is the state of the request with a key.
type keyState uint8

const (
	keyUnused   keyState = iota // no request with the key has started
	keyStarted                  // a request may have started; no outcome is known
	keyAnswered                 // answered; the answer may have been evicted
	keyUnknown                  // ended with outcome Unknown
)

// keyID identifies a key among those that this node issued.
type keyID struct {
	incarnation csmodel.Incarnation
	sequence    uint64
}

// page holds the states of consecutive keys: 5 bytes for each key.
type page struct {
	newestIssue  time.Time // newest issue time in the page
	states       [keysPerPage]keyState
	fingerprints [keysPerPage]uint32
}

type pageID struct {
	incarnation csmodel.Incarnation
	number      uint64
}

type storedAnswer struct {
	answer Answer
	issued time.Time
}

// Keys issues idempotency keys and stores the state and the answer of the requests that used them. It is not safe for
// concurrent use.
type Keys struct {
	config       KeysConfig
	lastSequence uint64 // sequence number of the newest key
	pages        map[pageID]*page
	answers      map[keyID]storedAnswer
	answerOrder  []keyID // keys of answers, oldest first
	storedSize   csmodel.Bytes
}

// NewKeys returns Keys without records. Restore adds those of earlier incarnations.
func NewKeys(c KeysConfig) *Keys {
	if c.MaxStored == 0 {
		c.MaxStored = defaultMaxStored
	}
	return &Keys{
		config:  c,
		pages:   map[pageID]*page{},
		answers: map[keyID]storedAnswer{},
	}
}

// Issue returns count new keys: at most 4096, and none if count is negative.
func (k *Keys) Issue(now time.Time, count int) []Key {
	count = max(0, min(count, maxIssuedKeys))
	keys := make([]Key, 0, count)
	for range count {
		k.lastSequence++
		keys = append(keys, Key{
			Node:        k.config.Node,
			Incarnation: k.config.Incarnation,
			Sequence:    k.lastSequence,
			Issued:      now.Truncate(time.Millisecond),
		})
	}
	return keys
}

// result is the result of a key lookup, or the final result of a request.
type result struct {
	mayRun  bool // no request with the key has started, so this one may run
	outcome Outcome
	answer  Answer
	reason  Reason
}

// lookup returns whether a request may run, or else its result. The key belongs to this node, and no other request with it
// is in progress.
func (k *Keys) lookup(now time.Time, key Key, fingerprint uint32) result {
	if !now.Before(key.Issued.Add(keyLifetime)) {
		return result{outcome: Unknown, reason: ReasonKeyExpired}
	}
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	state, storedFingerprint := k.state(id)
	currentIncarnation := key.Incarnation == k.config.Incarnation
	switch {
	case state == keyUnused && currentIncarnation && key.Sequence > k.lastSequence:
		return result{outcome: NotRun, reason: ReasonInvalidKey}
	case state == keyUnused && !currentIncarnation:
		// An earlier incarnation may have started the request and lost its record.
		return result{outcome: Unknown, reason: ReasonNoRecord}
	case state == keyUnused:
		return result{mayRun: true}
	case storedFingerprint != fingerprint:
		// A request with the key and another body has run. The outcome is Unknown instead of NotRun, because the caller may
		// have encoded the same request differently.
		return result{outcome: Unknown, reason: ReasonKeyReused}
	case state == keyAnswered:
		if s, ok := k.answers[id]; ok {
			return result{outcome: Answered, answer: s.answer}
		}
		return result{outcome: Unknown, reason: ReasonAnswerEvicted}
	default:
		return result{outcome: Unknown, reason: ReasonNoRecord}
	}
}

func (k *Keys) state(id keyID) (keyState, uint32) {
	p, ok := k.pages[pageOf(id)]
	if !ok {
		return keyUnused, 0
	}
	return p.states[id.sequence%keysPerPage], p.fingerprints[id.sequence%keysPerPage]
}

func (k *Keys) setState(key Key, s keyState, fingerprint uint32) {
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	p, ok := k.pages[pageOf(id)]
	if !ok {
		p = &page{}
		k.pages[pageOf(id)] = p
	}
	if key.Issued.After(p.newestIssue) {
		p.newestIssue = key.Issued
	}
	p.states[id.sequence%keysPerPage] = s
	p.fingerprints[id.sequence%keysPerPage] = fingerprint
}

// storeAnswer stores an answer, unless it is too large, and evicts the oldest answers while the total size exceeds
// MaxStored.
func (k *Keys) storeAnswer(key Key, a Answer) {
	id := keyID{incarnation: key.Incarnation, sequence: key.Sequence}
	size := answerSize(a)
	if _, ok := k.answers[id]; ok || size > k.config.MaxStored/maxAnswerSizeDivisor {
		return
	}
	k.answers[id] = storedAnswer{answer: a, issued: key.Issued}
	k.answerOrder = append(k.answerOrder, id)
	k.storedSize += size
	for k.storedSize > k.config.MaxStored {
		k.evictOldest()
	}
}

func (k *Keys) evictOldest() {
	id := k.answerOrder[0]
	k.answerOrder = k.answerOrder[1:]
	k.storedSize -= answerSize(k.answers[id].answer)
	delete(k.answers, id)
}

// Tick deletes records and answers whose keys expired at least an hour ago.
func (k *Keys) Tick(now time.Time) {
	cutoff := now.Add(-recordRetention)
	for id, p := range k.pages {
		if p.newestIssue.Before(cutoff) {
			delete(k.pages, id)
		}
	}
	for len(k.answerOrder) > 0 && k.answers[k.answerOrder[0]].issued.Before(cutoff) {
		k.evictOldest()
	}
}

func answerSize(a Answer) csmodel.Bytes {
	return csmodel.Bytes(len(a.Body)+len(a.Type)) + answerOverhead
}

func pageOf(id keyID) pageID {
	return pageID{incarnation: id.incarnation, number: id.sequence / keysPerPage}
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
