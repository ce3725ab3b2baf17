package csrun

import (
	"fmt"
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a new leader knows hundreds of targets and none of their clocks. Looks at all of them at once would delay its
// heartbeats, and leases of tasks that last would be extended last (rules AVAIL and LOST).
func TestFirstLooksAreBounded(t *testing.T) {
	lasting, busy := []*run{{}, {lasting: true}}, []*run{{}, {}}
	var waiting []*target
	for n := range 3 * firstLooks {
		w := &target{life: csjob.Life{Target: csjob.TargetID(fmt.Sprint(n))}}
		switch {
		case n%10 == 9:
			w.list = lasting
		case n%2 == 1:
			w.list = busy
		}
		waiting = append(waiting, w)
	}
	if got := len(pickFirst(waiting, firstLooks+1)); got != 0 {
		t.Errorf("got %d looks beyond the bound, want none", got)
	}
	got := pickFirst(waiting, 4)
	if got, want := len(got), firstLooks-4; got != want {
		t.Errorf("got %d looks, want %d", got, want)
	}
	for n := 1; n < len(got); n++ {
		if a, b := got[n-1].weight(), got[n].weight(); a < b {
			t.Errorf("look %d: got a target of weight %d before one of %d", n, a, b)
		}
	}
	if got, want := got[0].weight(), 2; got != want {
		t.Errorf("got a target of weight %d first, want %d: tasks that last", got, want)
	}
}
