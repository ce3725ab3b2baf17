package csrun_test

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against tasks that hang for ever on a target that sends heartbeats while no call reaches it, or that refuses all calls
// as unhealthy: its leases are over, so its tasks run elsewhere.
func TestTargetThatAnswersNoLookIsGivenUp(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		turn func(*worker)
	}{
		{"no call reaches it", func(k *worker) { k.deaf = true }},
		{"unhealthy", func(k *worker) { k.ill = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := install(t, 50, 1, faults{})
			time.Sleep(3 * testBeat)
			id := i.hand(1, 1500*time.Millisecond)
			i.await("the run", func() bool { return i.runsOn("1") == 1 })
			i.with("1", c.turn)
			i.add("2")
			i.settle(10 * time.Second)
			if got, want := i.jobState(id), csjob.Completed; got != want {
				t.Errorf("got state %d, want %d", got, want)
			}
			i.checkRules()
		})
	}
}

// Guards against a task that lasts and never runs: its target falls silent before it answers the start, which is repeated,
// and each repetition counted as an extension of the lease.
func TestRepeatedStartsExtendNoLeaseOfASilentTarget(t *testing.T) {
	t.Parallel()
	timing := testTiming
	timing.Lease, timing.LongestLease = 1500*time.Millisecond, 1800*time.Millisecond // longer than the pause between repetitions
	i := installWith(t, 51, 1, faults{}, timing)
	time.Sleep(3 * testBeat)
	i.holdStarts("1")
	i.submit("00000000000000aa", csjob.Step{Tasks: 1, Room: csjob.Room{CPU: 1000, Memory: 100}, Lasting: true})
	time.Sleep(50 * time.Millisecond)
	i.with("1", func(k *worker) { k.dark = true })
	i.add("2")
	i.await("the run elsewhere", func() bool { return i.runsOn("2") == 1 })
	i.checkRules()
}
