package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// exchange runs nodes whose messages arrive at once.
type exchange struct {
	now   time.Time
	nodes map[csmodel.NodeID]*Core
}

// advance lets time pass and delivers all messages.
func (x *exchange) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(tick)
		for _, n := range csmodel.SortedKeys(x.nodes) {
			x.deliver(x.nodes[n].Step(x.now, Tick{}))
		}
	}
}

func (x *exchange) deliver(commands []Command) {
	for _, c := range commands {
		if s, ok := c.(Send); ok && x.nodes[s.To] != nil {
			x.deliver(x.nodes[s.To].Step(x.now, Receive{Message: s.Message}))
		}
	}
}

func (x *exchange) add(name csmodel.NodeID, join bool) {
	c := Config{
		Self: name, Incarnation: csmodel.Incarnation(x.now.UnixMicro()), Join: join, Voters: 3,
		Members: []Member{{Node: "a", Voter: true}, {Node: "b", Voter: true}, {Node: "c", Voter: true}},
	}
	x.nodes[name] = New(c, Restored{})
}

func (x *exchange) voters() (out []csmodel.NodeID) {
	for _, n := range csmodel.SortedKeys(x.nodes) {
		if x.nodes[n].role == Leader {
			for _, v := range x.nodes[n].log.membership().Voters() {
				out = append(out, v.Node)
			}
			return out
		}
	}
	return nil
}

func (x *exchange) leader() csmodel.NodeID {
	for _, n := range csmodel.SortedKeys(x.nodes) {
		if x.nodes[n].Leading(x.now) {
			return n
		}
	}
	return ""
}

func (x *exchange) want(t *testing.T, want ...csmodel.NodeID) {
	t.Helper()
	got := x.voters()
	if len(got) != len(want) {
		t.Fatalf("got voters %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got voters %v, want %v", got, want)
		}
	}
}

// A fourth node follows without a vote until a voter is gone for good, and then takes its place.
func TestLostVoterIsReplaced(t *testing.T) {
	x := &exchange{now: time.Unix(1_000_000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for _, n := range []csmodel.NodeID{"a", "b", "c", "d"} {
		x.add(n, false)
	}
	x.advance(5 * time.Second)
	x.want(t, "a", "b", "c")
	var lost csmodel.NodeID
	for _, n := range []csmodel.NodeID{"b", "c"} {
		if x.nodes[n].role != Leader {
			lost = n
		}
	}
	delete(x.nodes, lost)
	x.advance(DefaultReplace / 2)
	x.want(t, "a", "b", "c")
	x.advance(2 * DefaultReplace)
	want := []csmodel.NodeID{"a", "b", "d"}
	if lost == "b" {
		want = []csmodel.NodeID{"a", "c", "d"}
	}
	x.want(t, want...)
}

// Nodes with empty folders that are told to join must not form a second group, even if all of them agree.
func TestJoiningNodesFormNoGroup(t *testing.T) {
	x := &exchange{now: time.Unix(1_000_000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.add(n, true)
	}
	x.advance(20 * time.Second)
	if got := x.voters(); got != nil {
		t.Errorf("got a group of %v, want none", got)
	}
}
