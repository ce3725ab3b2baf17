package csjob_test

import (
	"testing"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against decisions of an earlier leader that take effect under a later one: the group may commit a forwarded command in
// a later term.
func TestCommandOfEarlierTermIsRefused(t *testing.T) {
	tests := []struct {
		name          string
		decided, term csmodel.Term
		want          csjob.Verdict
		open          int
	}{
		{"same term", 4, 4, csjob.Accepted, 1},
		{"later term", 4, 5, csjob.Refused, 0},
		{"independent of the term", 0, 5, csjob.Accepted, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", steps(1)...)
			h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(1), Pool: "p"}}}})
			h.term = tt.term
			got := h.apply(csjob.Command{Term: tt.decided, Starts: []csjob.Start{{Task: task("a", 0, 0), Attempt: 1, Incarnation: incarnation(1)}}})
			if got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
			if got := h.table.Job("a").OpenRuns; got != tt.open {
				t.Errorf("got %d open runs, want %d", got, tt.open)
			}
		})
	}
}
