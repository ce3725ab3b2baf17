package csproof

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// leaderTarget is the stated time until a group has a new leader.
const leaderTarget = 2 * time.Second

// activeAfter returns the times from a start until a revision is active on each of the nodes.
func activeAfter(revision csmodel.Revision, start time.Time, nodes []*node) []time.Duration {
	took := make([]time.Duration, len(nodes))
	var all sync.WaitGroup
	for i, n := range nodes {
		all.Go(func() {
			for n.metric("configuration_revision") < float64(revision) && took[i] < ample {
				time.Sleep(time.Millisecond)
				took[i] = time.Since(start)
			}
			took[i] = time.Since(start)
		})
	}
	all.Wait()
	return took
}

// report prints times and checks the longest one against a target.
func report(t *testing.T, what string, times []time.Duration, target time.Duration) {
	t.Helper()
	slices.Sort(times)
	last := len(times) - 1
	t.Logf("%s: p50 %v, p99 %v, max %v of %d", what, times[last/2].Round(time.Millisecond),
		times[last*99/100].Round(time.Millisecond), times[last].Round(time.Millisecond), len(times))
	if times[last] > target {
		t.Errorf("%s: max %v, target %v", what, times[last], target)
	}
}

// Guards against revisions that take longer than stated to become active, and slow elections (I8, F6, F9). Each time
// starts before the submission, so that it includes the wait for a leader.
func TestRolloutTime(t *testing.T) {
	c := newCluster(t, 2)
	rate := 0
	measure := func(nodes []*node) []time.Duration {
		rate++
		start := time.Now()
		return activeAfter(c.apply(nodes[0], rate), start, nodes)
	}
	var plain, cut, healed, killed, elections []time.Duration
	for range 20 {
		plain = append(plain, measure(c.nodes)...)
	}
	report(t, "roll-out without faults", plain, rolloutTarget)
	for range 2 {
		zone := c.leader().Zone
		isolated, rest := c.split(zone)
		c.cutZone(zone, true, true)
		for range 5 {
			cut = append(cut, measure(rest)...)
		}
		c.heal()
		newest := csmodel.Revision(rest[0].metric("configuration_revision"))
		healed = append(healed, activeAfter(newest, time.Now(), isolated)...)
	}
	report(t, "roll-out beside a cut zone", cut, rolloutTarget)
	report(t, "roll-out to the zone after the cut", healed, rolloutTarget)
	for range 3 {
		c.waitLeaders()
		leader := c.leader()
		rest := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == leader })
		leader.stop(syscall.SIGKILL)
		start := time.Now()
		var election sync.WaitGroup
		election.Go(func() {
			for !slices.ContainsFunc(rest, func(n *node) bool { return n.Voter && n.leads() }) && time.Since(start) < ample {
				time.Sleep(time.Millisecond)
			}
			elections = append(elections, time.Since(start))
		})
		killed = append(killed, measure(rest)...)
		election.Wait()
		leader.start()
	}
	report(t, "roll-out with a killed leader", killed, rolloutTarget)
	report(t, "new leader after a kill", elections, leaderTarget)
}
