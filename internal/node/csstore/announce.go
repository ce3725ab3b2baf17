package csstore

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// leaderKey lets a newer announcement replace one that waits for a slow link.
const leaderKey = "leader"

// announcer sends the connected entries each change of the leader, so that hundreds of them need not ask for it. The zero
// value is ready to use.
type announcer struct {
	mu      sync.Mutex
	entries csmodel.Set[csmodel.NodeID]
}

// connected records whether an entry is connected. Other nodes are ignored.
func (a *announcer) connected(n csmodel.NodeID, up bool) {
	if !csrpc.IsEntry(n) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !up {
		delete(a.entries, n)
		return
	}
	if a.entries == nil {
		a.entries = csmodel.NewSet[csmodel.NodeID]()
	}
	a.entries.Add(n)
}

func (a *announcer) recipients() []csmodel.NodeID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return csmodel.SortedKeys(a.entries)
}

// announceLeader tells all connected entries who leads.
func (s *Store) announceLeader(answer csrpc.LeaderAnswer) {
	payload := csrpc.Encode(answer)
	for _, n := range s.announcer.recipients() {
		// An entry that does not get the announcement asks.
		if err := (sender{s}).Send(n, cslink.Control, csrpc.KindLeader, payload, leaderKey); err != nil {
			s.log.Debug("leader not announced", zap.String("peer", string(n)), zap.Error(err))
		}
	}
}

// announceOnceReady announces this store when it can take requests: its lease is valid and its replica is complete. Requests
// that come earlier are sent away.
func (s *Store) announceOnceReady(t csmodel.Term) {
	<-s.opened
	for s.group.Status().Term == t {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		err := replica{s}.Read(ctx, func(*csjob.Table) {})
		cancel()
		if answer := s.leaderAnswer(); err == nil && answer.Ready && answer.Term == t {
			s.announceLeader(answer)
			return
		}
		select {
		case <-s.closing:
			return
		case <-s.options.Clock.After(announceRetry):
		}
	}
}
