package csjob_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// repeating submits a job that repeats every five minutes.
func (h *harness) repeating(id csjob.ID, repeats int, s ...csjob.Step) csjob.Verdict {
	return h.apply(csjob.Command{Submit: &csjob.Submission{
		ID: id, Queue: queueKey, Steps: s, Spec: "spec", First: h.now.Add(5 * time.Minute), Interval: 5 * time.Minute, Repeats: repeats,
	}})
}

// Pattern: client accounts schedule jobs that repeat for a year. Guards against memory and snapshots that grow with the number of
// occurrences instead of with what has begun: every store allocates the same, again after each restart.
func TestSizeOfJobDoesNotDependOnOccurrences(t *testing.T) {
	size := func(repeats int) int {
		h := newHarness(t)
		for i := range 30 {
			if got := h.repeating(csjob.ID(fmt.Sprint(i)), repeats, steps(3, 2)...); got != csjob.Accepted {
				t.Fatalf("%d occurrences: got verdict %d, want accepted", repeats, got)
			}
		}
		b, err := h.table.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	few, many := size(2), size(365*24*12)
	if many > 2*few {
		t.Errorf("got a snapshot of %d bytes for jobs that repeat for a year, want about the %d bytes of jobs with two occurrences", many, few)
	}
}

// An occurrence that is done takes no memory and can't start again, and the job is completed with its last occurrence, whatever
// the order in which they end.
func TestOccurrencesAreReleasedWhenDone(t *testing.T) {
	h := newHarness(t)
	const repeats = 50
	h.repeating("a", repeats, steps(1)...)
	order := []int{}
	for i := range repeats {
		order = append(order, (i*7+3)%repeats)
	}
	for i, n := range order {
		h.wantState("a", max(csjob.Queued, csjob.State(min(i, 1))))
		k := csjob.TaskKey{Job: "a", Occurrence: n}
		h.start(k, 1, incarnation(1))
		if got, want := len(h.table.Job("a").Begun), 1; got != want {
			t.Fatalf("got %d occurrences in memory, want %d", got, want)
		}
		h.end(k, 1, csjob.OutcomeDone)
		h.start(k, 2, incarnation(1))
		if got := h.table.Job("a").OpenRuns; got != 0 {
			t.Fatalf("occurrence %d: got %d open runs after it was done, want none", n, got)
		}
		notBegun := slices.Collect(h.table.Job("a").NotBegun())
		if got, want := len(notBegun), repeats-i-1; i < repeats-1 && (got != want || slices.Contains(notBegun, n)) {
			t.Fatalf("got occurrences %v as not begun, want %d without %d", notBegun, want, n)
		}
	}
	h.wantState("a", csjob.Completed)
}

// A start must not modify the tasks that all occurrences without a start share.
func TestOccurrencesDoNotShareProgress(t *testing.T) {
	h := newHarness(t)
	h.repeating("a", 3, steps(2)...)
	h.repeating("b", 3, steps(2)...)
	h.start(csjob.TaskKey{Job: "a", Occurrence: 1}, 1, incarnation(1))
	for _, id := range []csjob.ID{"a", "b"} {
		for n := range 3 {
			for i := range 2 {
				want := id != "a" || n != 1 || i != 0
				if got := h.table.Job(id).Task(csjob.TaskKey{Job: id, Occurrence: n, Index: i}).Idle(); got != want {
					t.Errorf("task %d of occurrence %d of %s: got idle %t, want %t", i, n, id, got, want)
				}
			}
		}
	}
}

// A schedule whose last due time can't be represented would begin in the past.
func TestInvalidSchedulesAreRefused(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		repeats  int
		want     csjob.Verdict
	}{
		{"a year", 5 * time.Minute, 105_120, csjob.Accepted},
		{"a century", 24 * time.Hour, 36_500, csjob.Accepted},
		{"all at once", 0, 1 << 40, csjob.Accepted},
		{"overflow", time.Hour, 1 << 40, csjob.Refused},
		{"negative interval", -time.Second, 2, csjob.Refused},
		{"negative number", time.Second, -2, csjob.Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			s := csjob.Submission{ID: "a", Queue: queueKey, Steps: steps(1), First: h.now, Interval: c.interval, Repeats: c.repeats}
			if got := h.apply(csjob.Command{Submit: &s}); got != c.want {
				t.Errorf("got verdict %d, want %d", got, c.want)
			}
		})
	}
}

func TestSpansAgreeWithSet(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var spans csjob.Spans
		set := csmodel.NewSet[int]()
		for range rapid.IntRange(0, 40).Draw(r, "additions") {
			n := rapid.IntRange(0, 30).Draw(r, "number")
			spans.Add(n)
			set.Add(n)
		}
		if got, want := spans.Count(), len(set); got != want {
			r.Fatalf("got %d numbers, want %d", got, want)
		}
		for n := range 31 {
			if got, want := spans.Has(n), set.Has(n); got != want {
				r.Fatalf("number %d: got %t, want %t", n, got, want)
			}
		}
		for i := 1; i < len(spans); i++ {
			if spans[i].First <= spans[i-1].Last+1 {
				r.Fatalf("got ranges %v, want none that overlap or touch", spans)
			}
		}
	})
}

// Guards against tasks that run twice after an update: a snapshot of an earlier version holds the tasks of all occurrences.
func TestSnapshotOfEarlierVersionKeepsProgress(t *testing.T) {
	h := newHarness(t)
	h.repeating("a", 4, steps(2)...)
	for i := range 2 {
		k := csjob.TaskKey{Job: "a", Occurrence: 0, Index: i}
		h.start(k, 1, incarnation(1))
		h.end(k, 1, csjob.OutcomeDone)
	}
	h.start(csjob.TaskKey{Job: "a", Occurrence: 2, Index: 1}, 1, incarnation(1))
	want := h.table.Job("a")
	b, err := h.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var old map[int]any
	if err := cbor.Unmarshal(b, &old); err != nil {
		t.Fatal(err)
	}
	job := map[int]any{1: want.Submission, 2: want.Accepted, 4: want.State, 7: want.OpenRuns, 8: want.AcceptIndex}
	done := []csjob.Task{{Done: true, Attempts: 1}, {Done: true, Attempts: 1}}
	job[5] = [][][]csjob.Task{{done}, {make([]csjob.Task, 2)}, want.Begun[0].Tasks, {make([]csjob.Task, 2)}}
	job[6] = [][]int{{0}, {2}, {2}, {2}}
	old[3] = map[csjob.ID]any{"a": job}
	if b, err = cbor.Marshal(old); err != nil {
		t.Fatal(err)
	}
	var restored csjob.Table
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	got := restored.Job("a")
	if !reflect.DeepEqual(got.Begun[0].Tasks[0][1].Attempts, want.Begun[0].Tasks[0][1].Attempts) || len(got.Begun) != 1 {
		t.Errorf("got occurrences %+v, want %+v", got.Begun, want.Begun)
	}
	if !reflect.DeepEqual(got.Finished, want.Finished) {
		t.Errorf("got finished occurrences %v, want %v", got.Finished, want.Finished)
	}
	if !restored.Busy(incarnation(1)) {
		t.Error("the open run is gone")
	}
}
