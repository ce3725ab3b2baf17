package csrollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// announceInterval is the time between announcements of the active revision to all peers.
	announceInterval = 500 * time.Millisecond
	// replicaGrace is the time that a node waits for its own replica before it asks a peer: announcements often arrive
	// before the log entry, and each needless request costs an update.
	replicaGrace = 250 * time.Millisecond
	// requestTimeout is the time after which another peer is asked.
	requestTimeout = time.Second
	// reachable is the time since the last announcement for which a peer counts as reachable.
	reachable = 3 * time.Second
	// maxUpdate bounds the deltas of an update in bytes. Beyond it the whole configuration is sent.
	maxUpdate = 256 << 10
)

// ActiveOptions configure Active.
type ActiveOptions struct {
	Self csmodel.NodeID
	// Peers lists the other nodes of the installation.
	Peers []csmodel.NodeID
	// Persisted is the copy found on disk. Its zero value starts at revision 0.
	Persisted Head
}

// Progress tells where a revision is active.
type Progress struct {
	Active      []csmodel.NodeID
	Pending     []csmodel.NodeID // heard from, with an older revision
	Unreachable []csmodel.NodeID // not heard from within the last 3 s
}

// peerState is what a peer last announced.
type peerState struct {
	revision csmodel.Revision
	heard    time.Time
}

// Active decides which configuration is active on one node. Its revision only increases. It is not safe for concurrent
// use.
type Active struct {
	self       csmodel.NodeID
	peers      map[csmodel.NodeID]peerState
	head       Head
	history    history
	announceAt time.Time
	behind     time.Time      // when a higher revision was first heard of; zero where none is known
	asked      csmodel.NodeID // last peer that was asked
	askAgain   time.Time
	whole      bool // ask for the whole configuration: a delta did not fit
}

// NewActive returns the state after a start.
func NewActive(o ActiveOptions) *Active {
	a := &Active{self: o.Self, head: o.Persisted, peers: make(map[csmodel.NodeID]peerState, len(o.Peers))}
	for _, p := range o.Peers {
		if p != o.Self {
			a.peers[p] = peerState{}
		}
	}
	if a.head.Revision > 0 {
		a.history.add(a.head.Step)
	}
	return a
}

// Step handles one event.
func (a *Active) Step(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Committed:
		return a.adopt(now, "", e.Head, []Step{e.Head.Step})
	case Announced:
		a.note(now, e.Peer, e.Revision)
		return a.seek(now)
	case Acknowledged:
		a.note(now, e.Peer, e.Revision)
		return nil
	case Requested:
		return a.serve(e)
	case Received:
		return a.receive(now, e)
	case Tick:
		return append(a.announce(now), a.seek(now)...)
	default:
		return nil
	}
}

// Head returns the active revision and its configuration, which must not be modified.
func (a *Active) Head() Head { return a.head }

// Progress tells where a revision is active, as far as this node has heard.
func (a *Active) Progress(now time.Time, revision csmodel.Revision) Progress {
	var p Progress
	states := map[csmodel.NodeID]peerState{a.self: {revision: a.head.Revision, heard: now}}
	for name, s := range a.peers {
		states[name] = s
	}
	for _, name := range csmodel.SortedKeys(states) {
		switch s := states[name]; {
		case s.revision >= revision:
			p.Active = append(p.Active, name)
		case s.recent(now):
			p.Pending = append(p.Pending, name)
		default:
			p.Unreachable = append(p.Unreachable, name)
		}
	}
	return p
}

func (s peerState) recent(now time.Time) bool {
	return !s.heard.IsZero() && now.Sub(s.heard) <= reachable
}

func (a *Active) note(now time.Time, peer csmodel.NodeID, r csmodel.Revision) {
	if _, ok := a.peers[peer]; ok {
		a.peers[peer] = peerState{revision: r, heard: now}
	}
}

// announce sends the active revision when the interval has passed.
func (a *Active) announce(now time.Time) []Command {
	if now.Before(a.announceAt) {
		return nil
	}
	a.announceAt = now.Add(announceInterval)
	return []Command{Announce{Revision: a.head.Revision}}
}

// adopt activates a revision that is higher than the active one. The steps lead to it.
func (a *Active) adopt(now time.Time, peer csmodel.NodeID, h Head, steps []Step) []Command {
	if h.Revision < a.head.Revision || h.Revision == 0 {
		return nil
	}
	if h.Revision == a.head.Revision {
		if h.Digest == a.head.Digest {
			return nil
		}
		return []Command{Mismatch{Peer: peer, Revision: h.Revision, Reason: "differs from the active configuration"}}
	}
	a.head = h
	for _, s := range steps {
		a.history.add(s)
	}
	a.behind = time.Time{}
	a.askAgain = time.Time{}
	a.whole = false
	a.announceAt = now.Add(announceInterval)
	return []Command{
		Persist{Head: h},
		// Clocks of nodes differ by a little, so the acceptance can appear to be in the future.
		Activate{Head: h, Took: max(0, now.Sub(h.At))},
		Announce{Revision: h.Revision},
	}
}

