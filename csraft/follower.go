package csraft

import (
	"cowslipstream.example/cowslipstream/csmodel"
)

func (c *Core) onAppend(m Message) {
	if m.Term < c.state.Term {
		c.send(m.From, Message{Kind: MessageAppendReply, Term: c.state.Term, Reject: true, Index: c.log.lastIndex()})
		return
	}
	c.followLeader(m)
	reply := Message{Kind: MessageAppendReply, Term: m.Term, Round: m.Round}
	last, hint, ok := c.maybeAppend(m)
	if !ok {
		reply.Reject = true
		reply.Index = hint
		c.send(m.From, reply)
		return
	}
	reply.Index = last
	c.commit = max(c.commit, min(m.Commit, last))
	c.send(m.From, reply)
}

func (c *Core) followLeader(m Message) {
	if m.Term > c.state.Term || c.leader != m.From || c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.recordLeaderContact()
	c.electionDue = c.now.Add(c.electionTimeout())
}

// maybeAppend appends the entries of a message if they connect to the log. It returns the last index known to match the
// leader's log, or else the index from which the leader should continue.
func (c *Core) maybeAppend(m Message) (last, hint csmodel.Index, ok bool) {
	prev, entries := m.Index, m.Entries
	last = prev + csmodel.Index(len(entries))
	if prev < c.commit {
		// Committed entries match by definition.
		skip := min(int(c.commit-prev), len(entries))
		entries = entries[skip:]
		if len(entries) == 0 {
			return max(last, c.commit), 0, true
		}
	} else if t, known := c.log.term(prev); !known || t != m.LogTerm {
		return 0, c.conflictHint(prev), false
	}
	for i, e := range entries {
		if t, known := c.log.term(e.Index); known && t == e.Term {
			continue
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index)
		}
		c.log.append(entries[i:]...)
		c.save(entries[i:])
		break
	}
	return last, 0, true
}

// conflictHint returns an index before the conflicting term, so that the leader skips a whole term per rejection.
func (c *Core) conflictHint(prev csmodel.Index) csmodel.Index {
	if prev > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	term, _ := c.log.term(prev)
	i := prev
	for i > c.commit+1 {
		if t, _ := c.log.term(i - 1); t != term {
			break
		}
		i--
	}
	return max(i-1, c.commit)
}

// fetch asks one member at random for committed entries, so that a node does not depend on its link to the leader.
func (c *Core) fetch() {
	var nodes []csmodel.NodeID
	for _, a := range c.log.membership().Members {
		nodes = append(nodes, a.Node)
	}
	if len(nodes) == 0 {
		nodes = c.config.voters()
	}
	to := nodes[c.random.IntN(len(nodes))]
	if to == c.config.Self {
		return
	}
	c.send(to, Message{Kind: MessageFetch, Index: c.commit})
}

func (c *Core) onFetch(m Message) {
	if m.Index < c.log.base {
		c.offerSnapshot(m.From, 0)
		return
	}
	reply := Message{Kind: MessageFetchReply, Index: m.Index, Commit: c.commit, Leader: c.leader}
	if m.Index < c.commit {
		reply.LogTerm, _ = c.log.term(m.Index)
		reply.Entries = c.log.slice(m.Index+1, c.commit, c.config.MaxBatchBytes)
	}
	c.send(m.From, reply)
}

// onFetchReply takes committed entries of a peer. They are final, so no term of a leader is needed.
func (c *Core) onFetchReply(m Message) {
	c.recordRelay(m)
	if c.role == Leader || len(m.Entries) == 0 || m.Index > c.commit {
		return
	}
	last, _, ok := c.maybeAppend(m)
	if !ok {
		return
	}
	if t := c.log.lastTerm(); t > c.state.Term {
		c.becomeFollower(t, "")
	}
	c.commit = max(c.commit, min(last, m.Commit))
	if c.commit < m.Commit {
		c.send(m.From, Message{Kind: MessageFetch, Index: c.commit})
	}
}

// onReadReply ignores answers to a previous incarnation, which may have used the same read ID.
func (c *Core) onReadReply(m Message) {
	if _, asked := c.reads[m.Round]; asked && m.KnownIncarnation == c.config.Incarnation {
		c.reads[m.Round] = m.Index
	}
}
