package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// started returns three voters with a leader that has committed an entry of its term.
func started(t *testing.T) *exchange {
	t.Helper()
	x := &exchange{now: time.Unix(1_000_000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.add(n, false)
	}
	x.advance(5 * time.Second)
	if x.leader() == "" {
		t.Fatal("no leader at first")
	}
	return x
}

// restart starts a node again with what it had saved; the exchange keeps no disks, so that is what it has in memory.
func (x *exchange) restart(n csmodel.NodeID) {
	c := x.nodes[n]
	disk := Restored{State: c.state, Entries: c.log.slice(1, c.log.lastIndex(), 1<<62)}
	x.nodes[n] = New(c.config, disk)
}

func (x *exchange) untilLeader(limit time.Duration) time.Duration {
	from := x.now
	for x.leader() == "" && x.now.Sub(from) < limit {
		x.advance(10 * time.Millisecond)
	}
	return x.now.Sub(from)
}

// TestAllRestartedElectAtOnce guards against an outage of a whole election timeout after all processes have started again,
// although each of them says that it does not lead.
func TestAllRestartedElectAtOnce(t *testing.T) {
	x := started(t)
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.restart(n)
	}
	if got, want := x.untilLeader(5*time.Second), DefaultElection/2; got > want {
		t.Errorf("a leader after %v, want one within %v", got, want)
	}
}

// TestRestartedLeaderIsReplacedAtOnce guards against followers that wait for the lease of a leader that has started again.
func TestRestartedLeaderIsReplacedAtOnce(t *testing.T) {
	x := started(t)
	x.restart(x.leader())
	if got, want := x.untilLeader(5*time.Second), DefaultElection/2; got > want {
		t.Errorf("a leader after %v, want one within %v", got, want)
	}
}

// TestRestartedVoterHonoursTheLease guards against a second leader beside a lease that counts on an acknowledgement which a
// voter gave before it started again, and has forgotten.
func TestRestartedVoterHonoursTheLease(t *testing.T) {
	x := started(t)
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
	if x.untilLeader(5*time.Second) >= 5*time.Second {
		t.Error("no leader after the lease")
	}
}

// TestRestartAfterAVoterWasReplaced guards against a wait for a node that is a voter no longer and therefore never asks for votes.
func TestRestartAfterAVoterWasReplaced(t *testing.T) {
	x := started(t)
	x.add("d", true)
	x.advance(5 * time.Second)
	lost := csmodel.NodeID("a")
	if x.leader() == lost {
		lost = "b"
	}
	for _, n := range []csmodel.NodeID{lost, "d"} { // the place of the first goes to d until it is back
		x.whileAway(n, 10*time.Second)
	}
	if got := x.nodes[x.leader()].log.membership(); got.voter("d", x.nodes["d"].config.Incarnation) {
		t.Fatalf("d is still a voter: %+v", got)
	}
	for _, n := range csmodel.SortedKeys(x.nodes) {
		x.restart(n)
	}
	if got, want := x.untilLeader(5*time.Second), DefaultElection/2; got > want {
		t.Errorf("a leader after %v, want one within %v", got, want)
	}
}

// whileAway lets time pass without a node and some more after its return.
func (x *exchange) whileAway(n csmodel.NodeID, d time.Duration) {
	c := x.nodes[n]
	delete(x.nodes, n)
	x.advance(d)
	x.nodes[n] = c
	x.advance(2 * time.Second)
}
