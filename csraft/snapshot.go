package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// incoming is a snapshot that is being copied from another member in pieces.
type incoming struct {
	from     csmodel.NodeID
	snapshot Snapshot
	total    uint64
	asked    time.Time
}

// compact stores a snapshot of the machine and drops the entries that it covers, except some that members which are
// slightly behind still need.
func (c *Core) compact(e Compact) {
	term, ok := c.log.term(e.Index)
	if !ok || e.Index <= c.snapshot.Index || e.Index > c.commit {
		return
	}
	c.snapshot = Snapshot{
		Index: e.Index, Term: term, At: c.log.entries[e.Index-c.log.base-1].At.UnixNano(),
		Members: c.log.placed(e.Index).membership, Data: e.Data,
	}
	c.log.compact(c.trailing(e.Index))
	c.saveSnapshot()
}

// trailing returns the new base of the log after a snapshot at the index.
func (c *Core) trailing(i csmodel.Index) csmodel.Index {
	size := csmodel.Bytes(0)
	for n := 0; n < c.config.Trailing && i > c.log.base; n++ {
		size += entrySize(c.log.entries[i-c.log.base-1])
		if size > trailingBytes {
			break
		}
		i--
	}
	return i
}

func (c *Core) saveSnapshot() {
	if c.detached {
		return
	}
	s := c.snapshot
	entries := c.log.slice(c.log.base+1, c.log.lastIndex(), 1<<62)
	c.emit(Save{
		State: c.state, Snapshot: &s, Base: c.log.base, BaseTerm: c.log.baseTerm, Entries: entries, Commit: max(c.commit, s.Index),
	})
}

// offer tells a member that the entries it needs are in the snapshot. Round is set where the leader offers it.
func (c *Core) offer(to csmodel.NodeID, round uint64) {
	m := Message{
		Kind: MessageSnapshotOffer, Index: c.snapshot.Index, LogTerm: c.snapshot.Term, Total: uint64(len(c.snapshot.Data)),
		Commit: c.commit, Round: round, Leader: c.leader,
	}
	if round > 0 {
		m.Term = c.state.Term
	}
	c.send(to, m)
}

func (c *Core) onSnapshotOffer(m Message) {
	if m.Round > 0 && !c.detached {
		if m.Term < c.state.Term {
			return
		}
		c.heardLeader(m)
		reply := Message{Kind: MessageAppendReply, Term: m.Term, Round: m.Round, Reject: true, Index: c.log.lastIndex()}
		if m.Index <= c.commit {
			// The snapshot came from another member, or the reply to it was lost.
			reply.Reject = false
			reply.Index = c.commit
		}
		c.send(m.From, reply)
	}
	c.noteHint(m)
	if m.Index <= c.commit {
		return
	}
	i := c.install
	same := i != nil && i.from == m.From && i.snapshot.Index == m.Index && i.snapshot.Term == m.LogTerm
	busy := i != nil && c.now.Sub(i.asked) < 3*c.config.Heartbeat
	if busy && (same || i.from != m.From) {
		return
	}
	if !same {
		c.install = &incoming{from: m.From, snapshot: Snapshot{Index: m.Index, Term: m.LogTerm}, total: m.Total}
	}
	c.fetchSnapshot()
}

func (c *Core) fetchSnapshot() {
	c.install.asked = c.now
	c.send(c.install.from, Message{
		Kind: MessageSnapshotFetch, Index: c.install.snapshot.Index, Offset: uint64(len(c.install.snapshot.Data)),
	})
}

func (c *Core) onSnapshotFetch(m Message) {
	s := c.snapshot
	if p, ok := c.lead.peers[m.From]; ok && p.incarnation == m.Incarnation {
		p.contact = c.now
	}
	if m.Index != s.Index || m.Offset > uint64(len(s.Data)) {
		c.offer(m.From, 0)
		return
	}
	end := min(uint64(len(s.Data)), m.Offset+uint64(c.config.Batch))
	c.send(m.From, Message{
		Kind: MessageSnapshotChunk, Index: s.Index, LogTerm: s.Term, Commit: c.commit,
		Offset: m.Offset, Total: uint64(len(s.Data)), Data: s.Data[m.Offset:end], Members: &s.Members, At: s.At,
	})
}

func (c *Core) onSnapshotChunk(m Message) {
	i := c.install
	if i == nil || i.from != m.From || i.snapshot.Index != m.Index || i.snapshot.Term != m.LogTerm || m.Members == nil {
		return
	}
	if m.Offset != uint64(len(i.snapshot.Data)) || m.Total != i.total {
		return
	}
	i.snapshot.Data = append(i.snapshot.Data, m.Data...)
	if uint64(len(i.snapshot.Data)) < i.total {
		c.fetchSnapshot()
		return
	}
	i.snapshot.Members = *m.Members
	i.snapshot.At = m.At
	c.install = nil
	c.installSnapshot(i.snapshot)
}

// installSnapshot replaces the state up to a snapshot. Entries after it are kept where the log connects to it.
func (c *Core) installSnapshot(s Snapshot) {
	if s.Index <= c.commit || c.role == Leader {
		return
	}
	if t, known := c.log.term(s.Index); known && t == s.Term {
		c.log.compact(s.Index)
	} else {
		c.log.reset(s)
	}
	if s.Term > c.state.Term {
		c.state = HardState{Term: s.Term}
	}
	c.snapshot = s
	c.commit = s.Index
	c.saveSnapshot()
	if s.Index > c.applied {
		c.applied = s.Index
		c.emit(Install{Snapshot: s})
	}
	if c.leader != "" && !c.detached {
		c.send(c.leader, Message{Kind: MessageAppendReply, Term: c.state.Term, Index: s.Index})
	}
}
