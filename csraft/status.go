package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Status is the state of a member for diagnostics and metrics.
type Status struct {
	Incarnation csmodel.Incarnation
	Role        Role
	Term        csmodel.Term
	Leader      csmodel.NodeID
	Leading     bool
	LastContact time.Time // with the leader, or with a quorum while this node led
	Commit      csmodel.Index
	Applied     csmodel.Index
	First       csmodel.Index // first entry in the log
	Last        csmodel.Index
	Snapshot    csmodel.Index
	LogBytes    csmodel.Bytes // memory of the entries in the log
	DiskFailed  bool
	Members     []MemberStatus
}

// MemberStatus is the replication progress of one member. Match and LastContact are set on the leader only.
type MemberStatus struct {
	Member      Member
	Match       csmodel.Index
	LastContact time.Time
}

// Status returns the state of this member at the given time.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Incarnation: c.config.Incarnation,
		Role:        c.role,
		Term:        c.state.Term,
		Leader:      c.leader,
		Leading:     c.Leading(now),
		LastContact: c.lastLeaderContact(),
		Commit:      c.commit,
		Applied:     c.applied,
		First:       c.log.base + 1,
		Last:        c.log.lastIndex(),
		Snapshot:    c.snapshot.Index,
		LogBytes:    c.log.bytes,
		DiskFailed:  c.diskFailed,
	}
	if c.role == Leader {
		s.LastContact = now
	}
	for _, m := range c.log.membership().Members {
		a := MemberStatus{Member: m}
		if p, ok := c.lead.peers[m.Node]; ok {
			a.Match, a.LastContact = p.match, p.lastContact
		}
		if m.Node == c.config.Self && c.role == Leader {
			a.Match, a.LastContact = c.log.lastIndex(), now
		}
		s.Members = append(s.Members, a)
	}
	return s
}

// NoLeaderContactFor reports whether this node has neither heard from a leader nor been one for at least d.
func (c *Core) NoLeaderContactFor(d time.Duration) bool { return c.now.Sub(c.lastLeaderContact()) >= d }

// lastLeaderContact returns the time at which this node last heard from a leader or was one. Elections do not use it, because a
// former leader need not wait for its own lease.
func (c *Core) lastLeaderContact() time.Time {
	if c.lastLed.After(c.leaderContact) {
		return c.lastLed
	}
	return c.leaderContact
}
