package csraft

import (
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// leastVoters is the size of a group that can lose one voter.
const leastVoters = 3

// reachable tells whether the member answered within the lease.
func (c *Core) reachable(p *peer) bool {
	return p != nil && !p.contact.IsZero() && c.now.Sub(p.contact) < c.config.Lease
}

// caughtUp tells whether the member has every entry that was committed at the last tick. Under load there is always one
// that was committed since, and waiting for a moment without one delayed the promotion of a replaced voter by up to 30 s.
func (c *Core) caughtUp(p *peer) bool {
	return c.reachable(p) && c.lead.settled >= c.lead.first && p.match >= c.lead.settled
}

// changed returns the membership after a change by an operator.
func (c *Core) changed(m Membership, o Change) (Membership, error) {
	old, known := m.find(o.Member.Node)
	if o.Member.Incarnation == 0 {
		o.Member.Incarnation = old.Incarnation
	}
	var next Membership
	switch {
	case o.Remove && !known:
		return m, nil
	case o.Remove:
		next = m.without(old.Node).exclude(old)
	case known && old.Voter && !o.Member.Voter:
		next = m.with(o.Member).exclude(o.Member)
	default:
		next = m.with(o.Member).readmit(o.Member.Node)
	}
	if sameMembers(m, next) {
		return m, nil
	}
	if c.weakens(m, next) {
		return next, ErrUnsafeChange
	}
	return next, c.checkChange(m, next)
}

// weakens tells whether the change takes a working voter out of a group that then cannot lose one more. A replacement is
// added first.
func (c *Core) weakens(before, next Membership) bool {
	left := len(next.Voters())
	if left >= min(leastVoters, len(c.config.voters())) || left >= len(before.Voters()) {
		return false
	}
	for _, v := range before.Voters() {
		p := c.lead.peers[v.Node]
		if !next.voter(v.Node, v.Incarnation) && p != nil && p.incarnation == v.Incarnation && c.reachable(p) {
			return true
		}
	}
	return false
}

// checkChange refuses a change that is unsafe or would leave the group without a quorum of reachable voters.
func (c *Core) checkChange(before, next Membership) error {
	_, pending := c.log.uncommittedChange(c.commit)
	self := next.voter(c.config.Self, c.config.Incarnation)
	switch {
	case pending || c.commit < c.lead.first || !c.Leading(c.now):
		return ErrChange
	case !self:
		return ErrLeaderChange
	case voterChanges(before, next) > 1:
		return ErrUnsafeChange
	case c.reachableVoters(next) < quorum(len(next.Voters())), c.reachableVoters(before) < quorum(len(before.Voters())):
		return ErrUnsafeChange
	}
	for _, v := range next.Voters() {
		if before.voter(v.Node, v.Incarnation) {
			continue
		}
		p := c.lead.peers[v.Node]
		if p == nil || p.incarnation != v.Incarnation || p.volatile || !c.caughtUp(p) {
			return ErrNotCaughtUp
		}
	}
	return nil
}

func (c *Core) reachableVoters(m Membership) int {
	n := 0
	for _, v := range m.Voters() {
		p := c.lead.peers[v.Node]
		if v.Node == c.config.Self || (p != nil && p.incarnation == v.Incarnation && c.reachable(p)) {
			n++
		}
	}
	return n
}

func (c *Core) appendMembership(id ProposalID, m Membership) {
	data, err := EncodeMembership(m)
	if err != nil {
		c.resolve(id, err)
		return
	}
	c.appendOwn(Entry{Kind: EntryMembership, Proposal: id, Data: data})
}

// maintainMembers adds nodes that asked to join, replaces incarnations that lost their folder, promotes configured voters
// that are caught up and removes learners that are gone. One entry changes at most one voter.
func (c *Core) maintainMembers() {
	before := c.log.membership()
	next := before
	for _, n := range csmodel.SortedKeys(c.lead.joins) {
		next = c.admit(before, next, n)
	}
	for _, a := range before.Members {
		p := c.lead.peers[a.Node]
		if p == nil || a.Voter || p.incarnation != a.Incarnation {
			continue
		}
		last := p.contact
		if last.IsZero() {
			last = c.lead.since
		}
		if c.now.Sub(last) >= c.config.Forget {
			next = next.without(a.Node)
		}
	}
	if voterChanges(before, next) == 0 {
		next = c.promote(before, next)
	}
	if voterChanges(before, next) == 0 {
		next = c.retire(before, next)
	}
	if sameMembers(before, next) || c.checkChange(before, next) != nil {
		return
	}
	c.appendMembership(ProposalID{}, next)
}

func (c *Core) admit(before, next Membership, n csmodel.NodeID) Membership {
	j := c.lead.joins[n]
	a := Member{Node: n, Incarnation: j.incarnation}
	old, known := before.find(n)
	if c.now.Sub(j.at) > blankFor || (known && old.Incarnation >= a.Incarnation) || before.excluded(a) {
		delete(c.lead.joins, n)
		return next
	}
	added := next.with(a)
	if known && old.Voter && (voterChanges(before, added) > 1 || c.checkChange(before, added) != nil) {
		return next
	}
	return added
}

func (c *Core) promote(before, next Membership) Membership {
	configured := c.config.voters()
	for _, a := range before.Members {
		p := c.lead.peers[a.Node]
		wanted := slices.Contains(configured, a.Node) || c.short(before)
		if a.Voter || p == nil || p.volatile || before.excluded(a) || !wanted {
			continue
		}
		promoted := next.with(Member{Node: a.Node, Incarnation: a.Incarnation, Voter: true})
		if next.has(a.Node, a.Incarnation) && c.checkChange(before, promoted) == nil {
			return promoted
		}
	}
	return next
}

// short tells whether fewer than the wanted number of voters were heard lately.
func (c *Core) short(m Membership) bool {
	heard := 0
	for _, v := range m.Voters() {
		if !c.lost(v) {
			heard++
		}
	}
	return heard < c.config.Voters
}

// lost tells whether a voter was silent for so long that another node takes its place.
func (c *Core) lost(v Member) bool {
	p := c.lead.peers[v.Node]
	if v.Node == c.config.Self || p == nil {
		return false
	}
	last := p.contact
	if last.Before(c.lead.since) {
		last = c.lead.since
	}
	return c.now.Sub(last) >= c.config.Replace
}

// retire removes a lost voter once its replacement votes.
func (c *Core) retire(before, next Membership) Membership {
	voters := before.Voters()
	if c.config.Voters == 0 || len(voters) <= c.config.Voters {
		return next
	}
	for _, v := range voters {
		if c.lost(v) {
			return next.without(v.Node)
		}
	}
	return next
}

func sameMembers(a, b Membership) bool {
	return slices.Equal(a.Members, b.Members) && slices.Equal(a.Excluded, b.Excluded)
}
