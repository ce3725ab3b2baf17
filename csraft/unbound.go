package csraft

import (
	"slices"
	"time"
)

// unboundJitter spreads the campaigns of nodes that learn at the same time that nobody leads.
const unboundJitter = 50 * time.Millisecond

// noteCandidate remembers that a voter asks for votes. In the terms before the one that it asks for it does not lead, and
// never will again. Where no member is left that may hold a lease, the next election need not wait for the time of one.
func (c *Core) noteCandidate(m Message) {
	if c.unbound || m.Term <= c.state.Term {
		return
	}
	c.candidates[m.From] = m.Term
	if c.votes() && !c.boundToAny() {
		c.unbound = true
		c.deadline = c.now.Add(c.randomUpTo(unboundJitter))
	}
}

// boundToAny tells whether a member may hold a lease that counts on an acknowledgement of this node. A node that follows a
// leader has acknowledged that one last; the leaders before it had lost their leases when it was elected. A node that has
// started again does not know whom it acknowledged: one of the voters in its log, if the log has an entry of the term, because
// the leader of the term has the same log up to there, and has a lease only while it is a voter by its own log.
func (c *Core) boundToAny() bool {
	if c.leader != "" {
		return c.candidates[c.leader] <= c.state.Term
	}
	if c.log.lastTerm() != c.state.Term {
		return true
	}
	return slices.ContainsFunc(c.log.membership().Voters(), func(v Member) bool {
		return v.Node != c.config.Self && c.candidates[v.Node] <= c.state.Term
	})
}

// acknowledge binds this node to a leader again.
func (c *Core) acknowledge() {
	c.contact = c.now
	c.unbound = false
}
