package csgroup

import (
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Pattern: a store with the log of a busy minute starts again. Guards against a start whose cost grows with the square of the
// log, during which the group has no leader.
func TestReplayReadsEachRecordOnce(t *testing.T) {
	few, many := replayBytes(t, 1000), replayBytes(t, 4000)
	// Four times the records take four times the memory; copying the entries for each record takes sixteen times.
	if many > 8*few {
		t.Errorf("got %d bytes allocated for 1,000 records and %d for 4,000, want at most 8 times as many", few, many)
	}
}

// replayBytes returns what is allocated to replay a log of records with one entry each.
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
