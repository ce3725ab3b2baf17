package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: jobs are cancelled while many others start on the same targets. Orders to a target are bounded, and a stop must
// not wait behind starts until its task counts as unasked (rule UNASKED).
func TestStopsGoBeforeStarts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	w := &target{}
	add := func(u run) {
		u.key.attempt = csjob.Attempt(len(w.list) + 1)
		w.list = append(w.list, &u)
	}
	for n := range 40 {
		add(run{since: now.Add(time.Duration(n) * time.Millisecond)})
	}
	add(run{stop: true, started: true, since: now.Add(time.Second)})
	add(run{stop: true, started: true, since: now.Add(-time.Second)})
	add(run{stop: true, started: true, busy: true})
	add(run{stop: true, stopped: true})
	add(run{stop: true, nextAt: now.Add(time.Second)})
	add(run{started: true})
	stops, starts := w.dueOrders(now)
	if got, want := len(stops), 2; got != want {
		t.Fatalf("got %d stops, want %d", got, want)
	}
	if got, want := stops[0].since, now.Add(-time.Second); !got.Equal(want) {
		t.Errorf("got the stop of a run since %v first, want the oldest, since %v", got, want)
	}
	if got, want := len(starts), 40; got != want {
		t.Fatalf("got %d starts, want %d", got, want)
	}
	for n, u := range starts {
		if got, want := u.since, now.Add(time.Duration(n)*time.Millisecond); !got.Equal(want) {
			t.Errorf("start %d: got a run since %v, want %v", n, got, want)
		}
	}
}
