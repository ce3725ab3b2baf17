package csrun_test

import (
	"testing"
	"time"
)

// Guards against tasks that never run again: a target restarts under its name, and its new incarnation is lost before the end of the
// previous one is on record.
func TestRestartedTargetIsLostAgain(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		fenced     bool // the new incarnation carries out the stops, and the command that records it is lost
		heartbeats int
	}{
		{"after one heartbeat, before a call is answered", false, 1},
		{"after several heartbeats, before a call is answered", false, 4},
		{"after the stops, before they are on record", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, 43, 1, faults{})
			time.Sleep(3 * testHeartbeatInterval)
			i.submitOne(1, 300*time.Millisecond)
			i.waitFor("the first run", func() bool { return i.runsOn("1") == 1 })
			i.addTarget("2")
			i.waitFor("the other target", func() bool { return i.inTable("2") })
			if c.fenced {
				i.state.stall()
			}
			i.restart("1", true)
			i.withTarget("1", func(k *simulatedTarget) { k.dropsCalls, k.noHeartbeats = !c.fenced, false })
			time.Sleep(time.Duration(c.heartbeats) * testHeartbeatInterval)
			i.withTarget("1", func(k *simulatedTarget) { k.unreachable = true })
			if c.fenced {
				i.state.resume(false)
			}
			i.awaitAllJobs(5 * time.Second)
			i.checkInvariants()
		})
	}
}
