package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Status describes a member for dumps and metrics.
type Status struct {
	Incarnation csmodel.Incarnation
	Role        Role
	Term        csmodel.Term
	Leader      csmodel.NodeID
	Leading     bool
	LastContact time.Time // of the leader, or with the majority while this node led
	Commit      csmodel.Index
	Applied     csmodel.Index
	First       csmodel.Index // first entry that is kept
	Last        csmodel.Index
	Snapshot    csmodel.Index
	LogBytes    csmodel.Bytes // of the kept entries
	DiskFailed  bool
	Members     []MemberStatus
}

// MemberStatus describes one member. Match and Contact are known on the leader only.
type MemberStatus struct {
	Member      Member
	Match       csmodel.Index
	LastContact time.Time
}

// Status returns the state at the given time.
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

// NoLeaderContactFor reports whether this node has neither heard the leader nor been one for the given time.
func (c *Core) NoLeaderContactFor(d time.Duration) bool { return c.now.Sub(c.lastLeaderContact()) >= d }

// lastLeaderContact returns when this node last heard the leader, or was one. Elections do not use it: a former leader need not wait
// for itself.
func (c *Core) lastLeaderContact() time.Time {
	if c.lastLed.After(c.leaderContact) {
		return c.lastLed
	}
	return c.leaderContact
}
