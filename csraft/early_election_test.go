package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// startedNetwork returns three voters with a leader that has committed an entry of its term.
func startedNetwork(t *testing.T) *network {
	t.Helper()
	x := &network{now: time.Unix(1_000_000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.add(n, false)
	}
	x.advance(5 * time.Second)
	if x.leader() == "" {
		t.Fatal("no leader after the start")
	}
	return x
}

// restart replaces a node by one with the same log and term. The state comes from memory, because the test network has no disks.
func (x *network) restart(n csmodel.NodeID) {
	c := x.nodes[n]
	disk := Restored{State: c.state, Entries: c.log.slice(1, c.log.lastIndex(), 1<<62)}
	x.nodes[n] = New(c.config, disk)
}

func (x *network) awaitLeader(limit time.Duration) time.Duration {
	from := x.now
	for x.leader() == "" && x.now.Sub(from) < limit {
		x.advance(10 * time.Millisecond)
	}
	return x.now.Sub(from)
}

// TestAllRestartedElectWithoutTimeout guards against an outage of a whole election timeout after all processes restart. The
// candidacy of each node shows that it does not lead.
func TestAllRestartedElectWithoutTimeout(t *testing.T) {
	x := startedNetwork(t)
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.restart(n)
	}
	if got, want := x.awaitLeader(5*time.Second), DefaultElectionTimeout/2; got > want {
		t.Errorf("got a leader after %v, want one within %v", got, want)
	}
}

// TestRestartedLeaderIsReplacedWithoutTimeout guards against followers that wait for the lease of a leader that has restarted.
func TestRestartedLeaderIsReplacedWithoutTimeout(t *testing.T) {
	x := startedNetwork(t)
	x.restart(x.leader())
	if got, want := x.awaitLeader(5*time.Second), DefaultElectionTimeout/2; got > want {
		t.Errorf("got a leader after %v, want one within %v", got, want)
	}
}

// TestRestartedVoterHonoursTheLease guards against a second leader during a valid lease. The lease depends on an acknowledgement
// that a voter sent before its restart and does not remember.
func TestRestartedVoterHonoursTheLease(t *testing.T) {
	x := startedNetwork(t)
	old := x.leader()
	leader := x.nodes[old]
	delete(x.nodes, old) // isolated, with a valid lease
	for _, n := range csmodel.SortedKeys(x.nodes) {
		x.restart(n)
	}
	for leader.Leading(x.now) {
		x.advance(10 * time.Millisecond)
		if got := x.leader(); got != "" && leader.Leading(x.now) {
			t.Fatalf("%s leads during the lease of %s", got, old)
		}
	}
	if x.awaitLeader(5*time.Second) >= 5*time.Second {
		t.Error("no leader after the lease expired")
	}
}

// TestRestartAfterAVoterWasReplaced guards against waiting for a candidacy of a node that is no longer a voter and never requests
// votes.
func TestRestartAfterAVoterWasReplaced(t *testing.T) {
	x := startedNetwork(t)
	x.add("d", true)
	x.advance(5 * time.Second)
	lost := csmodel.NodeID("a")
	if x.leader() == lost {
		lost = "b"
	}
	for _, n := range []csmodel.NodeID{lost, "d"} { // d replaces the first as a voter until the first returns
		x.runWithout(n, 10*time.Second)
	}
	if got := x.nodes[x.leader()].log.membership(); got.voter("d", x.nodes["d"].config.Incarnation) {
		t.Fatalf("d is still a voter: %+v", got)
	}
	for _, n := range csmodel.SortedKeys(x.nodes) {
		x.restart(n)
	}
	if got, want := x.awaitLeader(5*time.Second), DefaultElectionTimeout/2; got > want {
		t.Errorf("got a leader after %v, want one within %v", got, want)
	}
}

// runWithout isolates a node for the given time and then runs all nodes for 2 s.
func (x *network) runWithout(n csmodel.NodeID, d time.Duration) {
	c := x.nodes[n]
	delete(x.nodes, n)
	x.advance(d)
	x.nodes[n] = c
	x.advance(2 * time.Second)
}
