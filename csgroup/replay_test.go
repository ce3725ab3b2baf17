package csgroup

import (
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Pattern: a store with the log of a busy minute is reopened. Guards against a replay whose cost is quadratic in the length of
// the log and during which the group has no leader.
func TestReplayReadsEachRecordOnce(t *testing.T) {
	few, many := replayBytes(t, 1000), replayBytes(t, 4000)
	// Four times the records need four times the memory; copying all entries for each record would need sixteen times.
	if many > 8*few {
		t.Errorf("got %d bytes allocated for 1,000 records and %d for 4,000, want at most 8 times as many", few, many)
	}
}

// Guards against a folder of an earlier version that cannot be read, and against a lost commit index.
func TestReplayRestoresCommitIndex(t *testing.T) {
	entries, err := csraft.EncodeEntries([]csraft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}})
	if err != nil {
		t.Fatal(err)
	}
	state := csraft.HardState{Term: 1}
	cases := []struct {
		name    string
		records []any
		want    csmodel.Index
	}{
		{"earlier version", []any{recordWithoutCommit{State: state, Based: true, Entries: entries}}, 0},
		{"latest record", []any{record{State: state, Based: true, Entries: entries}, record{State: state, Commit: 2}}, 2},
		{"not in the last record", []any{record{State: state, Based: true, Entries: entries, Commit: 2}, record{State: state}}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r csraft.Restored
			for i, o := range c.records {
				b, err := cbor.Marshal(o)
				if err != nil {
					t.Fatal(err)
				}
				if err := replay(&r, b, i == 0); err != nil {
					t.Fatal(err)
				}
			}
			if r.Commit != c.want || len(r.Entries) != 3 {
				t.Errorf("got commit %d and %d entries, want %d and 3", r.Commit, len(r.Entries), c.want)
			}
		})
	}
}

// replayBytes returns the bytes allocated to replay a log of n records with one entry each.
func replayBytes(t *testing.T, n int) uint64 {
	t.Helper()
	records := make([][]byte, 0, n)
	for i := range n {
		entries, err := csraft.EncodeEntries([]csraft.Entry{{Index: csmodel.Index(i + 1), Term: 1, Data: []byte("command")}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := cbor.Marshal(record{State: csraft.HardState{Term: 1}, Based: i == 0, Entries: entries})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, b)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var r csraft.Restored
	for i, b := range records {
		if err := replay(&r, b, i == 0); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := len(r.Entries); got != n {
		t.Fatalf("got %d entries, want %d", got, n)
	}
	return after.TotalAlloc - before.TotalAlloc
}
