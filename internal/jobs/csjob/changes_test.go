package csjob_test

import (
	"fmt"
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a reader of the table looks at what has changed since its last round. Guards against a change that it is not
// told of, and against a list that grows without a reader.
func TestChangedSince(t *testing.T) {
	h := newHistory(t)
	mark := func() uint64 { return h.table.Changes() }
	type want struct {
		ended   int
		targets []csjob.TargetID
		runs    []csjob.RunOn
	}
	check := func(name string, since uint64, w want) {
		t.Helper()
		c, known := h.table.ChangedSince(since)
		if !known || len(c.Targets) != len(w.targets) || len(c.Runs) != len(w.runs) || len(c.Ended) != w.ended {
			t.Errorf("%s: got %+v, known %v, want %+v", name, c, known, w)
		}
		for _, id := range w.targets {
			if !c.Targets.Has(id) {
				t.Errorf("%s: got %v, want %s among them", name, c.Targets, id)
			}
		}
		for _, o := range w.runs {
			if !c.Runs.Has(o) {
				t.Errorf("%s: got %v, want %v among them", name, c.Runs, o)
			}
		}
	}
	first := csjob.RunOn{Life: life(1), Task: task("a", 0, 0)}
	second := csjob.RunOn{Life: life(2), Task: task("a", 0, 1)}
	join := func(n int) { h.do(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life(n)}}}}) }
	join(1)
	join(2)
	check("joins", 0, want{targets: []csjob.TargetID{"t1", "t2"}})
	before := mark()
	check("nothing", before, want{})
	h.submit("a", steps(2)...)
	check("submission", before, want{})
	h.do(csjob.Command{Starts: []csjob.Start{{Task: task("a", 0, 0), Attempt: 1, Life: life(1)}, {Task: task("a", 0, 1), Attempt: 1, Life: life(2)}}})
	check("starts", before, want{runs: []csjob.RunOn{first, second}})
	before = mark()
	h.do(csjob.Command{Ends: []csjob.End{{Task: task("a", 0, 0), Attempt: 1, Life: life(1)}}})
	check("end", before, want{runs: []csjob.RunOn{first}})
	before = mark()
	h.do(csjob.Command{Cancel: &csjob.Ref{Queue: key, ID: "a"}})
	check("cancelled with an open run", before, want{ended: 1, runs: []csjob.RunOn{second}})

	before = mark()
	for n := range 20000 {
		join(3 + n%5)
	}
	if c, known := h.table.ChangedSince(before); known {
		t.Errorf("got %d targets for a reader that is 20,000 changes behind, want that they are not known", len(c.Targets))
	}
	check("the latest of many", mark()-2, want{targets: []csjob.TargetID{"t6", "t7"}})

	b, err := h.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before = mark()
	if err := h.table.Restore(b); err != nil {
		t.Fatal(err)
	}
	if _, known := h.table.ChangedSince(before); known {
		t.Error("got changes since before a restored snapshot, want that they are not known")
	}
}

// Guards against task names that targets do not know any more.
func TestTaskName(t *testing.T) {
	for _, k := range []csjob.TaskKey{task("a", 0, 0), {Job: "00ff", Occurrence: 12, Step: 345, Index: 6789}} {
		if got, want := k.String(), fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
