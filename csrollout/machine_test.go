package csrollout

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

var epoch = time.Date(2030, 1, 2, 3, 4, 5, 6, time.UTC)

// fataler is implemented by testing.TB and *rapid.T.
type fataler interface {
	Helper()
	Fatal(...any)
}

// submit applies a submission of a configuration with one team that has the given share.
func submit(t fataler, m *Machine, at time.Time, id string, base csmodel.Revision, share int) Result {
	t.Helper()
	return apply(t, m, at, Submission{ID: csmodel.SubmissionID(id), Base: base, Operator: "operator of " + id,
		Configuration: &csconfig.Configuration{Teams: []csconfig.Team{{Name: "t", Share: share}}}})
}

func apply(t fataler, m *Machine, at time.Time, s Submission) Result {
	t.Helper()
	data, err := EncodeSubmission(s)
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeResult(m.Apply(csraft.Entry{At: at, Data: data}))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against two submissions accepted on one base revision, a different result for a resent submission, conflicts that
// don't name the accepted submission and what changed (F7), and log entries that hold the whole configuration.
func TestMachineResults(t *testing.T) {
	m := NewMachine(func(c csconfig.Configuration) error {
		switch c.Teams[0].Share {
		case 0:
			return errors.New("share of 0")
		case 13:
			panic("validation fault")
		}
		return nil
	})
	accepted := Accepted{Revision: 1, At: epoch}
	conflict := Conflict{Revision: 1, Operator: "operator of a", Submission: "a", Names: []string{"team/t"}}
	tests := []struct {
		name  string
		id    string
		base  csmodel.Revision
		share int
		want  Result
	}{
		{"invalid configuration", "i", 0, 0, Invalid{Reason: "share of 0"}},
		{"validation that panics", "p", 0, 13, Invalid{Reason: "validation panicked: validation fault"}},
		{"first on a base", "a", 0, 1, accepted},
		{"second on a base", "b", 0, 2, conflict},
		{"resent, accepted", "a", 0, 1, accepted},
		{"next base", "c", 1, 3, Accepted{Revision: 2, At: epoch}},
		{"resent, conflict", "b", 0, 2, conflict},
		{"resent, invalid", "i", 0, 5, Invalid{Reason: "share of 0"}},
		{"old base", "d", 0, 4, Conflict{Revision: 2, Operator: "operator of a", Submission: "a", Names: []string{"team/t"}}},
		{"base that does not exist", "e", 9, 4, Invalid{Reason: "base revision 9 does not exist, the last one is 2"}},
		{"no id", "", 2, 4, Invalid{Reason: "the submission needs an id; id and operator have at most 128 bytes"}},
	}
	for _, tt := range tests {
		if got := submit(t, m, epoch, tt.id, tt.base, tt.share); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
	s := m.ToDelta(Submission{ID: "r", Base: 2, Configuration: &csconfig.Configuration{Teams: []csconfig.Team{{Name: "u", Share: 1}}}})
	if s.Configuration != nil || s.Delta == nil {
		t.Errorf("got %+v, want a delta", s)
	}
	if got, want := apply(t, m, epoch, s), (Accepted{Revision: 3, At: epoch}); got != want {
		t.Errorf("submission of a delta: got %+v, want %+v", got, want)
	}
	if got := apply(t, m, epoch, Submission{ID: "n", Base: 2}); !reflect.DeepEqual(got,
		Invalid{Reason: "the submission needs either a configuration or a delta"}) {
		t.Errorf("neither configuration nor delta: got %+v", got)
	}
	if r, err := DecodeResult(m.Apply(csraft.Entry{Data: []byte{0xff}})); err != nil {
		t.Errorf("malformed submission: got %+v, %v", r, err)
	}
	if got := m.Head(); got.Revision != 3 || len(got.Configuration.Teams) != 1 || got.Configuration.Teams[0].Name != "u" {
		t.Errorf("got head %+v", got)
	}
}

// Guards against results that are dropped too early, and against results, changes and reasons that grow without limit.
func TestMachineBounds(t *testing.T) {
	m := NewMachine(nil)
	for i := range maxResults {
		submit(t, m, epoch.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), csmodel.Revision(i), i+1)
	}
	now := epoch.Add(resultRetention)
	if got := submit(t, m, now, "more", 0, 1); got != (Invalid{Reason: "too many submissions within a day", Retry: true}) {
		t.Errorf("got %+v, want a refusal that may be retried", got)
	}
	if got, want := submit(t, m, now, "0", 0, 1), (Accepted{Revision: 1, At: epoch}); got != want {
		t.Errorf("resent within the retention: got %+v, want %+v", got, want)
	}
	now = now.Add(time.Hour)
	got := submit(t, m, now, "later", maxResults-maxChanges-1, 1)
	c, ok := got.(Conflict)
	if !ok || !c.Truncated || c.Revision != maxResults {
		t.Errorf("got %+v, want a conflict whose changes are no longer kept", got)
	}
	if got := len(m.results.records); got != minRetainedResults+1 {
		t.Errorf("got %d results, want %d", got, minRetainedResults+1)
	}
	oldest := maxResults - minRetainedResults
	want := Accepted{Revision: csmodel.Revision(oldest + 1), At: epoch.Add(time.Duration(oldest) * time.Millisecond)}
	if got := submit(t, m, now, fmt.Sprint(oldest), 0, 1); got != want {
		t.Errorf("resent, among the last results: got %+v, want %+v", got, want)
	}
	if _, ok := m.Since(maxResults - maxChanges - 1); ok {
		t.Error("got changes beyond the limit")
	}
	if changes, ok := m.Since(maxResults - maxChanges); !ok || len(changes) != maxChanges {
		t.Errorf("got %d changes, want %d", len(changes), maxChanges)
	}
	if got := len(invalid("%s", strings.Repeat("ü", 1000)).Reason); got > maxReasonBytes {
		t.Errorf("got a reason of %d bytes, more than the limit", got)
	}
}

// Guards against replicas that diverge after one of them restarts from a snapshot.
func TestMachineSnapshot(t *testing.T) {
	m, restored := NewMachine(nil), NewMachine(nil)
	for i := range 5 {
		submit(t, m, epoch, fmt.Sprint(i), csmodel.Revision(i/2), i+1)
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for i := range 9 {
		want := submit(t, m, epoch, fmt.Sprint(i), csmodel.Revision(i/2), i+1)
		if got := submit(t, restored, epoch, fmt.Sprint(i), csmodel.Revision(i/2), i+1); !reflect.DeepEqual(got, want) {
			t.Errorf("submission %d: got %+v, want %+v", i, got, want)
		}
	}
	restoredData, err := restored.Snapshot()
	want, errWant := m.Snapshot()
	if err != nil || errWant != nil || !bytes.Equal(restoredData, want) {
		t.Error("the snapshot of the restored machine differs")
	}
	if err := restored.Restore(data[:len(data)-1]); err == nil {
		t.Error("a truncated snapshot was restored")
	}
}

// designSizeConfiguration returns a configuration with 101 pools, 101 jobs and 630 teams.
func designSizeConfiguration() csconfig.Configuration {
	var c csconfig.Configuration
	for i := range 101 {
		id := csmodel.PoolID(fmt.Sprintf("pool-%03d", i))
		c.Pools = append(c.Pools, csconfig.Pool{Name: id, Region: "region-1", Size: 32, Budget: 2})
		c.Jobs = append(c.Jobs, csconfig.Job{Name: csmodel.JobID(id), Pool: id, Class: csconfig.Urgent})
	}
	for i := range 630 {
		c.Teams = append(c.Teams, csconfig.Team{Name: csmodel.TeamID(fmt.Sprintf("team-%03d", i)), Share: 1, Rate: 10})
	}
	return c
}

// BenchmarkChange measures a change of one team: the encoding of the log entry, Machine.Apply and the activation on a
// peer. It reports the sizes of the log entry, of the update with the change and of an update with the whole configuration.
func BenchmarkChange(b *testing.B) {
	m := NewMachine(nil)
	c := designSizeConfiguration()
	apply(b, m, epoch, Submission{ID: "first", Configuration: &c})
	a := NewActivator(ActivatorOptions{Self: "a", Peers: []csmodel.NodeID{"b"}, Persisted: m.Head()})
	var entry, update int
	for i := 0; b.Loop(); i++ {
		c.Teams[i%len(c.Teams)].Share++
		s := m.ToDelta(Submission{ID: csmodel.SubmissionID(fmt.Sprint(i)), Base: m.Head().Revision, Configuration: &c})
		data, err := EncodeSubmission(s)
		if err != nil {
			b.Fatal(err)
		}
		m.Apply(csraft.Entry{At: epoch.Add(time.Duration(i) * time.Minute), Data: data})
		sent, err := EncodeUpdate(Update{Changes: []Change{m.Head().Change}})
		if err != nil {
			b.Fatal(err)
		}
		received, err := DecodeUpdate(sent)
		if err != nil || len(a.Step(epoch, UpdateReceived{Peer: "b", Update: received})) != 3 {
			b.Fatalf("not activated: %v", err)
		}
		entry, update = len(data), len(sent)
	}
	full, err := EncodeUpdate(Update{Full: new(m.Head())})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(entry), "entry-bytes")
	b.ReportMetric(float64(update), "update-bytes")
	b.ReportMetric(float64(len(full)), "full-bytes")
}
