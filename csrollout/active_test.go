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

// chain returns the heads of the first revisions of a machine.
func chain(t testing.TB, count int) []Head {
	m := NewMachine(nil)
	out := []Head{{}}
	for i := range count {
		submit(t, m, epoch, fmt.Sprint(i), csmodel.Revision(i), i+1)
		out = append(out, m.Head())
	}
	return out
}

func activation(h Head, took time.Duration) []Command {
	return []Command{Persist{h}, Activate{h, took}, Announce{h.Revision}}
}

// Guards against wrong commands for single events.
func TestActiveStep(t *testing.T) {
	heads := chain(t, 4)
	step := func(i int) Step { return heads[i].Step }
	forged := heads[4]
	forged.Configuration = heads[3].Configuration
	forgedStep := step(3)
	forgedStep.Digest++
	const took = 40 * time.Millisecond
	now := epoch.Add(took)
	tests := []struct {
		name string
		e    Event
		want []Command
	}{
		{"committed", Committed{heads[3]}, activation(heads[3], took)},
		{"committed, older", Committed{heads[1]}, nil},
		{"committed, same", Committed{heads[2]}, nil},
		{"full", Received{"b", Update{Full: &heads[4]}}, activation(heads[4], took)},
		{"full, older", Received{"b", Update{Full: &heads[1]}}, nil},
		{"full, forged", Received{"b", Update{Full: &forged}},
			[]Command{Mismatch{"b", 4, "revision 4: " + ErrDigest.Error()}}},
		{"deltas", Received{"b", Update{Steps: []Step{step(3), step(4)}}}, activation(heads[4], took)},
		{"deltas from before", Received{"b", Update{Steps: []Step{step(1), step(2), step(3)}}}, activation(heads[3], took)},
		{"deltas, older", Received{"b", Update{Steps: []Step{step(1), step(2)}}}, nil},
		{"deltas from another base", Received{"b", Update{Steps: []Step{step(4)}}}, nil},
		{"deltas, forged", Received{"b", Update{Steps: []Step{forgedStep}}},
			[]Command{Mismatch{"b", 3, "revision 3: " + ErrDigest.Error()}}},
		{"request for a delta", Requested{"b", 1}, []Command{Send{"b", Update{Steps: []Step{step(2)}}}}},
		{"request for all", Requested{"b", 0}, []Command{Send{"b", Update{Full: &heads[2]}}}},
		{"request without need", Requested{"b", 2}, nil},
		{"announced, same", Announced{"b", 2}, nil},
		{"announced, higher, within the grace", Announced{"b", 3}, nil},
		{"first tick", Tick{}, []Command{Announce{2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewActive(ActiveOptions{Self: "a", Peers: []csmodel.NodeID{"b"}, Persisted: heads[1]})
			a.Step(epoch, Committed{heads[2]})
			a.announceAt = now
			if got := a.Step(now, tt.e); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against a node that asks a peer that does not answer for ever, or asks again for a delta that does not fit.
func TestActiveAsksAgain(t *testing.T) {
	heads := chain(t, 2)
	a := NewActive(ActiveOptions{Self: "a", Peers: []csmodel.NodeID{"b", "c"}, Persisted: heads[1]})
	asked := csmodel.Set[csmodel.NodeID]{}
	now := epoch
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, peer := range []csmodel.NodeID{"b", "c"} {
			for _, c := range a.Step(now, Announced{Peer: peer, Revision: 2}) {
				if r, ok := c.(Request); ok {
					asked.Add(r.Peer)
				}
			}
		}
	}
	if len(asked) != 2 {
		t.Errorf("asked %v, want both peers", csmodel.SortedKeys(asked))
	}
	bad := heads[2].Step
	bad.Digest++
	got := a.Step(now, Received{Peer: "b", Update: Update{Steps: []Step{bad}}})
	if len(got) != 2 || got[1].(Request).Have != 0 {
		t.Errorf("got %+v, want a request for the whole configuration", got)
	}
	want := Progress{Active: []csmodel.NodeID{"b", "c"}, Pending: []csmodel.NodeID{"a"}}
	if got := a.Progress(now, 2); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want = Progress{Pending: []csmodel.NodeID{"a"}, Unreachable: []csmodel.NodeID{"b", "c"}}
	if got := a.Progress(now.Add(reachable+1), 3); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a damaged file that becomes active after a restart.
func TestPersistedDigest(t *testing.T) {
	h := chain(t, 3)[3]
	data, err := EncodeHead(h)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeHead(data); err != nil || !reflect.DeepEqual(got.Step, h.Step) {
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

// packet is a message between simulated nodes.
type packet struct {
	from, to int
	event    Event
}

// site is a simulated node.
type site struct {
	*Active
	disk    bool
	file    []byte           // persisted copy
	highest csmodel.Revision // activated since the last start, or persisted
}

// region is a set of simulated nodes that share one committed log.
type region struct {
	t       *rapid.T
	now     time.Time
	machine *Machine
	sites   []*site
	names   []csmodel.NodeID
	links   [][]bool
	packets []packet
	winners map[csmodel.Revision]csmodel.SubmissionID
	sent    int
}

func newRegion(t *rapid.T, count int) *region {
	r := &region{t: t, now: epoch, machine: NewMachine(nil), winners: map[csmodel.Revision]csmodel.SubmissionID{}}
	for i := range count {
		r.names = append(r.names, csmodel.NodeID(fmt.Sprint(i)))
		r.links = append(r.links, make([]bool, count))
		r.sites = append(r.sites, &site{disk: i%2 == 0})
	}
	for i := range count {
		r.start(i)
	}
	return r
}

func (r *region) start(i int) {
	s := r.sites[i]
	var h Head
	if s.file != nil {
		var err error
		if h, err = DecodeHead(s.file); err != nil {
			r.t.Fatal(err)
		}
	}
	s.Active = NewActive(ActiveOptions{Self: r.names[i], Peers: r.names, Persisted: h})
	if s.disk && h.Revision != s.highest {
		r.t.Fatalf("node %d restarts at revision %d after %d", i, h.Revision, s.highest)
	}
	s.highest = h.Revision
}

// step lets a node handle an event and executes its commands.
func (r *region) step(i int, e Event) {
	s := r.sites[i]
	for _, c := range s.Step(r.now, e) {
		switch c := c.(type) {
		case Persist:
			data, err := EncodeHead(c.Head)
			if err != nil {
				r.t.Fatal(err)
			}
			if s.disk {
				s.file = data
			}
		case Activate:
			if c.Head.Revision <= s.highest {
				r.t.Fatalf("node %d activates revision %d after %d", i, c.Head.Revision, s.highest)
			}
			s.highest = c.Head.Revision
		case Announce:
			for j := range r.sites {
				r.post(i, j, Announced{Peer: r.names[i], Revision: c.Revision})
			}
		case Request:
			r.post(i, slices.Index(r.names, c.Peer), Requested{Peer: r.names[i], Have: c.Have})
		case Send:
			r.post(i, slices.Index(r.names, c.Peer), Received{Peer: r.names[i], Update: c.Update})
		case Mismatch:
			r.t.Fatalf("node %d: %+v", i, c)
		}
	}
}

func (r *region) post(from, to int, e Event) {
	if from != to && r.links[from][to] {
		r.packets = append(r.packets, packet{from: from, to: to, event: e})
	}
}

func (r *region) submit(t *rapid.T) {
	head := r.machine.Head().Revision
	base := head - min(head, csmodel.Revision(rapid.IntRange(0, 2).Draw(t, "age")))
	r.sent++
	id := fmt.Sprint(rapid.IntRange(max(0, r.sent-3), r.sent).Draw(t, "id"))
	_, resent := r.machine.results.get(csmodel.SubmissionID(id))
	a, ok := submit(t, r.machine, r.now, id, base, r.sent).(Accepted)
	if !ok || resent {
		return
	}
	if winner, taken := r.winners[base]; taken || a.Revision != base+1 {
		r.t.Fatalf("base %d: revision %d of %s after %s", base, a.Revision, id, winner)
	}
	r.winners[base] = csmodel.SubmissionID(id)
}

// fates of a packet.
var fates = []string{"deliver", "deliver and keep", "lose"}

func (r *region) deliver(i int, fate string) {
	p := r.packets[i]
	if fate != fates[1] {
		r.packets = slices.Delete(r.packets, i, i+1)
	}
	if fate != fates[2] {
		r.step(p.to, p.event)
	}
}

// settle connects the nodes in a random tree, gives the log to one node only, and lets time pass.
func (r *region) settle(t *rapid.T) {
	for i := range r.sites {
		clear(r.links[i])
	}
	for i := 1; i < len(r.sites); i++ {
		j := rapid.IntRange(0, i-1).Draw(t, "neighbour")
		r.links[i][j], r.links[j][i] = true, true
	}
	r.step(rapid.IntRange(0, len(r.sites)-1).Draw(t, "replica"), Committed{r.machine.Head()})
	for range 200 {
		r.now = r.now.Add(100 * time.Millisecond)
		for i := range r.sites {
			r.step(i, Tick{})
		}
		for len(r.packets) > 0 {
			r.deliver(0, fates[0])
		}
	}
}

// Guards against a configuration that reverts, against nodes that do not converge through the peers they can reach, and
// against two winners of one base, under loss, reordering, duplication and restarts.
func TestRolloutConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t, rapid.IntRange(2, 6).Draw(t, "nodes"))
		node := rapid.IntRange(0, len(r.sites)-1)
		t.Repeat(map[string]func(*rapid.T){
			"submit": r.submit,
			"commit": func(t *rapid.T) { r.step(node.Draw(t, "node"), Committed{r.machine.Head()}) },
			"tick": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
				r.step(node.Draw(t, "node"), Tick{})
			},
			"deliver": func(t *rapid.T) {
				if n := len(r.packets); n > 0 {
					r.deliver(rapid.IntRange(0, n-1).Draw(t, "packet"), rapid.SampledFrom(fates).Draw(t, "fate"))
				}
			},
			"link": func(t *rapid.T) {
				r.links[node.Draw(t, "from")][node.Draw(t, "to")] = rapid.Bool().Draw(t, "up")
			},
			"restart": func(t *rapid.T) { r.start(node.Draw(t, "node")) },
		})
		r.settle(t)
		want := r.machine.Head()
		for i, s := range r.sites {
			if got := s.Head(); got.Revision != want.Revision || got.Digest != want.Digest {
				t.Fatalf("node %d: got revision %d, want %d", i, got.Revision, want.Revision)
			}
		}
	})
}
