package csjob_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// entryLimit is the largest entry that the group takes, 1 MiB and 64 KiB.
const entryLimit = 1<<20 + 64<<10

// largeConfig returns a configuration with a number of queues and a document of 250 bytes for each.
func largeConfig(version int64, queues int) *csjob.Config {
	c := &csjob.Config{Version: version, Pools: []csjob.Pool{{ID: "p"}}, Document: []byte(strings.Repeat("d", 250*queues))}
	for i := range queues {
		c.Queues = append(c.Queues, csjob.Queue{
			Key: csjob.QueueKey{Host: "queue.example", Prefix: fmt.Sprintf("/some/jobs-%d/", i)}, Name: fmt.Sprint("r-", i), Pool: "p",
			Attempts: 2, Stretch: 1.6, Objective: time.Second, Timeout: time.Second,
		})
	}
	return c
}

// applyParts applies the entries and returns the verdict of the last one.
func (h *harness) applyParts(entries [][]byte) csjob.Verdict {
	v := csjob.Refused
	for _, b := range entries {
		h.index++
		v = csjob.ParseVerdict(h.table.Apply(csraft.Entry{Index: h.index, Term: h.term, At: h.now, Data: b}))
	}
	return v
}

func parts(t *testing.T, c csjob.Command) [][]byte {
	t.Helper()
	out, err := c.EncodeParts()
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Pattern: the configuration grows by many routes. Guards against a valid configuration that can never be committed because it is
// larger than an entry of the log.
func TestLargeConfigurationIsCommitted(t *testing.T) {
	for _, queues := range []int{10, 1000, 4000, 16_000} {
		t.Run(fmt.Sprint(queues), func(t *testing.T) {
			h := newHarness(t)
			entries := parts(t, csjob.Command{Config: largeConfig(5, queues)})
			for i, b := range entries {
				if len(b) > entryLimit {
					t.Fatalf("entry %d of %d: got %d bytes, want at most %d", i, len(entries), len(b), entryLimit)
				}
			}
			if got := h.applyParts(entries); got != csjob.Accepted {
				t.Fatalf("got verdict %d, want accepted", got)
			}
			if got := len(h.table.Config().Queues); got != queues {
				t.Errorf("got %d queues, want %d", got, queues)
			}
		})
	}
}

// The parts of a command arrive once or more, in any order, beside those of others, before and after a snapshot.
func TestPartsOfCommand(t *testing.T) {
	h := newHarness(t)
	first, second := parts(t, csjob.Command{Config: largeConfig(5, 4000)}), parts(t, csjob.Command{Config: largeConfig(7, 4000)})
	for _, entries := range [][][]byte{{first[1]}, {second[0]}, {first[1]}, first[2:]} {
		if got := h.applyParts(entries); got != csjob.Incomplete {
			t.Fatalf("a part is missing: got verdict %d, want incomplete", got)
		}
	}
	b, err := h.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := h.table.Restore(b); err != nil {
		t.Fatal(err)
	}
	if got := h.table.Config().Version; got != 1 {
		t.Fatalf("got version %d before the last part, want 1", got)
	}
	if got := h.applyParts(first[:1]); got != csjob.Accepted || h.table.Config().Version != 5 {
		t.Fatalf("got verdict %d and version %d, want accepted and 5", got, h.table.Config().Version)
	}
	if got := h.applyParts(second[1:]); got != csjob.Accepted || h.table.Config().Version != 7 {
		t.Fatalf("got verdict %d and version %d, want accepted and 7", got, h.table.Config().Version)
	}
	if got := h.applyParts(first); got != csjob.StaleVersion {
		t.Errorf("an older version again: got verdict %d, want stale", got)
	}
}

// A proposer that gives up leaves parts behind. They must not stay, and damaged ones must not be applied.
func TestIncompleteCommandsAreDropped(t *testing.T) {
	h := newHarness(t)
	size := func() int {
		b, err := h.table.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	empty := size()
	for i := range 20 {
		h.applyParts(parts(t, csjob.Command{Config: largeConfig(int64(100+i), 4000)})[:1])
	}
	if got, limit := size(), empty+5*entryLimit; got > limit {
		t.Errorf("20 incomplete commands: got a snapshot of %d bytes, want at most %d", got, limit)
	}
	h.now = h.now.Add(time.Minute)
	entries := parts(t, csjob.Command{Config: largeConfig(9, 4000)})
	if got := h.applyParts(entries); got != csjob.Accepted {
		t.Errorf("got verdict %d, want accepted", got)
	}
	if got, limit := size(), 3*entryLimit; got > limit {
		t.Errorf("after a minute: got a snapshot of %d bytes, want at most %d", got, limit)
	}
	damaged := csjob.Command{Part: &csjob.Part{Digest: "x", Index: 0, Count: 1, Data: []byte("x")}}
	for _, p := range []csjob.Part{*damaged.Part, {Digest: "x", Index: 2, Count: 2}, {Digest: "x", Count: 1 << 30}, {Digest: "x", Index: -1, Count: 2}} {
		if got := h.apply(csjob.Command{Part: &p}); got != csjob.Refused {
			t.Errorf("part %d of %d: got verdict %d, want refused", p.Index, p.Count, got)
		}
	}
}

// Parts keep the term of their command: a later leader may have decided differently.
func TestPartsOfDeposedLeaderAreRefused(t *testing.T) {
	h := newHarness(t)
	h.submit("a", steps(1)...)
	command := csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(1), Pool: "p"}}}, Term: 3}
	for i := range 40_000 {
		command.Ends = append(command.Ends, csjob.End{Task: task("a", 0, i), Attempt: 1, Incarnation: incarnation(1), Outcome: csjob.OutcomeDone})
	}
	entries := parts(t, command)
	if len(entries) < 2 {
		t.Fatal("the command has one part only")
	}
	h.term = 3
	h.applyParts(entries[:1])
	h.term = 4
	if got := h.applyParts(entries[1:]); got != csjob.Refused {
		t.Errorf("got verdict %d, want refused", got)
	}
}

// What was accepted must be readable after a restart, whatever its size: the default limits of the decoder are lower.
func TestLargeTableIsRestored(t *testing.T) {
	h := newHarness(t)
	wave := csjob.Wave{ID: "1", MaxConcurrent: 1}
	for i := range 200_000 {
		wave.VMs = append(wave.VMs, csmodel.VMID(fmt.Sprint("m-", i)))
	}
	if got := h.applyParts(parts(t, csjob.Command{Wave: &wave})); got != csjob.Accepted {
		t.Fatalf("got verdict %d, want accepted", got)
	}
	b, err := h.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored csjob.Table
	if err := restored.Restore(b); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if got, want := len(restored.Wave("1").Wave.VMs), len(wave.VMs); got != want {
		t.Errorf("got %d VMs, want %d", got, want)
	}
}
