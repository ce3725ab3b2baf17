package csraft

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// SessionWindow is the number of results kept for each node. A node must not use a sequence number that is SessionWindow
// or more above the lowest one that still waits.
const SessionWindow = 256

// sessionExpiry is how long after its last entry a node's session is kept.
const sessionExpiry = 25 * time.Hour

// ErrExpired reports a proposal that is older than the results kept: whether it was applied is not known, and it is not
// applied now.
var ErrExpired = errors.New("csraft: proposal expired")

// Sessions resolves duplicate proposals to the first result. It is part of the replicated state: every member feeds it the
// same entries. The zero value is empty.
type Sessions struct {
	nodes map[csmodel.NodeID]*session
}

type session struct {
	_           struct{} `cbor:",toarray"`
	Incarnation csmodel.Incarnation
	Floor       uint64 // sequence numbers up to here are expired
	At          int64  // of the last entry, Unix nanoseconds
	Results     map[uint64][]byte
}

// Result returns the result of a proposal that was applied. ErrExpired tells that the proposal must not be applied.
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

// Record keeps the result of an applied entry.
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

// raiseFloor lifts the floor where a sequence number is beyond the window.
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

// Encode returns the state for a snapshot.
func (s *Sessions) Encode() ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(s.nodes)
}

// Decode replaces the state by that of a snapshot.
func (s *Sessions) Decode(b []byte) error {
	s.nodes = nil
	return cbor.Unmarshal(b, &s.nodes)
}
