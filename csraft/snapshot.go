package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// maxSnapshotBuffer limits what is allocated for an incoming snapshot before its bytes arrive.
const maxSnapshotBuffer = 1 << 30

// incomingSnapshot is a snapshot that is being transferred from another member in chunks.
type incomingSnapshot struct {
	from        csmodel.NodeID
	snapshot    Snapshot
	total       uint64
	requestedAt time.Time
}

// compactLog stores a snapshot of the machine and drops the entries that it covers, except the latest ones, which members
// that are slightly behind may still need.
func (c *Core) compactLog(e Compact) {
	term, ok := c.log.term(e.Index)
	if !ok || e.Index <= c.snapshot.Index || e.Index > c.commit {
		return
	}
	c.snapshot = Snapshot{
		Index: e.Index, Term: term, At: c.log.entries[e.Index-c.log.base-1].At.UnixNano(),
		Members: c.log.membershipAt(e.Index).membership, Data: e.Data,
	}
	c.log.compact(c.trailingBase(e.Index))
	c.saveSnapshot()
}

// trailingBase returns the new base of the log after a snapshot at the index.
func (c *Core) trailingBase(i csmodel.Index) csmodel.Index {
	size := csmodel.Bytes(0)
	for n := 0; n < c.config.TrailingEntries && i > c.log.base; n++ {
		size += entrySize(c.log.entries[i-c.log.base-1])
		if size > maxTrailingBytes {
			break
		}
		i--
	}
	return i
}

func (c *Core) saveSnapshot() {
	if c.diskFailed {
		return
	}
	s := c.snapshot
	entries := c.log.slice(c.log.base+1, c.log.lastIndex(), 1<<62)
	c.emit(Save{
		State: c.state, Snapshot: &s, Base: c.log.base, BaseTerm: c.log.baseTerm, Entries: entries, Commit: max(c.commit, s.Index),
	})
}

// offerSnapshot tells a member that the entries it needs are in the snapshot. Round is zero unless the leader offers it during
// replication.
func (c *Core) offerSnapshot(to csmodel.NodeID, round uint64) {
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
	if m.Round > 0 && !c.diskFailed {
		if m.Term < c.state.Term {
			return
		}
		c.followLeader(m)
		reply := Message{Kind: MessageAppendReply, Term: m.Term, Round: m.Round, Reject: true, Index: c.log.lastIndex()}
		if m.Index <= c.commit {
			// The snapshot came from another member, or the reply to it was lost.
			reply.Reject = false
			reply.Index = c.commit
		}
		c.send(m.From, reply)
	}
	c.recordRelay(m)
	if m.Index <= c.commit {
		return
	}
	i := c.incoming
	same := i != nil && i.from == m.From && i.snapshot.Index == m.Index && i.snapshot.Term == m.LogTerm
	busy := i != nil && c.now.Sub(i.requestedAt) < 3*c.config.Heartbeat
	if busy && (same || i.from != m.From) {
		return
	}
	if !same {
		c.incoming = &incomingSnapshot{from: m.From, snapshot: Snapshot{Index: m.Index, Term: m.LogTerm}, total: m.Total}
	}
	c.fetchSnapshot()
}

func (c *Core) fetchSnapshot() {
	c.incoming.requestedAt = c.now
	c.send(c.incoming.from, Message{
		Kind: MessageSnapshotFetch, Index: c.incoming.snapshot.Index, Offset: uint64(len(c.incoming.snapshot.Data)),
	})
}

func (c *Core) onSnapshotFetch(m Message) {
	s := c.snapshot
	if p, ok := c.lead.peers[m.From]; ok && p.incarnation == m.Incarnation {
		p.lastContact = c.now
	}
	if m.Index != s.Index || m.Offset > uint64(len(s.Data)) {
		c.offerSnapshot(m.From, 0)
		return
	}
	end := min(uint64(len(s.Data)), m.Offset+uint64(c.config.MaxBatchBytes))
	c.send(m.From, Message{
		Kind: MessageSnapshotChunk, Index: s.Index, LogTerm: s.Term, Commit: c.commit,
		Offset: m.Offset, Total: uint64(len(s.Data)), Data: s.Data[m.Offset:end], Members: &s.Members, At: s.At,
	})
}

func (c *Core) onSnapshotChunk(m Message) {
	i := c.incoming
	if i == nil || i.from != m.From || i.snapshot.Index != m.Index || i.snapshot.Term != m.LogTerm || m.Members == nil {
		return
	}
	if m.Offset != uint64(len(i.snapshot.Data)) || m.Total != i.total {
		return
	}
	if i.snapshot.Data == nil {
		i.snapshot.Data = make([]byte, 0, min(i.total, maxSnapshotBuffer))
	}
	i.snapshot.Data = append(i.snapshot.Data, m.Data...)
	if uint64(len(i.snapshot.Data)) < i.total {
		c.fetchSnapshot()
		return
	}
	i.snapshot.Members = *m.Members
	i.snapshot.At = m.At
	c.incoming = nil
	c.installSnapshot(i.snapshot)
}

// installSnapshot replaces the state with a snapshot. Entries after it are kept if the log connects to it.
func (c *Core) installSnapshot(s Snapshot) {
	if s.Index <= c.commit || c.role == Leader {
		return
	}
	if t, known := c.log.term(s.Index); known && t == s.Term {
		c.log.compact(s.Index)
	} else {
		c.log.resetTo(s)
	}
	if s.Term > c.state.Term {
		c.state = HardState{Term: s.Term}
	}
	c.snapshot = s
	c.commit = s.Index
	c.saveSnapshot()
	if s.Index > c.applied {
		c.applied = s.Index
		c.emit(InstallSnapshot{Snapshot: s})
	}
	if c.leader != "" && !c.diskFailed {
		c.send(c.leader, Message{Kind: MessageAppendReply, Term: c.state.Term, Index: s.Index})
	}
}
