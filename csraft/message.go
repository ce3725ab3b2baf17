package csraft

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MessageAppend        MessageKind = iota + 1 // leader: entries after Index, or a heartbeat without entries
	MessageAppendReply                          // Index is the last matching index, or a hint to continue from if Reject is set
	MessagePreVote                              // asks whether a vote would be granted
	MessagePreVoteReply                         // answers MessagePreVote
	MessageVote                                 // asks for a vote
	MessageVoteReply                            // answers MessageVote
	MessageTimeoutNow                           // from the leader: start an election at once
	MessageJoin                                 // a node without membership asks for the state of the group
	MessageJoinReply                            // answers MessageJoin
	MessageFetch                                // asks any member for committed entries after Index
	MessageFetchReply                           // committed entries after Index
	MessageSnapshotOffer                        // the requested entries were compacted into the snapshot at Index
	MessageSnapshotFetch                        // asks for the snapshot bytes from Offset
	MessageSnapshotChunk                        // snapshot bytes from Offset
	MessagePropose                              // proposals forwarded to the leader
	MessageResult                               // outcome of one proposal, to the proposer
	MessageRead                                 // asks the leader for the index to read at
	MessageReadReply                            // answers MessageRead
)

// ErrMessage reports bytes that are not a valid encoded message.
var ErrMessage = errors.New("csraft: invalid message")

// Proposal asks the leader to append one entry. It holds a machine command or a membership change.
type Proposal struct {
	_      struct{} `cbor:",toarray"`
	ID     ProposalID
	Data   []byte
	Change *Change
}

// JoinAppends merges two consecutive append messages of a leader into one, as if it had sent all entries at once. It returns
// a and false if b does not continue a.
func JoinAppends(a, b Message) (Message, bool) {
	end, term := a.Index, a.LogTerm
	if n := len(a.Entries); n > 0 {
		end, term = a.Entries[n-1].Index, a.Entries[n-1].Term
	}
	appends := a.Kind == MessageAppend && b.Kind == MessageAppend
	same := a.From == b.From && a.Incarnation == b.Incarnation && a.Term == b.Term
	if !appends || !same || b.Index != end || b.LogTerm != term {
		return a, false
	}
	joined := b
	joined.Index, joined.LogTerm, joined.Entries = a.Index, a.LogTerm, append(a.Entries, b.Entries...)
	joined.Commit, joined.Round = max(a.Commit, b.Commit), max(a.Round, b.Round)
	return joined, true
}

// Change is a change of one member. Remove takes the member out; otherwise it is added or its role is set.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Remove bool
}

// Message is sent between the members of a group. Fields that a kind does not use are zero and not encoded.
type Message struct {
	Kind             MessageKind         `cbor:"1,keyasint"`
	From             csmodel.NodeID      `cbor:"2,keyasint"`
	Incarnation      csmodel.Incarnation `cbor:"3,keyasint"` // of the sender
	Term             csmodel.Term        `cbor:"4,keyasint,omitempty"`
	Index            csmodel.Index       `cbor:"5,keyasint,omitempty"`
	LogTerm          csmodel.Term        `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit           csmodel.Index       `cbor:"7,keyasint,omitempty"`
	Round            uint64              `cbor:"8,keyasint,omitempty"` // heartbeat round, echoed by replies; the lease starts at its send time
	Reject           bool                `cbor:"9,keyasint,omitempty"`
	HasLog           bool                `cbor:"10,keyasint,omitempty"` // the sender has a log
	Transfer         bool                `cbor:"11,keyasint,omitempty"` // the leader requested this election
	Leader           csmodel.NodeID      `cbor:"12,keyasint,omitempty"`
	KnownIncarnation csmodel.Incarnation `cbor:"13,keyasint,omitempty"` // newest incarnation of the receiver that the sender knows
	Entries          []Entry             `cbor:"-"`
	Offset           uint64              `cbor:"14,keyasint,omitempty"`
	Total            uint64              `cbor:"15,keyasint,omitempty"`
	Data             []byte              `cbor:"16,keyasint,omitempty"`
	Members          *Membership         `cbor:"17,keyasint,omitempty"`
	Volatile         bool                `cbor:"22,keyasint,omitempty"` // the sender has no disk
	At               int64               `cbor:"18,keyasint,omitempty"` // of the last entry in a snapshot, Unix nanoseconds
	Proposals        []Proposal          `cbor:"19,keyasint,omitempty"`
}

// wireEntry is the compact encoding of an Entry: an array without field keys and without the index, which follows from the
// position.
type wireEntry struct {
	_           struct{} `cbor:",toarray"`
	Term        csmodel.Term
	Kind        EntryKind
	At          int64
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Sequence    uint64
	Data        []byte
}

type wireMessage struct {
	Message
	First   csmodel.Index `cbor:"20,keyasint,omitempty"`
	Entries []wireEntry   `cbor:"21,keyasint,omitempty"`
}

// EncodeMessage returns the CBOR encoding of a message.
func EncodeMessage(m Message) ([]byte, error) {
	w := wireMessage{Message: m}
	if len(m.Entries) > 0 {
		w.First = m.Entries[0].Index
		w.Entries = toWire(m.Entries)
	}
	return cbor.Marshal(w)
}

// DecodeMessage decodes a message. It returns an error if the bytes are not a valid one.
func DecodeMessage(b []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Message{}, errors.Join(ErrMessage, err)
	}
	m := w.Message
	m.Entries = fromWire(w.First, w.Entries)
	return m, nil
}

// EncodeEntries returns the CBOR encoding of consecutive entries.
func EncodeEntries(entries []Entry) ([]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	return cbor.Marshal(wireMessage{First: entries[0].Index, Entries: toWire(entries)}.entryBlock())
}

// DecodeEntries decodes the result of EncodeEntries. It returns an error if the bytes are not valid.
func DecodeEntries(b []byte) ([]Entry, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var k wireBlock
	if err := cbor.Unmarshal(b, &k); err != nil {
		return nil, errors.Join(ErrMessage, err)
	}
	return fromWire(k.First, k.Entries), nil
}

type wireBlock struct {
	_       struct{} `cbor:",toarray"`
	First   csmodel.Index
	Entries []wireEntry
}

func (w wireMessage) entryBlock() wireBlock { return wireBlock{First: w.First, Entries: w.Entries} }

func toWire(entries []Entry) []wireEntry {
	out := make([]wireEntry, len(entries))
	for i, e := range entries {
		out[i] = wireEntry{
			Term: e.Term, Kind: e.Kind, At: e.At.UnixNano(),
			Node: e.Proposal.Node, Incarnation: e.Proposal.Incarnation, Sequence: e.Proposal.Sequence,
			Data: e.Data,
		}
	}
	return out
}

func fromWire(first csmodel.Index, entries []wireEntry) []Entry {
	if len(entries) == 0 {
		return nil
	}
	out := make([]Entry, len(entries))
	for i, w := range entries {
		out[i] = Entry{
			Term: w.Term, Index: first + csmodel.Index(i), Kind: w.Kind, At: time.Unix(0, w.At).UTC(),
			Proposal: ProposalID{Node: w.Node, Incarnation: w.Incarnation, Sequence: w.Sequence},
			Data:     w.Data,
		}
	}
	return out
}
