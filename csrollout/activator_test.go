package csrollout

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowslipstream.example/cowslipstream/csmodel"
)

// firstHeads returns the heads of revisions 0 to count of a machine.
func firstHeads(t testing.TB, count int) []Head {
	m := NewMachine(nil)
	out := []Head{{}}
	for i := range count {
		submit(t, m, epoch, fmt.Sprint(i), csmodel.Revision(i), i+1)
		out = append(out, m.Head())
	}
	return out
}

func activationCommands(h Head, took time.Duration) []Command {
	return []Command{Persist{h}, Activate{h, took}, Announce{h.Revision}}
}

// Guards against wrong commands in response to a single event. The node starts at revision 1 and activates revision 2.
func TestActivatorStep(t *testing.T) {
	heads := firstHeads(t, 4)
	change := func(i int) Change { return heads[i].Change }
	wrongDigestHead := heads[4]
	wrongDigestHead.Configuration = heads[3].Configuration
	wrongDigestChange := change(3)
	wrongDigestChange.Digest++
	const took = 40 * time.Millisecond
	now := epoch.Add(took)
	tests := []struct {
		name string
		e    Event
		want []Command
	}{
		{"committed", Committed{heads[3]}, activationCommands(heads[3], took)},
		{"committed, older", Committed{heads[1]}, nil},
		{"committed, same", Committed{heads[2]}, nil},
		{"full", UpdateReceived{"b", Update{Full: &heads[4]}}, activationCommands(heads[4], took)},
		{"full, older", UpdateReceived{"b", Update{Full: &heads[1]}}, nil},
		{"full, wrong digest", UpdateReceived{"b", Update{Full: &wrongDigestHead}},
			[]Command{Mismatch{"b", 4, "revision 4: " + ErrDigest.Error()}}},
		{"changes", UpdateReceived{"b", Update{Changes: []Change{change(3), change(4)}}}, activationCommands(heads[4], took)},
		{"changes, first ones already active", UpdateReceived{"b", Update{Changes: []Change{change(1), change(2), change(3)}}},
			activationCommands(heads[3], took)},
		{"changes, older", UpdateReceived{"b", Update{Changes: []Change{change(1), change(2)}}}, nil},
		{"changes that do not follow the active revision", UpdateReceived{"b", Update{Changes: []Change{change(4)}}}, nil},
		{"changes, wrong digest", UpdateReceived{"b", Update{Changes: []Change{wrongDigestChange}}},
			[]Command{Mismatch{"b", 3, "revision 3: " + ErrDigest.Error()}}},
		{"request for changes", UpdateRequested{"b", 1}, []Command{SendUpdate{"b", Update{Changes: []Change{change(2)}}}}},
		{"request for the whole configuration", UpdateRequested{"b", 0}, []Command{SendUpdate{"b", Update{Full: &heads[2]}}}},
		{"request without a newer revision", UpdateRequested{"b", 2}, nil},
		{"announced, same", Announced{"b", 2}, nil},
		{"announced, higher, within the grace period", Announced{"b", 3}, nil},
		{"tick, announcement due", Tick{}, []Command{Announce{2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewActivator(ActivatorOptions{Self: "a", Peers: []csmodel.NodeID{"b"}, Persisted: heads[1]})
			a.Step(epoch, Committed{heads[2]})
			a.nextAnnounceAt = now
			if got := a.Step(now, tt.e); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against a node that sends all its requests to one peer that doesn't answer, and against a second request for
// changes after an update with a wrong digest.
func TestActivatorRetriesRequests(t *testing.T) {
	heads := firstHeads(t, 2)
	a := NewActivator(ActivatorOptions{Self: "a", Peers: []csmodel.NodeID{"b", "c"}, Persisted: heads[1]})
	asked := csmodel.Set[csmodel.NodeID]{}
	now := epoch
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, peer := range []csmodel.NodeID{"b", "c"} {
			for _, c := range a.Step(now, Announced{Peer: peer, Revision: 2}) {
				if r, ok := c.(RequestUpdate); ok {
					asked.Add(r.Peer)
				}
			}
		}
	}
	if len(asked) != 2 {
		t.Errorf("requests to %v, want both peers", csmodel.SortedKeys(asked))
	}
	wrongDigest := heads[2].Change
	wrongDigest.Digest++
	got := a.Step(now, UpdateReceived{Peer: "b", Update: Update{Changes: []Change{wrongDigest}}})
	if len(got) != 2 || got[1].(RequestUpdate).Have != 0 {
		t.Errorf("got %+v, want a request for the whole configuration", got)
	}
	want := Progress{Active: []csmodel.NodeID{"b", "c"}, Pending: []csmodel.NodeID{"a"}}
	if got := a.Progress(now, 2); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want = Progress{Pending: []csmodel.NodeID{"a"}, Unreachable: []csmodel.NodeID{"b", "c"}}
	if got := a.Progress(now.Add(peerTimeout+1), 3); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a corrupt file that becomes active after a restart.
func TestDecodeHeadChecksDigest(t *testing.T) {
	h := firstHeads(t, 3)[3]
	data, err := EncodeHead(h)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeHead(data); err != nil || !reflect.DeepEqual(got.Change, h.Change) {
		t.Errorf("got %+v, %v, want %+v", got, err, h)
	}
	h.Digest++
	if data, err = EncodeHead(h); err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeHead(data); !errors.Is(err, ErrDigest) {
		t.Errorf("got %v, want %v", err, ErrDigest)
	}
}

// packet is a message between two simulated nodes, which are given by index.
type packet struct {
	from, to int
	event    Event
}

// simulatedNode is a node of a simulatedCluster.
type simulatedNode struct {
	*Activator
	hasDisk         bool
	persisted       []byte           // content of the file on disk; nil if there is none
	highestRevision csmodel.Revision // highest revision activated since the last start, or persisted
}

// simulatedCluster is a set of nodes that share one Machine and exchange packets over links that can be down.
type simulatedCluster struct {
	t              *rapid.T
	now            time.Time
	machine        *Machine
	nodes          []*simulatedNode
	nodeIDs        []csmodel.NodeID
	linkUp         [][]bool
	packets        []packet
	acceptedByBase map[csmodel.Revision]csmodel.SubmissionID
	submissions    int
}

func newSimulatedCluster(t *rapid.T, nodes int) *simulatedCluster {
	sim := &simulatedCluster{t: t, now: epoch, machine: NewMachine(nil),
		acceptedByBase: map[csmodel.Revision]csmodel.SubmissionID{}}
	for i := range nodes {
		sim.nodeIDs = append(sim.nodeIDs, csmodel.NodeID(fmt.Sprint(i)))
		sim.linkUp = append(sim.linkUp, make([]bool, nodes))
		sim.nodes = append(sim.nodes, &simulatedNode{hasDisk: i%2 == 0})
	}
	for i := range nodes {
		sim.start(i)
	}
	return sim
}

func (sim *simulatedCluster) start(i int) {
	n := sim.nodes[i]
	var h Head
	if n.persisted != nil {
		var err error
		if h, err = DecodeHead(n.persisted); err != nil {
			sim.t.Fatal(err)
		}
	}
	n.Activator = NewActivator(ActivatorOptions{Self: sim.nodeIDs[i], Peers: sim.nodeIDs, Persisted: h})
	if n.hasDisk && h.Revision != n.highestRevision {
		sim.t.Fatalf("node %d restarted at revision %d, had activated %d", i, h.Revision, n.highestRevision)
	}
	n.highestRevision = h.Revision
}

// step passes an event to a node and executes the resulting commands.
func (sim *simulatedCluster) step(i int, e Event) {
	n := sim.nodes[i]
	for _, c := range n.Step(sim.now, e) {
		switch c := c.(type) {
		case Persist:
			data, err := EncodeHead(c.Head)
			if err != nil {
				sim.t.Fatal(err)
			}
			if n.hasDisk {
				n.persisted = data
			}
		case Activate:
			if c.Head.Revision <= n.highestRevision {
				sim.t.Fatalf("node %d activated revision %d after %d", i, c.Head.Revision, n.highestRevision)
			}
			n.highestRevision = c.Head.Revision
		case Announce:
			for j := range sim.nodes {
				sim.send(i, j, Announced{Peer: sim.nodeIDs[i], Revision: c.Revision})
			}
		case RequestUpdate:
			sim.send(i, slices.Index(sim.nodeIDs, c.Peer), UpdateRequested{Peer: sim.nodeIDs[i], Have: c.Have})
		case SendUpdate:
			sim.send(i, slices.Index(sim.nodeIDs, c.Peer), UpdateReceived{Peer: sim.nodeIDs[i], Update: c.Update})
		case Mismatch:
			sim.t.Fatalf("node %d: %+v", i, c)
		}
	}
}

func (sim *simulatedCluster) send(from, to int, e Event) {
	if from != to && sim.linkUp[from][to] {
		sim.packets = append(sim.packets, packet{from: from, to: to, event: e})
	}
}

func (sim *simulatedCluster) submit(t *rapid.T) {
	head := sim.machine.Head().Revision
	base := head - min(head, csmodel.Revision(rapid.IntRange(0, 2).Draw(t, "age")))
	sim.submissions++
	id := fmt.Sprint(rapid.IntRange(max(0, sim.submissions-3), sim.submissions).Draw(t, "id"))
	_, resent := sim.machine.results.get(csmodel.SubmissionID(id))
	accepted, ok := submit(t, sim.machine, sim.now, id, base, sim.submissions).(Accepted)
	if !ok || resent {
		return
	}
	if winner, taken := sim.acceptedByBase[base]; taken || accepted.Revision != base+1 {
		sim.t.Fatalf("base %d: revision %d accepted from submission %s, previously accepted on this base: %q",
			base, accepted.Revision, id, winner)
	}
	sim.acceptedByBase[base] = csmodel.SubmissionID(id)
}

// packetFates are the possible outcomes of a packet: delivered, delivered and duplicated, or lost.
var packetFates = []string{"deliver", "deliver and duplicate", "lose"}

func (sim *simulatedCluster) deliver(i int, fate string) {
	p := sim.packets[i]
	if fate != packetFates[1] {
		sim.packets = slices.Delete(sim.packets, i, i+1)
	}
	if fate != packetFates[2] {
		sim.step(p.to, p.event)
	}
}

// converge connects the nodes in a random tree, passes the last revision to the replica of only one node, and runs the
// cluster for 20 s without loss.
func (sim *simulatedCluster) converge(t *rapid.T) {
	for i := range sim.nodes {
		clear(sim.linkUp[i])
	}
	for i := 1; i < len(sim.nodes); i++ {
		j := rapid.IntRange(0, i-1).Draw(t, "neighbour")
		sim.linkUp[i][j], sim.linkUp[j][i] = true, true
	}
	sim.step(rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "replica"), Committed{sim.machine.Head()})
	for range 200 {
		sim.now = sim.now.Add(100 * time.Millisecond)
		for i := range sim.nodes {
			sim.step(i, Tick{})
		}
		for len(sim.packets) > 0 {
			sim.deliver(0, packetFates[0])
		}
	}
}

// Guards against an active revision that decreases, against nodes that do not converge through the peers they can reach,
// and against two submissions accepted on one base, under loss, reordering and duplication of packets and restarts.
func TestRolloutConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulatedCluster(t, rapid.IntRange(2, 6).Draw(t, "nodes"))
		node := rapid.IntRange(0, len(sim.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"submit": sim.submit,
			"commit": func(t *rapid.T) { sim.step(node.Draw(t, "node"), Committed{sim.machine.Head()}) },
			"tick": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
				sim.step(node.Draw(t, "node"), Tick{})
			},
			"deliver": func(t *rapid.T) {
				if n := len(sim.packets); n > 0 {
					sim.deliver(rapid.IntRange(0, n-1).Draw(t, "packet"), rapid.SampledFrom(packetFates).Draw(t, "fate"))
				}
			},
			"link": func(t *rapid.T) {
				sim.linkUp[node.Draw(t, "from")][node.Draw(t, "to")] = rapid.Bool().Draw(t, "up")
			},
			"restart": func(t *rapid.T) { sim.start(node.Draw(t, "node")) },
		})
		sim.converge(t)
		want := sim.machine.Head()
		for i, n := range sim.nodes {
			if got := n.Head(); got.Revision != want.Revision || got.Digest != want.Digest {
				t.Fatalf("node %d: got revision %d, want %d", i, got.Revision, want.Revision)
			}
		}
	})
}