// serve answers a peer that is behind.
func (a *Active) serve(e Requested) []Command {
	if e.Have >= a.head.Revision {
		return nil
	}
	if e.Have > 0 {
		if steps, ok := a.history.since(e.Have); ok && stepsSize(steps) <= maxUpdate {
			return []Command{Send{Peer: e.Peer, Update: Update{Steps: steps}}}
		}
	}
	return []Command{Send{Peer: e.Peer, Update: Update{Full: new(a.head)}}}
}

func stepsSize(steps []Step) int {
	n := 0
	for _, s := range steps {
		n += s.size()
	}
	return n
}

// receive takes an update from a peer.
func (a *Active) receive(now time.Time, e Received) []Command {
	if e.Update.Full != nil {
		return a.receiveFull(now, e.Peer, *e.Update.Full)
	}
	var steps []Step
	for _, s := range e.Update.Steps {
		if s.Revision <= a.head.Revision {
			continue
		}
		if s.Revision != a.head.Revision+csmodel.Revision(len(steps))+1 {
			return nil // for another base; the next request asks again
		}
		steps = append(steps, s)
	}
	if len(steps) == 0 {
		return nil
	}
	h, err := a.build(steps)
	if err != nil {
		return a.reject(now, e.Peer, steps[len(steps)-1].Revision, err)
	}
	return a.adopt(now, e.Peer, h, steps)
}

func (a *Active) receiveFull(now time.Time, peer csmodel.NodeID, h Head) []Command {
	if h.Revision <= a.head.Revision {
		return nil
	}
	if err := verify(h); err != nil {
		return a.reject(now, peer, h.Revision, err)
	}
	return a.adopt(now, peer, h, []Step{h.Step})
}

// build applies steps to the active configuration.
func (a *Active) build(steps []Step) (Head, error) {
	c := a.head.Configuration
	for _, s := range steps {
		d, err := csconfig.DecodeDelta(s.Delta)
		if err != nil {
			return Head{}, err
		}
		if c, err = d.Apply(c); err != nil {
			return Head{}, fmt.Errorf("revision %d: %w", s.Revision, err)
		}
	}
	h := Head{Step: steps[len(steps)-1], Configuration: c}
	return h, verify(h)
}

func verify(h Head) error {
	digest, err := h.Configuration.Digest()
	if err != nil {
		return err
	}
	if digest != h.Digest {
		return fmt.Errorf("revision %d: %w", h.Revision, ErrDigest)
	}
	return nil
}

// reject reports an update that does not fit and asks for the whole configuration next.
func (a *Active) reject(now time.Time, peer csmodel.NodeID, r csmodel.Revision, err error) []Command {
	a.whole = true
	a.askAgain = time.Time{}
	return append([]Command{Mismatch{Peer: peer, Revision: r, Reason: err.Error()}}, a.seek(now)...)
}

// seek asks a peer that is ahead, unless the replica may still deliver the revision or an answer may still arrive.
func (a *Active) seek(now time.Time) []Command {
	peer, ok := a.ahead(now)
	if !ok {
		a.behind = time.Time{}
		return nil
	}
	if a.behind.IsZero() {
		a.behind = now
	}
	if now.Sub(a.behind) < replicaGrace || now.Before(a.askAgain) {
		return nil
	}
	a.asked = peer
	a.askAgain = now.Add(requestTimeout)
	have := a.head.Revision
	if a.whole {
		have = 0
	}
	return []Command{Request{Peer: peer, Have: have}}
}

// ahead returns the peer to ask: one that was not asked last, then the one with the highest revision. Between equal ones
// the choice differs from node to node, so that not all ask the same peer.
func (a *Active) ahead(now time.Time) (csmodel.NodeID, bool) {
	var best csmodel.NodeID
	for _, name := range csmodel.SortedKeys(a.peers) {
		s := a.peers[name]
		if s.revision > a.head.Revision && s.recent(now) && (best == "" || a.prefer(name, best)) {
			best = name
		}
	}
	return best, best != ""
}

func (a *Active) prefer(x, y csmodel.NodeID) bool {
	if (x == a.asked) != (y == a.asked) {
		return y == a.asked
	}
	if rx, ry := a.peers[x].revision, a.peers[y].revision; rx != ry {
		return rx > ry
	}
	return a.rank(x) < a.rank(y)
}

func (a *Active) rank(name csmodel.NodeID) uint64 {
	return xxhash.Sum64String(string(a.self) + "/" + string(name))
}

// Revisions returns the active revision of each node, as far as this node has heard.
func (a *Active) Revisions() map[csmodel.NodeID]csmodel.Revision {
	out := make(map[csmodel.NodeID]csmodel.Revision, len(a.peers)+1)
	for name, s := range a.peers {
		out[name] = s.revision
	}
	out[a.self] = a.head.Revision
	return out
}
