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
	Contact     time.Time // of the leader, or with the majority while this node led
	Commit      csmodel.Index
	Applied     csmodel.Index
	First       csmodel.Index // first entry that is kept
	Last        csmodel.Index
	Snapshot    csmodel.Index
	Bytes       csmodel.Bytes // of the kept entries
	Detached    bool
	Members     []MemberStatus
}

// MemberStatus describes one member. Match and Contact are known on the leader only.
type MemberStatus struct {
	Member  Member
	Match   csmodel.Index
	Contact time.Time
}

// Status returns the state at the given time.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Incarnation: c.config.Incarnation,
		Role:        c.role,
		Term:        c.state.Term,
		Leader:      c.leader,
		Leading:     c.Leading(now),
		Contact:     c.lastContact(),
		Commit:      c.commit,
		Applied:     c.applied,
		First:       c.log.base + 1,
		Last:        c.log.lastIndex(),
		Snapshot:    c.snapshot.Index,
		Bytes:       c.log.bytes,
		Detached:    c.detached,
	}
	if c.role == Leader {
		s.Contact = now
	}
	for _, m := range c.log.membership().Members {
		a := MemberStatus{Member: m}
		if p, ok := c.lead.peers[m.Node]; ok {
			a.Match, a.Contact = p.match, p.contact
		}
		if m.Node == c.config.Self && c.role == Leader {
			a.Match, a.Contact = c.log.lastIndex(), now
		}
		s.Members = append(s.Members, a)
	}
	return s
}

// LeaderSilent tells whether this node has neither heard the leader nor been one for the given time.
func (c *Core) LeaderSilent(d time.Duration) bool { return c.now.Sub(c.lastContact()) >= d }

// lastContact returns when this node last heard the leader, or was one. Elections do not use it: a former leader need not wait
// for itself.
func (c *Core) lastContact() time.Time {
	if c.led.After(c.contact) {
		return c.led
	}
	return c.contact
}
