// Package csrollout decides which configuration revisions are accepted (Machine, replicated in the global group) and
// which one is active on a node (Active).
package csrollout

import (
	"errors"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Machine holds the accepted revisions. It implements csraft.Machine.
type Machine struct {
	// Validate checks a configuration as a whole. It must be deterministic and the same on all nodes. Nil accepts all.
	Validate func(csconfig.Configuration) error
}

var _ csraft.Machine = (*Machine)(nil)

// NewMachine returns a machine at revision 0, which has an empty configuration.
func NewMachine(validate func(csconfig.Configuration) error) *Machine {
	return &Machine{Validate: validate}
}

// Apply executes an encoded Submission and returns an encoded Result.
func (m *Machine) Apply(_ csraft.Entry) []byte { return nil }

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return nil, errors.New("not implemented") }

// Restore replaces the state with a snapshot.
func (m *Machine) Restore(_ []byte) error { return errors.New("not implemented") }

// Head returns the last accepted revision and its configuration, which must not be modified.
func (m *Machine) Head() Head { return Head{} }

// Since returns the steps after a revision, oldest first. It reports false where they are no longer kept.
func (m *Machine) Since(_ csmodel.Revision) ([]Step, bool) { return nil, false }

// Reduce replaces the whole configuration of a submission with the delta from its base where the base is the last
// accepted revision, so that log entries stay small. Another submission is returned unchanged.
func (m *Machine) Reduce(s Submission) Submission { return s }
