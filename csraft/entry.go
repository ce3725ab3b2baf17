// Package csraft implements the Raft consensus protocol for one replicated group: elections, log replication, membership
// changes, snapshots and leader leases.
//
// The package is a deterministic state machine: it takes events and the current time and returns commands.
package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// EntryKind is the type of an entry in the replicated log.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // Data is a command of the Machine
	EntryNoop                        // appended by a new leader at the start of its term
	EntryMembership                  // Data is an encoded membership
)

// ProposalID identifies a proposal across retries.
type ProposalID struct {
	Node        csmodel.NodeID      `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64              `cbor:"3,keyasint"`
}

// Entry is one record of the replicated log.
type Entry struct {
	Term     csmodel.Term  `cbor:"1,keyasint"`
	Index    csmodel.Index `cbor:"2,keyasint"`
	Kind     EntryKind     `cbor:"3,keyasint"`
	At       time.Time     `cbor:"4,keyasint"` // stamped by the leader; never decreases along the log
	Proposal ProposalID    `cbor:"5,keyasint"`
	Data     []byte        `cbor:"6,keyasint"`
}

// Machine is the replicated state that a group applies committed entries to. Apply must be deterministic: it takes the
// current time from Entry.At and reads no clock, random source or map order.
type Machine interface {
	// Apply applies a committed entry of kind EntryNormal and returns the encoded result for the proposer.
	Apply(e Entry) []byte
	// Snapshot returns the encoded state after the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}
