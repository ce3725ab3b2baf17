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
		t.Fatal("no leader at first")
	}
	return x
}

// restart starts a node again with its log and term from memory, because the test network keeps no disks.
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

// TestAllRestartedElectWithoutTimeout guards against an outage of an election timeout after all processes restart, although each
// of them reports by its candidacy that it does not lead.
func TestAllRestartedElectWithoutTimeout(t *testing.T) {
	x := startedNetwork(t)
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.restart(n)
	}
	if got, want := x.awaitLeader(5*time.Second), DefaultElectionTimeout/2; got > want {
		t.Errorf("a leader after %v, want one within %v", got, want)
	}
}

// TestRestartedLeaderIsReplacedWithoutTimeout guards against followers that wait for the lease of a leader that has started again.
func TestRestartedLeaderIsReplacedWithoutTimeout(t *testing.T) {
	x := startedNetwork(t)
	x.restart(x.leader())
	if got, want := x.awaitLeader(5*time.Second), DefaultElectionTimeout/2; got > want {
		t.Errorf("a leader after %v, want one within %v", got, want)
	}
}

// TestRestartedVoterHonoursTheLease guards against a second leader beside a lease that counts on an acknowledgement which a
// voter gave before it started again, and has forgotten.
func TestRestartedVoterHonoursTheLease(t *testing.T) {
	x := startedNetwork(t)
	old := x.leader()
	leader := x.nodes[old]
	delete(x.nodes, old) // cut off, with a valid lease
	for _, n := range csmodel.SortedKeys(x.nodes) {
		x.restart(n)
	}
	for leader.Leading(x.now) {
		x.advance(10 * time.Millisecond)
		if got := x.leader(); got != "" && leader.Leading(x.now) {
			t.Fatalf("%s leads beside %s", got, old)
		}
	}
	if x.awaitLeader(5*time.Second) >= 5*time.Second {
		t.Error("no leader after the lease")
	}
}

// TestRestartAfterAVoterWasReplaced guards against a wait for a node that is a voter no longer and therefore never asks for votes.
func TestRestartAfterAVoterWasReplaced(t *testing.T) {
	x := startedNetwork(t)
	x.add("d", true)
	x.advance(5 * time.Second)
	lost := csmodel.NodeID("a")
	if x.leader() == lost {
		lost = "b"
	}
	for _, n := range []csmodel.NodeID{lost, "d"} { // the place of the first goes to d until it is back
		x.runWithout(n, 10*time.Second)
	}
	if got := x.nodes[x.leader()].log.membership(); got.voter("d", x.nodes["d"].config.Incarnation) {
		t.Fatalf("d is still a voter: %+v", got)
	}
	for _, n := range csmodel.SortedKeys(x.nodes) {
		x.restart(n)
	}
	if got, want := x.awaitLeader(5*time.Second), DefaultElectionTimeout/2; got > want {
		t.Errorf("a leader after %v, want one within %v", got, want)
	}
}

// runWithout lets time pass without a node and some more after its return.
func (x *network) runWithout(n csmodel.NodeID, d time.Duration) {
	c := x.nodes[n]
	delete(x.nodes, n)
	x.advance(d)
	x.nodes[n] = c
	x.advance(2 * time.Second)
}
