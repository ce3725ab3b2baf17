package csjob_test

import (
	"fmt"
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a reader of the table processes what has changed since its last round. Guards against changes that the log omits,
// and against a log that grows without bound while nobody reads it.
func TestChangedSince(t *testing.T) {
	h := newHarness(t)
	latest := func() uint64 { return h.table.Changes() }
	type want struct {
		ended   int
		targets []csjob.TargetID
		runs    []csjob.RunKey
	}
	check := func(name string, since uint64, w want) {
		t.Helper()
		c, known := h.table.ChangedSince(since)
		if !known || len(c.Targets) != len(w.targets) || len(c.Runs) != len(w.runs) || len(c.Ended) != w.ended {
			t.Errorf("%s: got changes %+v, known %v, want %+v", name, c, known, w)
		}
		for _, id := range w.targets {
			if !c.Targets.Has(id) {
				t.Errorf("%s: got changed targets %v, want them to include %s", name, c.Targets, id)
			}
		}
		for _, o := range w.runs {
			if !c.Runs.Has(o) {
				t.Errorf("%s: got changed runs %v, want them to include %v", name, c.Runs, o)
			}
		}
	}
	first := csjob.RunKey{Incarnation: incarnation(1), Task: task("a", 0, 0)}
	second := csjob.RunKey{Incarnation: incarnation(2), Task: task("a", 0, 1)}
	join := func(n int) {
		h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(n)}}}})
	}
	join(1)
	join(2)
	check("targets join", 0, want{targets: []csjob.TargetID{"t1", "t2"}})
	before := latest()
	check("no change", before, want{})
	h.submit("a", steps(2)...)
	check("submission", before, want{})
	h.apply(csjob.Command{Starts: []csjob.Start{
		{Task: task("a", 0, 0), Attempt: 1, Incarnation: incarnation(1)}, {Task: task("a", 0, 1), Attempt: 1, Incarnation: incarnation(2)},
	}})
	check("two runs start", before, want{runs: []csjob.RunKey{first, second}})
	before = latest()
	h.apply(csjob.Command{Ends: []csjob.End{{Task: task("a", 0, 0), Attempt: 1, Incarnation: incarnation(1)}}})
	check("one run ends", before, want{runs: []csjob.RunKey{first}})
	before = latest()
	h.apply(csjob.Command{Cancel: &csjob.JobRef{Queue: queueKey, ID: "a"}})
	check("job with an open run is cancelled", before, want{ended: 1, runs: []csjob.RunKey{second}})

	before = latest()
	for n := range 20000 {
		join(3 + n%5)
	}
	if c, known := h.table.ChangedSince(before); known {
		t.Errorf("got %d targets for a reader that is 20,000 changes behind, want unknown changes", len(c.Targets))
	}
	check("the last two of many changes", latest()-2, want{targets: []csjob.TargetID{"t6", "t7"}})

	b, err := h.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before = latest()
	if err := h.table.Restore(b); err != nil {
		t.Fatal(err)
	}
	if _, known := h.table.ChangedSince(before); known {
		t.Error("got known changes across a restored snapshot, want unknown ones")
	}
}

// Guards against a change of the format of task names, which targets store.
func TestTaskKeyString(t *testing.T) {
	for _, k := range []csjob.TaskKey{task("a", 0, 0), {Job: "00ff", Occurrence: 12, Step: 345, Index: 6789}} {
		if got, want := k.String(), fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
