package csraft

import (
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// pendingRead is a read that the leader answers once its lease is valid and the first entry of its term is committed.
type pendingRead struct {
	node        csmodel.NodeID // requesting node, empty for this one
	incarnation csmodel.Incarnation
	id          uint64
}

// route returns the node to send proposals to: the leader, or a member that forwards them to the leader.
func (c *Core) route() (csmodel.NodeID, bool) {
	if c.leader != "" && c.leader != c.config.Self {
		return c.leader, true
	}
	if c.relay != "" && c.now.Sub(c.relayAt) < relayValidity {
		return c.relay, true
	}
	return "", false
}

// Routed reports whether a proposal made now would be appended or sent to another node.
func (c *Core) Routed() bool {
	_, ok := c.route()
	return ok || c.role == Leader
}

func (c *Core) propose(proposals []Proposal) {
	if c.role == Leader {
		c.appendProposals(proposals)
		return
	}
	to, ok := c.route()
	if !ok {
		for _, p := range proposals {
			c.emit(Resolve{ID: p.ID, Err: ErrNotLeader})
		}
		return
	}
	for _, part := range SplitProposals(proposals, c.config.MaxBatchBytes) {
		c.send(to, Message{Kind: MessagePropose, Proposals: part})
	}
}

// SplitProposals splits proposals into batches of at most limit bytes. A proposal larger than the limit is a batch of its own.
func SplitProposals(proposals []Proposal, limit csmodel.Bytes) (parts [][]Proposal) {
	size, first := csmodel.Bytes(0), 0
	for i, p := range proposals {
		size += csmodel.Bytes(len(p.Data) + entryOverhead)
		if i > first && size > limit {
			parts = append(parts, proposals[first:i])
			first = i
			size = csmodel.Bytes(len(p.Data) + entryOverhead)
		}
	}
	if first < len(proposals) {
		parts = append(parts, proposals[first:])
	}
	return parts
}

// onPropose appends the proposals of another node, or forwards them once to the leader for a node that cannot reach it.
func (c *Core) onPropose(m Message) {
	if c.role == Leader {
		c.appendProposals(m.Proposals)
		return
	}
	direct := len(m.Proposals) > 0 && m.Proposals[0].ID.Node == m.From
	if direct && c.leader != "" && c.leader != m.From {
		c.send(c.leader, Message{Kind: MessagePropose, Proposals: m.Proposals})
	}
}

// appendProposals appends a batch. The proposing node retries a proposal that is dropped here. Rejecting it instead would be
// wrong, because an earlier copy of it may still be committed.
func (c *Core) appendProposals(proposals []Proposal) {
	if !c.lead.transferDeadline.IsZero() {
		return
	}
	var entries []Entry
	size := csmodel.Bytes(0)
	for _, p := range proposals {
		if p.Change != nil {
			c.proposeChange(p)
			continue
		}
		e := Entry{Proposal: p.ID, Data: p.Data}
		size += entrySize(e)
		if _, dup := c.lead.pendingProposals[p.ID]; dup || c.lead.uncommittedBytes+size > c.config.MaxUncommittedBytes {
			continue
		}
		c.lead.pendingProposals[p.ID] = 0
		entries = append(entries, e)
	}
	if len(entries) > 0 {
		c.appendAsLeader(entries...)
	}
}

func (c *Core) proposeChange(p Proposal) {
	if _, dup := c.lead.pendingProposals[p.ID]; dup {
		return
	}
	before := c.log.membership()
	next, err := c.applyChange(before, *p.Change)
	switch {
	case errors.Is(err, ErrChangeInProgress):
		return
	case err != nil || sameMembers(before, next):
		c.resolve(p.ID, err)
	default:
		c.appendMembership(p.ID, next)
	}
}

func (c *Core) resolve(id ProposalID, err error) {
	if id.Node == c.config.Self {
		c.emit(Resolve{ID: id, Err: err})
		return
	}
	m := Message{Kind: MessageResult, Proposals: []Proposal{{ID: id}}}
	if err != nil {
		m.Reject = true
		m.Data = []byte(err.Error())
	}
	c.send(id.Node, m)
}

func (c *Core) read(id uint64) {
	const unanswered = ^csmodel.Index(0)
	if c.role == Leader {
		c.reads[id] = unanswered
		c.queueRead(pendingRead{id: id})
		return
	}
	if c.leader == "" {
		return
	}
	c.reads[id] = unanswered
	c.send(c.leader, Message{Kind: MessageRead, Round: id})
}

func (c *Core) onRead(m Message) {
	if c.role == Leader {
		c.queueRead(pendingRead{node: m.From, incarnation: m.Incarnation, id: m.Round})
	}
}

func (c *Core) queueRead(r pendingRead) {
	for _, w := range c.lead.reads {
		if w == r {
			return
		}
	}
	c.lead.reads = append(c.lead.reads, r)
}

// answerReads answers reads with the commit index while the lease excludes a newer leader. Until the first entry of its term
// is committed, a leader does not know which earlier entries are.
func (c *Core) answerReads() {
	if len(c.lead.reads) == 0 || c.commit < c.lead.firstIndex || !c.Leading(c.now) {
		return
	}
	for _, r := range c.lead.reads {
		if r.node == "" {
			c.reads[r.id] = c.commit
			continue
		}
		c.send(r.node, Message{Kind: MessageReadReply, Round: r.id, KnownIncarnation: r.incarnation, Index: c.commit})
	}
	c.lead.reads = nil
}

// Role returns the role of this node.
func (c *Core) Role() Role { return c.role }

// ForgetRead cancels a read. No Readable follows for it.
func (c *Core) ForgetRead(id uint64) { delete(c.reads, id) }

// CanTransfer reports whether another voter is reachable that could take over the leadership.
func (c *Core) CanTransfer() bool {
	for _, p := range c.lead.peers {
		if p.voter && c.reachable(p) {
			return true
		}
	}
	return false
}

func (c *Core) startTransfer() {
	if c.role == Leader && c.lead.transferDeadline.IsZero() {
		c.lead.transferDeadline = c.now.Add(c.config.Election)
	}
}

// tryTransfer makes a voter that has the whole log campaign at once. This node first steps down for the rest of the term: the
// election that it requests may take place at any later time and ignores the lease.
func (c *Core) tryTransfer() {
	if c.lead.transferDeadline.IsZero() {
		return
	}
	if c.now.After(c.lead.transferDeadline) {
		c.lead.transferDeadline = time.Time{}
		return
	}
	for _, n := range csmodel.SortedKeys(c.lead.peers) {
		p := c.lead.peers[n]
		if !p.voter || p.match < c.log.lastIndex() || !c.reachable(p) {
			continue
		}
		term := c.state.Term
		c.electionDue = c.now.Add(c.electionTimeout())
		c.becomeFollower(term, "")
		c.send(n, Message{Kind: MessageTimeoutNow, Term: term})
		return
	}
}
