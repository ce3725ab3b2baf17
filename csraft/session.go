package csraft

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// SessionWindow is the number of results kept for each node. A node must not use a sequence number that is SessionWindow
// or more above its lowest one without a result.
const SessionWindow = 256

// sessionExpiry is the time after its last entry for which a node's session is kept.
const sessionExpiry = 25 * time.Hour

// ErrExpired reports a proposal that is older than the results kept. Whether it was applied is unknown; it is not applied
// again.
var ErrExpired = errors.New("csraft: proposal expired")

// Sessions deduplicates proposals: a duplicate gets the result of the first one. It is part of the replicated state, because
// every member records the same entries. The zero value is empty.
type Sessions struct {
	nodes map[csmodel.NodeID]*session
}

type session struct {
	_           struct{} `cbor:",toarray"`
	Incarnation csmodel.Incarnation
	Floor       uint64 // sequence numbers up to this one are expired
	At          int64  // time of the last entry, in Unix nanoseconds
	Results     map[uint64][]byte
}

// Result returns the result of a proposal that was applied. It returns ErrExpired if the proposal must not be applied.
func (s *Sessions) Result(id ProposalID) (result []byte, found bool, err error) {
	n, ok := s.nodes[id.Node]
	if !ok || id.Incarnation > n.Incarnation {
		return nil, false, nil
	}
	if id.Incarnation < n.Incarnation || id.Sequence <= n.Floor {
		return nil, false, ErrExpired
	}
	result, found = n.Results[id.Sequence]
	return result, found, nil
}

// Record stores the result of an applied entry. It ignores entries without a proposal.
func (s *Sessions) Record(e Entry, result []byte) {
	id := e.Proposal
	if id == (ProposalID{}) {
		return
	}
	n, ok := s.nodes[id.Node]
	if !ok {
		s.expireSessions(e.At)
	}
	if !ok || n.Incarnation != id.Incarnation {
		n = &session{Incarnation: id.Incarnation, Results: map[uint64][]byte{}}
		s.put(id.Node, n)
	}
	n.At = e.At.UnixNano()
	n.Results[id.Sequence] = result
	n.raiseFloor(id.Sequence)
}

func (s *Sessions) put(node csmodel.NodeID, n *session) {
	if s.nodes == nil {
		s.nodes = map[csmodel.NodeID]*session{}
	}
	s.nodes[node] = n
}

// raiseFloor expires the results that a new sequence number moves out of the window.
func (n *session) raiseFloor(sequence uint64) {
	if sequence <= n.Floor+SessionWindow {
		return
	}
	n.Floor = sequence - SessionWindow
	for q := range n.Results {
		if q <= n.Floor {
			delete(n.Results, q)
		}
	}
}

func (s *Sessions) expireSessions(now time.Time) {
	for node, n := range s.nodes {
		if now.UnixNano()-n.At > int64(sessionExpiry) {
			delete(s.nodes, node)
		}
	}
}

// Encode returns the deterministic CBOR encoding of the sessions for a snapshot.
func (s *Sessions) Encode() ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(s.nodes)
}

// Decode replaces the sessions with those of a snapshot. It returns an error if the encoding is not valid.
func (s *Sessions) Decode(b []byte) error {
	s.nodes = nil
	return cbor.Unmarshal(b, &s.nodes)
}
