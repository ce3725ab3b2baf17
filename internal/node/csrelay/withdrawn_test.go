package csrelay_test

import (
	"context"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// TestWithdrawnCallTellsNothing guards against new connections to all targets after a change of the leader: it withdraws its
// calls, takes them for unanswered, and calls the targets by other ways when it leads again.
func TestWithdrawnCallTellsNothing(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.ready(1)
	gate := make(chan struct{})
	w.nodes["store/2"].calls.gate = gate
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := w.nodes[leader].relay.Poll(ctx, target("t", "b"), csrun.PollRequest{Wait: time.Second}); err == nil {
		t.Fatal("got an answer to a withdrawn call, want an error")
	}
	close(gate)
	if err := w.start("t", "b"); err != nil {
		t.Fatal(err)
	}
	if got, want := w.nodes[leader].calls.count(), 0; got != want {
		t.Errorf("got %d calls by the leader itself, want %d", got, want)
	}
}
