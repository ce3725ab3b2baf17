package csrequest

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// KeysConfig configures Keys. Zero fields take defaults.
type KeysConfig struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	// Stored is the largest total size of stored answers.
	Stored csmodel.Bytes
}

// Log is the record log on the disk of a node.
type Log interface {
	// Append adds a record. It is durable after Sync.
	Append(data []byte) error
	Sync() error
	// Replay calls the function with each record in the order of appending.
	Replay(func(data []byte) error) error
}

// Keys issues idempotency keys and remembers what happened to the requests that used them.
type Keys struct{}

// NewKeys returns Keys without records.
func NewKeys(c KeysConfig) *Keys { return &Keys{} }

// Issue returns new keys.
func (k *Keys) Issue(now time.Time, count int) []Key { return nil }

// Restore reads the records of earlier incarnations.
func (k *Keys) Restore(now time.Time, l Log) error { return nil }

// Snapshot returns the unexpired records, to start a new log with.
func (k *Keys) Snapshot(now time.Time) ([][]byte, error) { return nil, nil }

// Tick forgets expired records.
func (k *Keys) Tick(now time.Time) {}

// Save executes Record commands with one sync and returns the events for the Router.
func Save(l Log, records []Record) []Event { return nil }
