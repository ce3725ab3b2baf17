package csnode

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// Guards against a burst that the leader sees only because a home node restarted or came back after a long silence.
func TestObserverArrivals(t *testing.T) {
	start := time.Unix(0, 0)
	report := func(arrivals uint64) reportMessage {
		return reportMessage{Full: true, Loads: []poolLoad{{Pool: "p", Arrivals: arrivals}}}
	}
	o := newObserver()
	for _, arrivals := range []uint64{100, 105, 3, 10} {
		o.report(start, "a", report(arrivals))
	}
	o.forget(start.Add(time.Hour), time.Minute)
	o.report(start.Add(time.Hour), "a", report(500))
	o.report(start.Add(time.Hour), "a", report(501))
	if got, want := o.arrivals["p"], uint64(5+7+1); got != want {
		t.Errorf("got %d arrivals, want %d", got, want)
	}
}

// Guards against a throttled task that is never resumed, against throttle orders that are repeated on each tick, and
// against a throttled task whose lower usage makes the policy believe that its capacity is free.
func TestYields(t *testing.T) {
	a := &capacityActor{yields: newYields()}
	vm := observedVM{VM: "v", CPU: 8000, Slots: 8}
	seen := observedTask{ID: "t", Fence: 1, CPU: 2000}
	now := time.Unix(0, 0)
	give := func(yield float64) []cstask.Action {
		_, throttled := a.yields.throttled[attemptKey{"t", 1}]
		task := cscapacity.Task{VM: "v", Task: "t", Fence: 1, Slots: a.yields.slots(vm, seen), Slack: time.Hour, Throttled: throttled}
		return a.giveWay(now, []cscapacity.Task{task}, cscapacity.DeferredLimit{Pool: "p", Yield: yield})
	}
	if got := give(1); len(got) != 1 || got[0] != (cstask.Throttle{VM: "v", Task: "t", Fence: 1}) {
		t.Errorf("got %v, want one throttle", got)
	}
	seen.CPU = 500
	if got := a.yields.slots(vm, seen); got != 2 {
		t.Errorf("got %g slots of a throttled task, want 2", got)
	}
	if got := give(1); len(got) != 0 {
		t.Errorf("got %v, want no repetition", got)
	}
	if got := give(0); len(got) != 1 || got[0] != (cstask.Throttle{VM: "v", Task: "t", Fence: 1, Off: true}) {
		t.Errorf("got %v, want the end of the throttle", got)
	}
	give(1)
	a.yields.prune(csmodel.Set[attemptKey]{})
	if len(a.yields.throttled) != 0 {
		t.Errorf("got %v after the end of the task, want none", a.yields.throttled)
	}
}
