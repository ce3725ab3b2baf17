package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Pattern: all members restart with the log of a busy minute. Guards against a machine that gets the committed entries only
// after the next leader has committed one, so that the leader makes no decisions until the whole log is applied.
func TestRestartedMemberExecutesWhatWasCommitted(t *testing.T) {
	entries := make([]Entry, 0, 5)
	data, err := EncodeMembership(testMembers)
	if err != nil {
		t.Fatal(err)
	}
	entries = append(entries, Entry{Term: 1, Index: 1, Kind: EntryMembership, Data: data})
	for i := csmodel.Index(2); i <= 5; i++ {
		entries = append(entries, Entry{Term: 1, Index: i})
	}
	cases := []struct {
		name    string
		commit  csmodel.Index
		applied csmodel.Index
		want    []csmodel.Index
	}{
		{"commit not saved", 0, 0, nil},
		{"commit within the log", 3, 0, []csmodel.Index{1, 2, 3}},
		{"machine applied more than the commit", 3, 4, nil},
		{"commit after the end of the log", 9, 0, []csmodel.Index{1, 2, 3, 4, 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core := New(Config{Self: "a", Incarnation: 1, Members: testMembers.Members}, Restored{
				State: HardState{Term: 1}, Entries: entries, Commit: c.commit, Applied: c.applied,
			})
			var got []csmodel.Index
			for _, o := range core.Step(time.Unix(1000, 0), Tick{}) {
				if a, ok := o.(Apply); ok {
					for _, e := range a.Entries {
						got = append(got, e.Index)
					}
				}
			}
			if len(got) != len(c.want) || len(got) > 0 && got[len(got)-1] != c.want[len(c.want)-1] {
				t.Errorf("got entries %v applied, want %v", got, c.want)
			}
		})
	}
}

// TestSavedCommitCoversEarlierEntriesOnly guards against a saved commit index ahead of the durable log: if a crash loses the
// next record, the commit must not cover entries that the lost record would have replaced.
func TestSavedCommitCoversEarlierEntriesOnly(t *testing.T) {
	c, now := testCore(t, "b", HardState{Term: 2}, Entry{Term: 1, Index: 2}, Entry{Term: 1, Index: 3})
	out := c.Step(now, Receive{Message: Message{
		Kind: MessageAppend, From: "a", Incarnation: 1, Term: 3, Index: 1, LogTerm: 1, Commit: 2,
		Entries: []Entry{{Term: 3, Index: 2}},
	}})
	saves := 0
	for _, o := range out {
		if s, ok := o.(Save); ok {
			saves++
			if s.Commit != 0 {
				t.Errorf("got commit %d in a Save of term %d with %d entries, want 0", s.Commit, s.State.Term, len(s.Entries))
			}
		}
	}
	if saves == 0 {
		t.Fatal("got no Save command")
	}
	out = c.Step(now, Receive{Message: Message{
		Kind: MessageAppend, From: "a", Incarnation: 1, Term: 3, Index: 2, LogTerm: 3, Commit: 2,
		Entries: []Entry{{Term: 3, Index: 3}},
	}})
	for _, o := range out {
		if s, ok := o.(Save); ok && s.Commit != 2 {
			t.Errorf("got commit %d, want 2", s.Commit)
		}
	}
}
