package csraft

import (
	"slices"
	"time"
)

// earlyElectionJitter is the maximum random delay of an early campaign. It avoids split votes among nodes that detect the loss
// of the leader at the same time.
const earlyElectionJitter = 50 * time.Millisecond

// recordCandidate records that a voter requests votes. A candidate no longer leads in any earlier term and never will again.
// Once no member is left that may hold a lease, the next election does not wait for a lease to expire.
func (c *Core) recordCandidate(m Message) {
	if c.noLease || m.Term <= c.state.Term {
		return
	}
	c.candidates[m.From] = m.Term
	if c.isVoter() && !c.leaseMayExist() {
		c.noLease = true
		c.electionDue = c.now.Add(c.randomUpTo(earlyElectionJitter))
	}
}

// leaseMayExist reports whether a member may hold a lease that depends on an acknowledgement by this node. A follower last
// acknowledged its leader; the leases of earlier leaders had expired when that one was elected. A restarted node does not know
// whom it acknowledged. If its log has an entry of the current term, it was one of the voters in the log: the leader of the
// term has the same log up to that entry, and holds a lease only while it is a voter according to its own log.
func (c *Core) leaseMayExist() bool {
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

// recordLeaderContact records an acknowledgement of the leader, whose lease may depend on it.
func (c *Core) recordLeaderContact() {
	c.leaderContact = c.now
	c.noLease = false
	c.unfinishedElections = 0
}
