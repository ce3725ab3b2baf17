package csrun_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a maintenance wave over half of the VMs, with long-running tasks of which only one may be away at a time. Guards
// against a wave that ends late because tasks are moved only when their VM is reclaimed.
func TestLongRunningTasksLeaveVMsEvictingSoon(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		evictingSoon int  // number of the six targets whose VMs will be reclaimed soon
		leave        bool // the tasks are moved
	}{
		{"half of the targets", 3, true},
		{"no other target", 6, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				i := newCluster(t, 12, 6, faults{})
				time.Sleep(3 * testHeartbeatInterval)
				i.submit("00000000000000aa",
					csjob.Step{Tasks: 6, Resources: csjob.Resources{CPU: 500, Memory: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerTarget: 2})
				time.Sleep(time.Second)
				evictingSoon := i.busiest(c.evictingSoon)
				i.fleet.setEvictingSoon(evictingSoon...)
				time.Sleep(3 * time.Second)
				runs, left := i.countRuns(evictingSoon)
				if c.leave && left > 0 {
					t.Errorf("got %d tasks on targets whose VMs will be reclaimed soon, want none", left)
				}
				if limit := 6 + 2*6; runs > limit {
					t.Errorf("got %d runs, want at most %d: tasks without another target stay", runs, limit)
				}
				i.checkInvariants()
			})
		})
	}
}

// busiest returns the n incarnations with the most runs.
func (i *cluster) busiest(n int) []csjob.Incarnation {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	var out []csjob.Incarnation
	for runs := 6; runs >= 0; runs-- {
		for _, k := range i.simulator.targets {
			if len(k.running) == runs && len(out) < n {
				out = append(out, k.incarnation)
			}
		}
	}
	return out
}

// countRuns returns the number of all runs so far, and of those now on the given incarnations.
func (i *cluster) countRuns(incarnations []csjob.Incarnation) (runs, here int) {
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	for _, k := range i.simulator.targets {
		for _, incarnation := range incarnations {
			if k.incarnation == incarnation {
				here += len(k.running)
			}
		}
	}
	return len(i.simulator.runs), here
}
