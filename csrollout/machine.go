// Package csrollout accepts new configuration revisions (Machine, a replicated state machine of the global group) and
// distributes them to the nodes, where they become active (Activator).
package csrollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

const (
	// maxConfigurationBytes limits an encoded configuration, so that it fits into one frame between nodes.
	maxConfigurationBytes = 1 << 20
	// maxIDBytes limits the id of a submission and the name of its operator.
	maxIDBytes = 128
	// Limits of the strings in a result, because up to maxResults results are kept.
	maxReasonBytes   = 256
	maxConflictNames = 8
	maxNameBytes     = 80
)

// Machine is the replicated state machine that accepts submissions and holds the last accepted revision, recent changes
// and results. It implements csraft.Machine. It is not safe for concurrent use.
type Machine struct {
	// Validate checks a whole configuration. It must be deterministic and the same on all nodes. If it is nil, every
	// configuration is valid.
	Validate func(csconfig.Configuration) error

	head    Head
	history history
	results results
}

var _ csraft.Machine = (*Machine)(nil)

// NewMachine returns a machine at revision 0 with an empty configuration. See Machine.Validate for validate.
func NewMachine(validate func(csconfig.Configuration) error) *Machine {
	return &Machine{Validate: validate}
}

// Apply executes an encoded Submission and returns an encoded Result. If a submission with the same id has been decided,
// it returns the stored result. A submission that can't be decoded is answered with Invalid.
func (m *Machine) Apply(e csraft.Entry) []byte {
	s, err := DecodeSubmission(e.Data)
	if err != nil {
		return encodeResult(invalid("%v", err))
	}
	if s.ID == "" || len(s.ID) > maxIDBytes || len(s.Operator) > maxIDBytes {
		return encodeResult(invalid("the submission needs an id; id and operator have at most %d bytes", maxIDBytes))
	}
	if data, ok := m.results.get(s.ID); ok {
		return data
	}
	if !m.results.expire(e.At) {
		return encodeResult(Invalid{Reason: "too many submissions within a day", Retry: true})
	}
	data := encodeResult(m.decide(e.At, s))
	m.results.add(resultRecord{ID: s.ID, At: e.At, Result: data})
	return data
}

// encodeResult encodes a result. The encoding can't fail, because results hold only numbers, times, booleans and strings.
func encodeResult(r Result) []byte {
	data, err := EncodeResult(r)
	if err != nil {
		return nil
	}
	return data
}

func invalid(format string, args ...any) Invalid {
	return Invalid{Reason: truncateUTF8(fmt.Sprintf(format, args...), maxReasonBytes)}
}

// truncateUTF8 truncates s to at most limit bytes without leaving a partial UTF-8 sequence.
func truncateUTF8(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "")
}

// decide returns the result of a submission whose id has no stored result.
func (m *Machine) decide(at time.Time, s Submission) Result {
	switch {
	case (s.Configuration == nil) == (s.Delta == nil):
		return invalid("the submission needs either a configuration or a delta")
	case s.Base > m.head.Revision:
		return invalid("base revision %d does not exist, the last one is %d", s.Base, m.head.Revision)
	case s.Base < m.head.Revision:
		return m.conflict(s.Base)
	}
	delta := s.Delta
	if delta == nil {
		delta = new(csconfig.Diff(m.head.Configuration, *s.Configuration))
	}
	configuration, err := delta.Apply(m.head.Configuration)
	if err != nil {
		return invalid("%v", err)
	}
	if err := m.validate(configuration); err != nil {
		return invalid("%v", err)
	}
	return m.accept(at, s, configuration)
}

// validate calls Validate and turns a panic into an error, because a panic would crash every replica at the same log
// entry, and again after each restart.
func (m *Machine) validate(c csconfig.Configuration) (err error) {
	if m.Validate == nil {
		return nil
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("validation panicked: %v", r)
		}
	}()
	return m.Validate(c)
}

// accept makes a valid configuration the next revision, if it is not too large.
func (m *Machine) accept(at time.Time, s Submission, configuration csconfig.Configuration) Result {
	encoded, err := configuration.Encode()
	if err != nil {
		return invalid("%v", err)
	}
	if len(encoded) > maxConfigurationBytes {
		return invalid("the configuration has %d bytes, the limit is %d", len(encoded), maxConfigurationBytes)
	}
	// The delta is computed again, because a submitted delta may contain items that it doesn't change.
	delta, err := csconfig.Diff(m.head.Configuration, configuration).Encode()
	if err != nil {
		return invalid("%v", err)
	}
	m.head = Head{
		Change: Change{
			Revision:   m.head.Revision + 1,
			At:         at,
			Submission: s.ID,
			Operator:   s.Operator,
			Digest:     xxhash.Sum64(encoded),
			Delta:      delta,
		},
		Configuration: configuration,
	}
	m.history.add(m.head.Change)
	return Accepted{Revision: m.head.Revision, At: at}
}

// conflict returns the submission that was accepted on a base revision and the names of what has changed since.
func (m *Machine) conflict(base csmodel.Revision) Conflict {
	names := m.history.changedNames(base)
	listed := names[:min(len(names), maxConflictNames)]
	for i := range listed {
		listed[i] = truncateUTF8(listed[i], maxNameBytes)
	}
	winner, ok := m.history.find(base + 1)
	return Conflict{
		Revision:   m.head.Revision,
		Operator:   winner.Operator,
		Submission: winner.Submission,
		Names:      listed,
		More:       len(names) - len(listed),
		Truncated:  !ok,
	}
}

// Head returns the last accepted revision and its configuration, which must not be modified.
func (m *Machine) Head() Head { return m.head }

// Since returns the changes after a revision, oldest first. It returns false if some of them are no longer kept.
func (m *Machine) Since(base csmodel.Revision) ([]Change, bool) {
	if base >= m.head.Revision {
		return nil, true
	}
	return m.history.since(base)
}

// ToDelta replaces the whole configuration of a submission with the delta from its base, so that log entries stay small.
// It returns the submission unchanged if its base is not the last accepted revision, or if it has no whole configuration.
func (m *Machine) ToDelta(s Submission) Submission {
	if s.Configuration == nil || s.Delta != nil || s.Base != m.head.Revision {
		return s
	}
	s.Delta = new(csconfig.Diff(m.head.Configuration, *s.Configuration))
	s.Configuration = nil
	return s
}

// snapshot is the CBOR encoding of the state.
type snapshot struct {
	Head    Head           `cbor:"1,keyasint"`
	Changes []Change       `cbor:"2,keyasint"`
	Results []resultRecord `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state, or an error if it can't be encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	return cscodec.Marshal(snapshot{Head: m.head, Changes: m.history.changes, Results: m.results.records})
}

// Restore replaces the state with a snapshot. If the snapshot can't be decoded or the digest of its configuration is
// wrong, it returns an error and leaves the state unchanged.
func (m *Machine) Restore(data []byte) error {
	s, err := decode[snapshot](data, "snapshot")
	if err != nil {
		return err
	}
	m.head = s.Head
	m.history = history{}
	for _, change := range s.Changes {
		m.history.add(change)
	}
	m.results = results{}
	for _, r := range s.Results {
		m.results.add(r)
	}
	return nil
}
