package csrun

import (
	"fmt"
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// groupLimit is the size above which the group refuses a command, in bytes.
const groupLimit = 1<<20 + 64<<10

// Pattern: a pool becomes free while jobs of thousands of small tasks wait. Guards against a round that decides more than a command
// can hold: it would be refused and decided again for good, and nothing would start or end in any pool (rule LOST).
func TestRoundIsSplitIntoCommands(t *testing.T) {
	d := decisions{endNumbers: map[csjob.Incarnation]int64{}}
	incarnation := func(n int) csjob.Incarnation {
		return csjob.Incarnation{Target: csjob.TargetID(fmt.Sprintf("i-%010x", n)), StartedAtMs: 1_800_000_000_000}
	}
	const targets, endsEach, starts, changes = 300, 500, 65_000, 5000
	for n := range endsEach {
		for i := range targets {
			k := csjob.TaskKey{Job: "0123456789abcdef", Step: i, Index: n}
			d.ends = append(d.ends, csjob.End{Task: k, Attempt: 1, Incarnation: incarnation(i), Checkpoint: "0123456789abcdef"})
			d.endNumbers[incarnation(i)] = int64(n + 1)
		}
	}
	for i := range starts {
		k := csjob.TaskKey{Job: "0123456789abcdef", Step: i / 5000, Index: i % 5000}
		d.starts = append(d.starts, csjob.Start{Task: k, Attempt: 3, Incarnation: incarnation(i % targets)})
		d.begun = append(d.begun, csjob.ID(fmt.Sprintf("%016x", i)))
	}
	for i := range changes {
		record := csjob.Target{Incarnation: incarnation(i), Address: "10.128.100.100:8080", Labels: []string{"a", "r1-3"}}
		d.targets = append(d.targets, targetChange{csjob.TargetEvent{Target: record}, make(chan error, 1)})
	}
	var got struct{ ends, starts, changes, waiters, begun int }
	acknowledged := map[csjob.Incarnation]int{}
	for i, b := range d.batches() {
		encoded, err := b.command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > groupLimit {
			t.Errorf("command %d: got %d bytes, want at most %d", i, len(encoded), groupLimit)
		}
		got.ends += len(b.command.Ends)
		got.starts += len(b.command.Starts)
		got.changes += len(b.command.Targets)
		got.begun += len(b.command.Begun)
		got.waiters += len(b.waiters)
		in := map[csjob.Incarnation]int{}
		for _, e := range b.command.Ends {
			in[e.Incarnation]++
		}
		for l, n := range b.endNumbers {
			acknowledged[l]++
			if int64(in[l]) != n {
				t.Errorf("command %d acknowledges %d ends of %s and contains %d", i, n, l.Target, in[l])
			}
		}
	}
	want := got
	want.ends, want.starts, want.changes, want.waiters, want.begun = targets*endsEach, starts, changes, changes, starts
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(acknowledged) != targets {
		t.Errorf("got ends of %d targets acknowledged, want %d", len(acknowledged), targets)
	}
}

// A round of the usual size is one command, because each command costs a commit.
func TestUsualRoundIsOneCommand(t *testing.T) {
	d := decisions{}
	for i := range 400 {
		d.starts = append(d.starts, csjob.Start{Task: csjob.TaskKey{Job: "0123456789abcdef", Index: i}, Incarnation: csjob.Incarnation{Target: "i-0123456789"}})
	}
	if got := len(d.batches()); got != 1 {
		t.Errorf("got %d commands, want 1", got)
	}
	if got := len((&decisions{}).batches()); got != 1 {
		t.Errorf("nothing decided: got %d commands, want the one that resolves commands in doubt", got)
	}
}

// A change of a target that is too large for a command must not keep the other decisions from being committed.
func TestLargeChangeIsCommandOfItsOwn(t *testing.T) {
	large := csjob.Target{Incarnation: csjob.Incarnation{Target: "large"}, Labels: []string{string(make([]byte, 2*groupLimit))}}
	d := decisions{
		targets: []targetChange{{TargetEvent: csjob.TargetEvent{Target: large}}},
		starts:  []csjob.Start{{Task: csjob.TaskKey{Job: "a"}}},
	}
	for _, b := range d.batches() {
		if len(b.command.Targets) > 0 && len(b.command.Starts) > 0 {
			t.Error("the start is in the command of the large change")
		}
	}
}
