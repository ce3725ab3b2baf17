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
	// askInterval is how often the entry asks its leader whether it still leads.
	askInterval = 400 * time.Millisecond
	askTimeout  = 800 * time.Millisecond
	// searchInterval is how often the entry asks all stores while it knows no leader that it is connected to. Requests are
	// refused in the meantime; with the interval of a known leader that went on for 0.4 s after the election.
	searchInterval = 100 * time.Millisecond
	// searchTimeout bounds such a question, so that a frozen store does not delay the next one to the others.
	searchTimeout = 200 * time.Millisecond
)

// watch asks who leads.
func (e *Entry) watch(ctx context.Context) {
	for {
		e.ask(ctx)
		interval := searchInterval
		if leader := e.current(); leader != "" && e.calls.Connected(leader) {
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
	if a.Leader == n && a.Ready {
		e.mu.Lock()
		e.seen = e.options.Clock.Now()
		e.mu.Unlock()
	}
	if a.Leader == "" {
		e.forget(n)
		return
	}
	e.learn(a.Leader, a.Term)
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
	ip, ok := csrpc.StoreIP(leader)
	if !ok {
		return
	}
	if err := e.links.AddPeer(cslink.Peer{Node: leader, Address: e.options.PeerAddress(ip)}); err != nil {
		e.log.Warn("leader not added", zap.String("peer", string(leader)), zap.Error(err))
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

// moved follows a hint of a store that does not lead.
func (e *Entry) moved(from, to csmodel.NodeID) {
	if to == "" || to == from {
		e.forget(from)
		return
	}
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	e.learn(to, term)
}
