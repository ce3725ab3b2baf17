package csentry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

const (
	// askInterval is how often the entry asks its leader whether it still leads. Stores announce a change of the leader, so
	// this only makes up for a lost announcement.
	askInterval = 2 * time.Second
	askTimeout  = 800 * time.Millisecond
	// searchInterval is how often the entry asks while it knows no leader that can take requests. An election needs
	// the processor time of the stores: 150 entries send each of three seeds 1,000 questions per second.
	searchInterval = 150 * time.Millisecond
	// searchTimeout bounds such a question, so that a frozen store does not delay the next one to the others.
	searchTimeout = 200 * time.Millisecond
	// lonelySearches is the number of searches in a row without a link to a leader, longer than most elections, after which the entry also asks the
	// members that it has no link to.
	lonelySearches = 8
)

// watch asks who leads.
func (e *Entry) watch(ctx context.Context) {
	for {
		e.ask(ctx)
		interval := searchInterval
		if e.Ready() {
			interval = askInterval
		}
		timer := e.options.Clock.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		case <-e.wake:
			timer.Stop()
		}
	}
}

// askNow makes the entry ask at once who leads, after a link was opened or lost.
func (e *Entry) askNow() {
	select {
	case e.wake <- struct{}{}:
	default: // a question is due already
	}
}

// ask asks the leader, or all stores where none is known.
func (e *Entry) ask(ctx context.Context) {
	e.meetMembers()
	to, timeout := e.calls.Peers(), searchTimeout
	if leader := e.current(); leader != "" && e.calls.Connected(leader) {
		to, timeout = []csmodel.NodeID{leader}, askTimeout
	}
	var all sync.WaitGroup
	for _, n := range to {
		all.Go(func() { e.askOne(ctx, n, timeout) })
	}
	all.Wait()
}

func (e *Entry) askOne(ctx context.Context, n csmodel.NodeID, timeout time.Duration) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := e.calls.Call(limited, n, csrpc.MethodLeader, nil)
	if err != nil {
		e.forget(n)
		return
	}
	a, err := csrpc.Decode[csrpc.LeaderAnswer](b)
	if err != nil {
		e.log.Warn("malformed answer", zap.String("peer", string(n)), zap.Error(err))
		return
	}
	e.heard(n, a)
}

// heard takes in what a store says of the leader.
func (e *Entry) heard(from csmodel.NodeID, a csrpc.LeaderAnswer) {
	e.remember(a.Stores)
	switch a.Leader {
	case "":
		e.forget(from)
		return
	case from:
		e.setReady(from, a.Term, a.Ready)
		if a.Ready {
			e.keys.require(a.Keys)
		}
	}
	e.learn(a.Leader, a.Term)
}

// setReady records whether a leader can take requests.
func (e *Entry) setReady(leader csmodel.NodeID, term csmodel.Term, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term >= e.term {
		e.ready = ""
		if ready {
			e.ready = leader
		}
	}
}

// learn takes over a leader of the same term or a later one.
func (e *Entry) learn(leader csmodel.NodeID, term csmodel.Term) {
	e.mu.Lock()
	changed := leader != "" && leader != e.leader && term >= e.term
	if changed {
		e.leader, e.term = leader, term
	}
	e.mu.Unlock()
	if !changed {
		return
	}
	e.log.Info("leader changed", zap.String("leader", string(leader)), zap.Uint64("term", uint64(term)))
	e.meet(leader)
}

// remember keeps the members of the group. An empty list says nothing.
func (e *Entry) remember(members []csmodel.NodeID) {
	if len(members) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members = members
}

// meetMembers opens links to the members of the group while the entry finds no leader with the links that it has. It needs no others
// otherwise, and each link costs heartbeats.
func (e *Entry) meetMembers() {
	leader := e.current()
	connected := leader != "" && e.calls.Connected(leader)
	e.mu.Lock()
	e.leaderless++
	if connected {
		e.leaderless = 0
	}
	var members []csmodel.NodeID
	if e.leaderless >= lonelySearches {
		members = e.members
	}
	e.mu.Unlock()
	for _, n := range members {
		e.meet(n)
	}
}

// meet opens a link to a store. It does nothing if the store is known.
func (e *Entry) meet(store csmodel.NodeID) {
	ip, ok := csrpc.StoreIP(store)
	if !ok {
		return
	}
	if err := e.links.AddPeer(cslink.Peer{Node: store, Address: e.options.PeerAddress(ip)}); err != nil {
		e.log.Warn("store not added", zap.String("peer", string(store)), zap.Error(err))
	}
}

// AddSeeds makes the entry also ask the stores at the given IP addresses who leads.
func (e *Entry) AddSeeds(ips []string) {
	for _, ip := range ips {
		e.meet(csrpc.StoreNode(ip))
	}
}

func (e *Entry) forget(n csmodel.NodeID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == n {
		e.leader = ""
	}
}

func (e *Entry) current() csmodel.NodeID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// moved follows a hint of a store that does not take requests. One that names itself has been elected and is not ready yet.
func (e *Entry) moved(from, to csmodel.NodeID) {
	switch to {
	case from:
		return
	case "":
		e.forget(from)
		return
	}
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	e.learn(to, term)
}
