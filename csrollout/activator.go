package csrollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// announceInterval is the time between two announcements of an unchanged active revision to all peers.
	announceInterval = 500 * time.Millisecond
	// replicaGracePeriod is how long a node waits for its own replica to apply a newer revision before it sends a
	// request to a peer: announcements often arrive before the log entry, and each needless request costs an update.
	replicaGracePeriod = 250 * time.Millisecond
	// requestTimeout is the time after which an unanswered request is sent again, preferably to another peer.
	requestTimeout = time.Second
	// peerTimeout is the time after the last announcement or acknowledgement until a peer counts as unreachable.
	peerTimeout = 3 * time.Second
	// maxUpdateBytes limits the changes in an update. If they are larger, the whole configuration is sent instead.
	maxUpdateBytes = 256 << 10
)

// ActivatorOptions configures NewActivator.
type ActivatorOptions struct {
	Self csmodel.NodeID
	// Peers lists the other nodes of the cluster. Self is ignored in it.
	Peers []csmodel.NodeID
	// Persisted is the active configuration read from disk. The zero value starts at revision 0.
	Persisted Head
}

// Progress lists the nodes by whether a revision is active on them, in the order of their ids.
type Progress struct {
	Active      []csmodel.NodeID // with this revision or a newer one
	Pending     []csmodel.NodeID // reachable, with an older revision
	Unreachable []csmodel.NodeID // nothing received in the last 3 s, last known with an older revision
}

// peerState holds the revision that a peer last announced or acknowledged, and when.
type peerState struct {
	revision  csmodel.Revision
	lastHeard time.Time
}

// Activator is the state machine that decides which configuration is active on one node and distributes it to peers. The
// active revision never decreases. Activator is not safe for concurrent use.
type Activator struct {
	self           csmodel.NodeID
	peers          map[csmodel.NodeID]peerState
	head           Head
	history        history
	nextAnnounceAt time.Time
	behindSince    time.Time      // when a newer revision was first announced; zero if none is known
	lastRequested  csmodel.NodeID // peer of the last request
	nextRequestAt  time.Time
	requestFull    bool // the next request is for the whole configuration, because an update was rejected
}

// NewActivator returns the state of a node that has just started.
func NewActivator(o ActivatorOptions) *Activator {
	a := &Activator{self: o.Self, head: o.Persisted, peers: make(map[csmodel.NodeID]peerState, len(o.Peers))}
	for _, p := range o.Peers {
		if p != o.Self {
			a.peers[p] = peerState{}
		}
	}
	if a.head.Revision > 0 {
		a.history.add(a.head.Change)
	}
	return a
}

// Step handles an event and returns the commands to execute.
func (a *Activator) Step(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Committed:
		return a.activate(now, "", e.Head, []Change{e.Head.Change})
	case Announced:
		a.recordPeer(now, e.Peer, e.Revision)
		return a.requestUpdate(now)
	case Acknowledged:
		a.recordPeer(now, e.Peer, e.Revision)
		return nil
	case UpdateRequested:
		return a.handleRequest(e)
	case UpdateReceived:
		return a.handleUpdate(now, e)
	case Tick:
		return append(a.announce(now), a.requestUpdate(now)...)
	default:
		return nil
	}
}

// Head returns the active revision and its configuration, which must not be modified.
func (a *Activator) Head() Head { return a.head }

// Progress reports on which nodes a revision is active, as last announced to this node.
func (a *Activator) Progress(now time.Time, revision csmodel.Revision) Progress {
	var p Progress
	states := map[csmodel.NodeID]peerState{a.self: {revision: a.head.Revision, lastHeard: now}}
	for name, s := range a.peers {
		states[name] = s
	}
	for _, name := range csmodel.SortedKeys(states) {
		switch s := states[name]; {
		case s.revision >= revision:
			p.Active = append(p.Active, name)
		case s.reachable(now):
			p.Pending = append(p.Pending, name)
		default:
			p.Unreachable = append(p.Unreachable, name)
		}
	}
	return p
}

func (s peerState) reachable(now time.Time) bool {
	return !s.lastHeard.IsZero() && now.Sub(s.lastHeard) <= peerTimeout
}

func (a *Activator) recordPeer(now time.Time, peer csmodel.NodeID, r csmodel.Revision) {
	if _, ok := a.peers[peer]; ok {
		a.peers[peer] = peerState{revision: r, lastHeard: now}
	}
}

// announce announces the active revision if announceInterval has passed.
func (a *Activator) announce(now time.Time) []Command {
	if now.Before(a.nextAnnounceAt) {
		return nil
	}
	a.nextAnnounceAt = now.Add(announceInterval)
	return []Command{Announce{Revision: a.head.Revision}}
}

// activate makes a revision the active one if it is newer. The changes end with that revision and extend the history.
// The peer is empty if the revision came from the local replica.
func (a *Activator) activate(now time.Time, peer csmodel.NodeID, h Head, changes []Change) []Command {
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
	for _, change := range changes {
		a.history.add(change)
	}
	a.behindSince = time.Time{}
	a.nextRequestAt = time.Time{}
	a.requestFull = false
	a.nextAnnounceAt = now.Add(announceInterval)
	return []Command{
		Persist{Head: h},
		// The clocks of nodes differ slightly, so the time of acceptance can lie in the future.
		Activate{Head: h, Latency: max(0, now.Sub(h.At))},
		Announce{Revision: h.Revision},
	}
}

