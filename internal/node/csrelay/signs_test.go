package csrelay_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Pattern: 230 heartbeats a second reach the leader one by one. Those that change nothing reach it in the reports of the other
// stores, with the time that they have waited there.
func TestSignsReachTheLeader(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.ready(1)
	n := w.nodes["store/2"]
	const targets = 50
	for i := range targets {
		life := csjob.Incarnation{Target: csjob.TargetID(fmt.Sprintf("t%d", i)), StartedAtMs: 5}
		if !n.relay.Sign(leader, csrun.SignOfLife{Incarnation: life, Sequence: int64(i)}) {
			t.Fatalf("sign %d was not taken", i)
		}
	}
	n.clock.ahead.Add(int64(10 * time.Second)) // the store is suspended before its next report
	var got []csrun.SignOfLife
	batches := 0
	w.until("signs", func() bool {
		select {
		case s := <-w.nodes[leader].signs:
			got = append(got, s...)
			batches++
		default:
		}
		return len(got) == targets
	})
	if batches > 2 {
		t.Errorf("got %d batches, want one for each report", batches)
	}
	for i, s := range got {
		if s.Sequence != int64(i) || s.Incarnation.StartedAtMs != 5 || s.Age < 10*time.Second {
			t.Errorf("got %+v, want sequence %d and the time of the suspension", s, i)
		}
	}
}

// Heartbeats that cannot be passed on must not be acknowledged, however many there are.
func TestWaitingSignsAreBounded(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.nodes["store/2"].relay.Close()
	taken := 0
	for i := range 3000 {
		if w.nodes["store/2"].relay.Sign(leader, csrun.SignOfLife{Sequence: int64(i)}) {
			taken++
		}
	}
	if most := 2 * 1024; taken > most { // one report may have left before Close
		t.Errorf("%d signs were taken, want at most %d", taken, most)
	}
}

// A target sends its heartbeats to the store that calls it, so all stores have to agree on which one that is. A store that has
// not heard from the leader names none.
func TestStoresAgreeOnTheResponsibleOne(t *testing.T) {
	w := newWorld(t, "a", "a", "b", "b", "c")
	zones := []csmodel.AvailabilityZone{"a", "b", "c", "d"}
	if got := w.nodes["store/2"].relay.Responsible(target("t", "a")); got != "" {
		t.Errorf("got %q before the first list, want none", got)
	}
	agree := func() bool {
		seen := map[csmodel.NodeID]bool{}
		for i := range 40 {
			o := target(csjob.TargetID(fmt.Sprintf("t%d", i)), zones[i%len(zones)])
			want := w.nodes[leader].relay.Responsible(o)
			seen[want] = true
			for _, n := range w.nodes {
				if n.relay.Responsible(o) != want {
					return false
				}
			}
		}
		return len(seen) == len(w.nodes)-1 && !seen[leader]
	}
	w.until("agreement", agree)
	w.set(w.lose, "store/3")
	w.nodes["store/3"].clock.ahead.Add(int64(10 * time.Second))
	if got := w.nodes["store/3"].relay.Responsible(target("t", "a")); got != "" {
		t.Errorf("got %q without a list for 10 s, want none", got)
	}
}
