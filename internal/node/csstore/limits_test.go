package csstore

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csadmit"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against limits that exceed the heap together, and against a small machine that accepts no job at all.
func TestLimits(t *testing.T) {
	cases := []struct {
		name string
		heap csmodel.Bytes
		jobs csmodel.Bytes // least
	}{
		{"no limit", 0, 0},
		{"small", 32 * csmodel.MiB, 8 * csmodel.MiB},
		{"a store of 160 MB", 96 * csmodel.MiB, 40 * csmodel.MiB},
		{"a store of 664 MB", 398 * csmodel.MiB, 300 * csmodel.MiB},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := limitsOf(c.heap)
			if l.jobs < c.jobs || l.jobs+l.calls > c.heap {
				t.Errorf("got %d bytes for jobs and %d for calls, want at least %d for jobs and at most %d together", l.jobs, l.calls, c.jobs, c.heap)
			}
		})
	}
}

// Pattern: large submissions arrive faster than they are committed. Guards against calls without a bound, and against small submissions
// that are refused because of large ones.
func TestCallsAreBounded(t *testing.T) {
	a := newAdmission(prometheus.NewRegistry(), limits{calls: csmodel.MiB})
	const large, small = 64 * csmodel.KiB, 2 * csmodel.KiB
	entered := 0
	for a.enter(large) {
		entered++
	}
	if got, want := entered, 12; got != want {
		t.Errorf("got %d large submissions at a time, want %d", got, want)
	}
	if !a.enter(small) {
		t.Error("got a small submission refused, want it answered")
	}
	a.leave(small)
	for range entered {
		a.leave(large)
	}
	if !a.enter(2 * csmodel.MiB) {
		t.Error("got a single submission refused, want it answered")
	}
}

// Pattern: many submissions are decided before the first of them is in the table. Guards against decisions that do not know of each other.
func TestSubmissionsBeingCommittedCount(t *testing.T) {
	const limit, need = csmodel.MiB, 4 * csmodel.KiB
	a := newAdmission(prometheus.NewRegistry(), limits{jobs: limit})
	o := csjob.Owner{Account: "a"}
	accepted := csmodel.Bytes(0)
	for range 2 * limit / need {
		a.reserve(o, need)
		if a.decideMemory(time.Unix(1_800_000_000, 0), "a", o, need, tableSizes{}).Reason != csadmit.None {
			a.release(o, need)
			continue
		}
		accepted += need
	}
	if accepted <= limit/2 || accepted > limit {
		t.Errorf("got %d bytes accepted, want at most %d and more than half of it", accepted, limit)
	}
	for range accepted / need {
		a.release(o, need)
	}
	if a.pending != 0 || len(a.owners) != 0 {
		t.Errorf("got %d bytes of %d owners afterwards, want none", a.pending, len(a.owners))
	}
}
