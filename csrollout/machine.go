// Package csrollout decides which configuration revisions are accepted (Machine, replicated in the global group) and
// which one is active on a node (Active).
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
	// maxConfiguration bounds an encoded configuration in bytes, so that it fits a frame between nodes.
	maxConfiguration = 1 << 20
	// maxID bounds the id of a submission and the name of its operator in bytes.
	maxID = 128
	// Bounds of what a result holds, because many results are kept.
	maxReason = 256
	maxNames  = 8
	maxName   = 80
)

// Machine holds the accepted revisions. It implements csraft.Machine. It is not safe for concurrent use.
type Machine struct {
	// Validate checks a configuration as a whole. It must be deterministic and the same on all nodes. Nil accepts all.
	Validate func(csconfig.Configuration) error

	head    Head
	history history
	results results
}

var _ csraft.Machine = (*Machine)(nil)

// NewMachine returns a machine at revision 0, which has an empty configuration.
func NewMachine(validate func(csconfig.Configuration) error) *Machine {
	return &Machine{Validate: validate}
}

// Apply executes an encoded Submission and returns an encoded Result. A submission id that is known gets its first
// result.
func (m *Machine) Apply(e csraft.Entry) []byte {
	s, err := DecodeSubmission(e.Data)
	if err != nil {
		return encodeResult(invalid("%v", err))
	}
	if s.ID == "" || len(s.ID) > maxID || len(s.Operator) > maxID {
		return encodeResult(invalid("the submission needs an id; id and operator have at most %d bytes", maxID))
	}
	if data, ok := m.results.get(s.ID); ok {
		return data
	}
	if !m.results.expire(e.At) {
		return encodeResult(Invalid{Reason: "too many submissions within a day", Retry: true})
	}
	data := encodeResult(m.judge(e.At, s))
	m.results.add(record{ID: s.ID, At: e.At, Result: data})
	return data
}

// encodeResult cannot fail: results hold numbers and strings only.
func encodeResult(r Result) []byte {
	data, err := EncodeResult(r)
	if err != nil {
		return nil
	}
	return data
}

func invalid(format string, arguments ...any) Invalid {
	return Invalid{Reason: shorten(fmt.Sprintf(format, arguments...), maxReason)}
}

// shorten cuts a text to a number of bytes without leaving a part of a character.
func shorten(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "")
}

// judge decides a submission that is not known.
func (m *Machine) judge(at time.Time, s Submission) Result {
	switch {
	case (s.Configuration == nil) == (s.Delta == nil):
		return invalid("the submission needs either a configuration or a delta")
	case s.Base > m.head.Revision:
		return invalid("base revision %d does not exist, the last one is %d", s.Base, m.head.Revision)
	case s.Base < m.head.Revision:
		return m.conflict(s.Base)
	}
	d := s.Delta
	if d == nil {
		d = new(csconfig.Diff(m.head.Configuration, *s.Configuration))
	}
	c, err := d.Apply(m.head.Configuration)
	if err != nil {
		return invalid("%v", err)
	}
	if err := m.validate(c); err != nil {
		return invalid("%v", err)
	}
	return m.accept(at, s, c)
}

// validate calls the validation. A panic would end all replicas at the same entry, again and again.
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

// accept makes a configuration the next revision.
func (m *Machine) accept(at time.Time, s Submission, c csconfig.Configuration) Result {
	whole, err := c.Encode()
	if err != nil {
		return invalid("%v", err)
	}
	if len(whole) > maxConfiguration {
		return invalid("the configuration has %d bytes, the limit is %d", len(whole), maxConfiguration)
	}
	// The difference is taken again because a submitted delta may set items to what they are.
	delta, err := csconfig.Diff(m.head.Configuration, c).Encode()
	if err != nil {
		return invalid("%v", err)
	}
	m.head = Head{
		Step: Step{
			Revision:   m.head.Revision + 1,
			At:         at,
			Submission: s.ID,
			Operator:   s.Operator,
			Digest:     xxhash.Sum64(whole),
			Delta:      delta,
		},
		Configuration: c,
	}
	m.history.add(m.head.Step)
	return Accepted{Revision: m.head.Revision, At: at}
}

// conflict tells who won a base and what has changed since.
func (m *Machine) conflict(base csmodel.Revision) Conflict {
	names := m.history.names(base)
	shown := names[:min(len(names), maxNames)]
	for i := range shown {
		shown[i] = shorten(shown[i], maxName)
	}
	winner, ok := m.history.find(base + 1)
	return Conflict{
		Revision:   m.head.Revision,
		Operator:   winner.Operator,
		Submission: winner.Submission,
		Names:      shown,
		More:       len(names) - len(shown),
		Truncated:  !ok,
	}
}

// Head returns the last accepted revision and its configuration, which must not be modified.
func (m *Machine) Head() Head { return m.head }

// Since returns the steps after a revision, oldest first. It reports false where they are no longer kept.
func (m *Machine) Since(base csmodel.Revision) ([]Step, bool) {
	if base >= m.head.Revision {
		return nil, true
	}
	return m.history.since(base)
}

// Reduce replaces the whole configuration of a submission with the delta from its base where the base is the last
// accepted revision, so that log entries stay small. Another submission is returned unchanged.
func (m *Machine) Reduce(s Submission) Submission {
	if s.Configuration == nil || s.Delta != nil || s.Base != m.head.Revision {
		return s
	}
	s.Delta = new(csconfig.Diff(m.head.Configuration, *s.Configuration))
	s.Configuration = nil
	return s
}

// snapshot is the CBOR form of the state.
type snapshot struct {
	Head    Head     `cbor:"1,keyasint"`
	Steps   []Step   `cbor:"2,keyasint"`
	Results []record `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	return cscodec.Marshal(snapshot{Head: m.head, Steps: m.history.steps, Results: m.results.records})
}

// Restore replaces the state with a snapshot.
func (m *Machine) Restore(data []byte) error {
	s, err := decode[snapshot](data, "snapshot")
	if err != nil {
		return err
	}
	m.head = s.Head
	m.history = history{}
	for _, step := range s.Steps {
		m.history.add(step)
	}
	m.results = results{}
	for _, r := range s.Results {
		m.results.add(r)
	}
	return nil
}
