package csrun_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a maintenance wave moves over targets with long-running tasks while answers get lost.
func TestEvictionKeepsAvailability(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		i := newCluster(t, 11, 6, faults{lostAnswers: 0.15})
		time.Sleep(3 * testHeartbeatInterval)
		for n := range 4 {
			i.submit(csjob.ID(fmt.Sprintf("%016x", n)),
				csjob.Step{Tasks: 5, Resources: csjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerTarget: 2})
		}
		time.Sleep(time.Second)
		var incarnations []csjob.Incarnation
		i.simulator.mu.Lock()
		for _, k := range i.simulator.targets {
			incarnations = append(incarnations, k.incarnation)
		}
		i.simulator.mu.Unlock()
		for n := range incarnations {
			i.fleet.setHeld(incarnations[n], incarnations[(n+1)%len(incarnations)])
			time.Sleep(500 * time.Millisecond)
		}
		i.fleet.setHeld()
		i.checkInvariants()
	})
}

// Pattern: the busy phase of a pool is over, and its last runs block VMs that another pool needs. A run that can be
// restarted in time is stopped; one that ends soon is left to finish.
func TestEvictionOfBatchRuns(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		duration time.Duration
		want     csjob.Attempt
	}{
		{"can be restarted in time", 1500 * time.Millisecond, 2},
		{"ends soon", 600 * time.Millisecond, 1},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				i := newCluster(t, uint64(20+n), 2, faults{})
				time.Sleep(3 * testHeartbeatInterval)
				i.submit("00000000000000aa", step(1, 1000, c.duration))
				time.Sleep(200 * time.Millisecond)
				i.state.View(func(table *csjob.Table) {
					for _, l := range table.BusyIncarnations() {
						i.fleet.setHeld(l)
					}
				})
				i.awaitAllJobs(5 * time.Second)
				i.checkInvariants()
				i.simulator.mu.Lock()
				defer i.simulator.mu.Unlock()
				if got := i.simulator.runs[len(i.simulator.runs)-1].attempt; got != c.want {
					t.Errorf("got %d attempts, want %d", got, c.want)
				}
			})
		})
	}
}

// Pattern: three tasks in a hundred run many times as long as predicted, and their VMs are due for maintenance. Guards against a wave that
// misses its deadline because it waits for a run whose predicted end has passed, although its job is late already.
func TestMaintenanceDueStopsLateRuns(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		runTime time.Duration // of the first run; 100 ms are declared
		heldAt  time.Duration // after the submission; the job is late after 1.2 s
		due     bool
		want    csjob.Attempt
	}{
		{"late, maintenance due", 2500 * time.Millisecond, 1500 * time.Millisecond, true, 2},
		{"late, time left for the wave", 2500 * time.Millisecond, 1500 * time.Millisecond, false, 1},
		{"on time", 900 * time.Millisecond, 200 * time.Millisecond, true, 1},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				i := newCluster(t, uint64(30+n), 2, faults{})
				time.Sleep(3 * testHeartbeatInterval)
				i.simulator.mu.Lock()
				i.simulator.firstRunTime = c.runTime
				i.simulator.mu.Unlock()
				i.submit("00000000000000aa", step(1, 1000, 100*time.Millisecond))
				time.Sleep(c.heldAt)
				i.state.View(func(table *csjob.Table) {
					for _, l := range table.BusyIncarnations() {
						i.fleet.setHeld(l)
						if c.due {
							i.fleet.setMaintenanceDue(l)
						}
					}
				})
				i.awaitAllJobs(5 * time.Second)
				i.checkInvariants()
				i.simulator.mu.Lock()
				defer i.simulator.mu.Unlock()
				if got := i.simulator.runs[len(i.simulator.runs)-1].attempt; got != c.want {
					t.Errorf("got %d attempts, want %d", got, c.want)
				}
			})
		})
	}
}

// Pattern: a busy leader reads the answers to polls later than the call timeout. Leases that are extended all the time must
// not expire: that would end long-running tasks on healthy targets (rules AVAIL and LOST).
func TestSlowLeaderExtendsLeases(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		timing := testTiming
		timing.Lease, timing.LongestLease = 1500*time.Millisecond, 1800*time.Millisecond
		i := newClusterWithTiming(t, 13, 3, faults{}, timing)
		time.Sleep(3 * testHeartbeatInterval)
		longRunning := csjob.Step{Tasks: 6, Resources: csjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true, MaxPerTarget: 2}
		i.submit("00000000000000aa", longRunning)
		time.Sleep(300 * time.Millisecond)
		i.simulator.mu.Lock()
		i.simulator.faults.pollDelay = 400 * time.Millisecond
		i.simulator.mu.Unlock()
		time.Sleep(5 * time.Second)
		i.checkInvariants()
		i.simulator.mu.Lock()
		defer i.simulator.mu.Unlock()
		for _, k := range i.simulator.targets {
			i.simulator.expireLease(k)
		}
		for _, r := range i.simulator.runs {
			if r.finished {
				t.Errorf("%s has ended with outcome %d, want it running", r.task, r.outcome)
			}
		}
		if got, want := len(i.simulator.runs), longRunning.Tasks; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}
