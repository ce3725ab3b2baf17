package csraft

import (
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// minVotersToLoseOne is the smallest number of voters that keeps a quorum after the loss of one.
const minVotersToLoseOne = 3

// reachable reports whether the member's last message is more recent than the lease duration.
func (c *Core) reachable(p *peer) bool {
	return p != nil && !p.lastContact.IsZero() && c.now.Sub(p.lastContact) < c.config.Lease
}

// caughtUp reports whether the member has every entry that was committed at the last tick. Entries committed since are not
// required: under load there are always some, and requiring them delayed the promotion of a replaced voter by up to 30 s.
func (c *Core) caughtUp(p *peer) bool {
	return c.reachable(p) && c.lead.committedAtLastTick >= c.lead.firstIndex && p.match >= c.lead.committedAtLastTick
}

// applyChange returns the membership after a change that an operator requested, or the reason for which it is refused.
func (c *Core) applyChange(m Membership, o Change) (Membership, error) {
	old, known := m.find(o.Member.Node)
	if o.Member.Incarnation == 0 {
		o.Member.Incarnation = old.Incarnation
	}
	var next Membership
	switch {
	case o.Remove && !known:
		return m, nil
	case o.Remove:
		next = m.withoutMember(old.Node).exclude(old)
	case known && old.Voter && !o.Member.Voter:
		next = m.withMember(o.Member).exclude(o.Member)
	default:
		next = m.withMember(o.Member).clearExclusion(o.Member.Node)
	}
	if sameMembers(m, next) {
		return m, nil
	}
	if c.reducesFaultTolerance(m, next) {
		return next, ErrUnsafeChange
	}
	return next, c.validateChange(m, next)
}

// reducesFaultTolerance reports whether the change removes a reachable voter and leaves a group that cannot lose another one.
// The operator has to add a replacement first.
func (c *Core) reducesFaultTolerance(before, next Membership) bool {
	remaining := len(next.Voters())
	if remaining >= min(minVotersToLoseOne, len(c.config.voters())) || remaining >= len(before.Voters()) {
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

// validateChange returns an error if the change is unsafe or would leave the group without a quorum of reachable voters.
func (c *Core) validateChange(before, next Membership) error {
	_, pending := c.log.uncommittedChange(c.commit)
	self := next.voter(c.config.Self, c.config.Incarnation)
	switch {
	case pending || c.commit < c.lead.firstIndex || !c.Leading(c.now):
		return ErrChangeInProgress
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
	c.appendAsLeader(Entry{Kind: EntryMembership, Proposal: id, Data: data})
}

// maintainMembership adds nodes that asked to join, replaces incarnations that lost their folder, promotes caught-up learners
// and removes lost voters and learners without contact. One entry changes at most one voter.
func (c *Core) maintainMembership() {
	before := c.log.membership()
	next := before
	for _, n := range csmodel.SortedKeys(c.lead.joins) {
		next = c.addLearner(before, next, n)
	}
	for _, a := range before.Members {
		p := c.lead.peers[a.Node]
		if p == nil || a.Voter || p.incarnation != a.Incarnation {
			continue
		}
		last := p.lastContact
		if last.IsZero() {
			last = c.lead.electedAt
		}
		if c.now.Sub(last) >= c.config.LearnerTimeout {
			next = next.withoutMember(a.Node)
		}
	}
	if voterChanges(before, next) == 0 {
		next = c.promoteLearner(before, next)
	}
	if voterChanges(before, next) == 0 {
		next = c.removeLostVoter(before, next)
	}
	if sameMembers(before, next) || c.validateChange(before, next) != nil {
		return
	}
	c.appendMembership(ProposalID{}, next)
}

func (c *Core) addLearner(before, next Membership, n csmodel.NodeID) Membership {
	j := c.lead.joins[n]
	a := Member{Node: n, Incarnation: j.incarnation}
	old, known := before.find(n)
	if c.now.Sub(j.at) > emptyNodeValidity || (known && old.Incarnation >= a.Incarnation) || before.excluded(a) {
		delete(c.lead.joins, n)
		return next
	}
	added := next.withMember(a)
	if known && old.Voter && (voterChanges(before, added) > 1 || c.validateChange(before, added) != nil) {
		return next
	}
	return added
}

func (c *Core) promoteLearner(before, next Membership) Membership {
	configured := c.config.voters()
	for _, a := range before.Members {
		p := c.lead.peers[a.Node]
		wanted := slices.Contains(configured, a.Node) || c.hasTooFewVoters(before)
		if a.Voter || p == nil || p.volatile || before.excluded(a) || !wanted {
			continue
		}
		promoted := next.withMember(Member{Node: a.Node, Incarnation: a.Incarnation, Voter: true})
		if next.has(a.Node, a.Incarnation) && c.validateChange(before, promoted) == nil {
			return promoted
		}
	}
	return next
}

// hasTooFewVoters reports whether fewer than Config.Voters voters remain without the lost ones.
func (c *Core) hasTooFewVoters(m Membership) bool {
	inContact := 0
	for _, v := range m.Voters() {
		if !c.isLost(v) {
			inContact++
		}
	}
	return inContact < c.config.Voters
}

// isLost reports whether the leader has had no contact with a voter for VoterReplaceTimeout, so that a learner replaces it.
func (c *Core) isLost(v Member) bool {
	p := c.lead.peers[v.Node]
	if v.Node == c.config.Self || p == nil {
		return false
	}
	last := p.lastContact
	if last.Before(c.lead.electedAt) {
		last = c.lead.electedAt
	}
	return c.now.Sub(last) >= c.config.VoterReplaceTimeout
}

// removeLostVoter removes a lost voter once its replacement is a voter.
func (c *Core) removeLostVoter(before, next Membership) Membership {
	voters := before.Voters()
	if c.config.Voters == 0 || len(voters) <= c.config.Voters {
		return next
	}
	for _, v := range voters {
		if c.isLost(v) {
			return next.withoutMember(v.Node)
		}
	}
	return next
}

func sameMembers(a, b Membership) bool {
	return slices.Equal(a.Members, b.Members) && slices.Equal(a.Excluded, b.Excluded)
}