// handleRequest sends an update to a peer whose active revision is older.
func (a *Activator) handleRequest(e UpdateRequested) []Command {
	if e.Have >= a.head.Revision {
		return nil
	}
	if e.Have > 0 {
		if changes, ok := a.history.since(e.Have); ok && totalSize(changes) <= maxUpdateBytes {
			return []Command{SendUpdate{Peer: e.Peer, Update: Update{Changes: changes}}}
		}
	}
	return []Command{SendUpdate{Peer: e.Peer, Update: Update{Full: new(a.head)}}}
}

func totalSize(changes []Change) int {
	size := 0
	for _, c := range changes {
		size += c.encodedSize()
	}
	return size
}

// handleUpdate activates the last revision of an update from a peer. Changes that are already active are skipped.
func (a *Activator) handleUpdate(now time.Time, e UpdateReceived) []Command {
	if e.Update.Full != nil {
		return a.handleFullUpdate(now, e.Peer, *e.Update.Full)
	}
	var changes []Change
	for _, change := range e.Update.Changes {
		if change.Revision <= a.head.Revision {
			continue
		}
		if change.Revision != a.head.Revision+csmodel.Revision(len(changes))+1 {
			return nil // doesn't follow the active revision; the next request names the right one
		}
		changes = append(changes, change)
	}
	if len(changes) == 0 {
		return nil
	}
	h, err := a.applyChanges(changes)
	if err != nil {
		return a.rejectUpdate(now, e.Peer, changes[len(changes)-1].Revision, err)
	}
	return a.activate(now, e.Peer, h, changes)
}

func (a *Activator) handleFullUpdate(now time.Time, peer csmodel.NodeID, h Head) []Command {
	if h.Revision <= a.head.Revision {
		return nil
	}
	if err := verifyDigest(h); err != nil {
		return a.rejectUpdate(now, peer, h.Revision, err)
	}
	return a.activate(now, peer, h, []Change{h.Change})
}

// applyChanges applies changes to the active configuration and verifies the digest of the result.
func (a *Activator) applyChanges(changes []Change) (Head, error) {
	configuration := a.head.Configuration
	for _, change := range changes {
		delta, err := csconfig.DecodeDelta(change.Delta)
		if err != nil {
			return Head{}, err
		}
		if configuration, err = delta.Apply(configuration); err != nil {
			return Head{}, fmt.Errorf("revision %d: %w", change.Revision, err)
		}
	}
	h := Head{Change: changes[len(changes)-1], Configuration: configuration}
	return h, verifyDigest(h)
}

func verifyDigest(h Head) error {
	digest, err := h.Configuration.Digest()
	if err != nil {
		return err
	}
	if digest != h.Digest {
		return fmt.Errorf("revision %d: %w", h.Revision, ErrDigest)
	}
	return nil
}

// rejectUpdate reports an update that can't be applied or has a wrong digest, and requests the whole configuration.
func (a *Activator) rejectUpdate(now time.Time, peer csmodel.NodeID, r csmodel.Revision, err error) []Command {
	a.requestFull = true
	a.nextRequestAt = time.Time{}
	return append([]Command{Mismatch{Peer: peer, Revision: r, Reason: err.Error()}}, a.requestUpdate(now)...)
}

// requestUpdate sends a request to a peer with a newer revision, unless the local replica may still apply that revision
// (replicaGracePeriod) or the last request may still be answered (requestTimeout).
func (a *Activator) requestUpdate(now time.Time) []Command {
	peer, ok := a.selectPeer(now)
	if !ok {
		a.behindSince = time.Time{}
		return nil
	}
	if a.behindSince.IsZero() {
		a.behindSince = now
	}
	if now.Sub(a.behindSince) < replicaGracePeriod || now.Before(a.nextRequestAt) {
		return nil
	}
	a.lastRequested = peer
	a.nextRequestAt = now.Add(requestTimeout)
	have := a.head.Revision
	if a.requestFull {
		have = 0
	}
	return []Command{RequestUpdate{Peer: peer, Have: have}}
}

// selectPeer returns the reachable peer to send a request to, among those with a newer revision. It prefers a peer other
// than that of the last request, then the highest revision. Ties are broken differently on each node, so that not all
// nodes send their requests to the same peer.
func (a *Activator) selectPeer(now time.Time) (csmodel.NodeID, bool) {
	var best csmodel.NodeID
	for _, name := range csmodel.SortedKeys(a.peers) {
		s := a.peers[name]
		if s.revision > a.head.Revision && s.reachable(now) && (best == "" || a.preferPeer(name, best)) {
			best = name
		}
	}
	return best, best != ""
}

// preferPeer reports whether x is a better peer for the next request than y.
func (a *Activator) preferPeer(x, y csmodel.NodeID) bool {
	if (x == a.lastRequested) != (y == a.lastRequested) {
		return y == a.lastRequested
	}
	if rx, ry := a.peers[x].revision, a.peers[y].revision; rx != ry {
		return rx > ry
	}
	return a.peerHash(x) < a.peerHash(y)
}

// peerHash returns a hash of this node and a peer, which breaks ties between peers.
func (a *Activator) peerHash(name csmodel.NodeID) uint64 {
	return xxhash.Sum64String(string(a.self) + "/" + string(name))
}

// Revisions returns the active revision of each node, as last announced to this node; 0 if it announced none.
func (a *Activator) Revisions() map[csmodel.NodeID]csmodel.Revision {
	out := make(map[csmodel.NodeID]csmodel.Revision, len(a.peers)+1)
	for name, s := range a.peers {
		out[name] = s.revision
	}
	out[a.self] = a.head.Revision
	return out
}
