package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// network connects nodes and delivers their messages without delay.
type network struct {
	now   time.Time
	nodes map[csmodel.NodeID]*Core
}

// advance ticks all nodes for the given time and delivers all messages.
func (x *network) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(tick)
		for _, n := range csmodel.SortedKeys(x.nodes) {
			x.deliver(x.nodes[n].Step(x.now, Tick{}))
		}
	}
}

func (x *network) deliver(commands []Command) {
	for _, c := range commands {
		if s, ok := c.(Send); ok && x.nodes[s.To] != nil {
			x.deliver(x.nodes[s.To].Step(x.now, Receive{Message: s.Message}))
		}
	}
}

func (x *network) add(name csmodel.NodeID, join bool) {
	c := Config{
		Self: name, Incarnation: csmodel.Incarnation(x.now.UnixMicro()), Join: join, Voters: 3,
		Members: []Member{{Node: "a", Voter: true}, {Node: "b", Voter: true}, {Node: "c", Voter: true}},
	}
	x.nodes[name] = New(c, Restored{})
}

func (x *network) voters() (out []csmodel.NodeID) {
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

func (x *network) leader() csmodel.NodeID {
	for _, n := range csmodel.SortedKeys(x.nodes) {
		if x.nodes[n].Leading(x.now) {
			return n
		}
	}
	return ""
}

func (x *network) wantVoters(t *testing.T, want ...csmodel.NodeID) {
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

// TestLostVoterIsReplaced guards against a lost voter that is not replaced, or replaced before VoterReplaceTimeout.
func TestLostVoterIsReplaced(t *testing.T) {
	x := &network{now: time.Unix(1_000_000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for _, n := range []csmodel.NodeID{"a", "b", "c", "d"} {
		x.add(n, false)
	}
	x.advance(5 * time.Second)
	x.wantVoters(t, "a", "b", "c")
	var lost csmodel.NodeID
	for _, n := range []csmodel.NodeID{"b", "c"} {
		if x.nodes[n].role != Leader {
			lost = n
		}
	}
	delete(x.nodes, lost)
	x.advance(DefaultVoterReplaceTimeout / 2)
	x.wantVoters(t, "a", "b", "c")
	x.advance(2 * DefaultVoterReplaceTimeout)
	want := []csmodel.NodeID{"a", "b", "d"}
	if lost == "b" {
		want = []csmodel.NodeID{"a", "c", "d"}
	}
	x.wantVoters(t, want...)
}

// TestJoiningNodesFormNoGroup guards against a second group: nodes with Config.Join must not bootstrap one, even if the folders
// of all nodes are empty.
func TestJoiningNodesFormNoGroup(t *testing.T) {
	x := &network{now: time.Unix(1_000_000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for _, n := range []csmodel.NodeID{"a", "b", "c"} {
		x.add(n, true)
	}
	x.advance(20 * time.Second)
	if got := x.voters(); got != nil {
		t.Errorf("got a group of %v, want none", got)
	}
}
