package csraft

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	propertySteps = 100_000
	tickInterval  = 50 * time.Millisecond
)

// TestProperties guards against two leaders in a term or with a lease, diverging logs and lost committed entries under
// message loss, reordering, duplication, crashes, lost folders, membership changes and partitions.
func TestProperties(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed)
			for s.steps < propertySteps {
				s.advance()
				s.injectFault()
			}
			s.heal()
			t.Logf("seed %d: %d steps, %s virtual, %d entries, %d elections, %d crashes, %d changes, %d snapshots",
				seed, s.steps, s.now.Sub(time.Unix(1_000_000, 0)), s.highest, s.elections, s.crashes, s.changes, s.installs)
			if s.highest < 800 || s.elections < 20 || s.crashes < 20 || s.installs == 0 {
				s.failf("too few entries, elections, crashes or snapshots for a meaningful run")
			}
		})
	}
}

// advance moves the clock by a fifth of a tick interval, delivers due messages and then ticks each node with probability 1/5.
func (s *sim) advance() {
	s.now = s.now.Add(tickInterval / 5)
	var later []packet
	due := s.inTransit
	s.inTransit = nil
	for _, f := range due {
		if f.at.After(s.now) {
			later = append(later, f)
			continue
		}
		s.deliver(f)
	}
	s.inTransit = append(s.inTransit, later...)
	for _, n := range s.nodes {
		if n.core == nil && !s.now.Before(n.restartAt) {
			s.start(n)
		}
		if s.random.IntN(5) == 0 {
			s.step(n, Tick{})
		}
	}
}

func (s *sim) deliver(f packet) {
	m, err := DecodeMessage(f.message)
	if err != nil {
		s.failf("decode: %v", err)
	}
	for _, n := range s.nodes {
		if n.id == f.to {
			s.step(n, Receive{Message: m})
		}
	}
}

func (s *sim) injectFault() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch r := s.random.IntN(4000); {
	case r < 600:
		if s.now.Unix()%8 >= 4 {
			return // without new entries all logs are up to date, so more nodes can win an election
		}
		s.proposed++
		id := ProposalID{Node: n.id, Incarnation: n.incarnation, Sequence: uint64(s.proposed)}
		s.step(n, Propose{Proposals: []Proposal{{ID: id, Data: make([]byte, s.random.IntN(100))}}})
	case r < 610:
		s.partition()
	case r < 630:
		clear(s.blocked)
	case r < 640 && n.core != nil:
		s.crash(n, s.safeToLose(n) && s.random.IntN(2) == 0)
	case r < 660:
		s.changeMember(n)
	case r < 700:
		s.step(n, Transfer{})
	case r < 720 && n.core != nil && n.applied > n.disk.Snapshot.Index+40:
		s.step(n, Compact{Index: n.applied, Data: encodeState(n.state)})
	case r < 750:
		s.checkLogs()
	}
}

// safeToLose reports whether, without the folder of lost, every membership that a node may act on keeps a quorum of folders
// with all committed entries. Raft does not survive the loss of more folders.
func (s *sim) safeToLose(lost *simNode) bool {
	for _, n := range s.nodes {
		if n.core == nil {
			return false
		}
		for _, p := range n.core.log.members {
			if p.index >= n.core.commit || p.index == n.core.log.membershipAt(n.core.commit).index {
				if !s.keepsQuorum(p.membership, lost) {
					return false
				}
			}
		}
	}
	return true
}

func (s *sim) keepsQuorum(m Membership, lost *simNode) bool {
	intact := 0
	for _, v := range m.Voters() {
		for _, n := range s.nodes {
			complete := n.disk.Base+csmodel.Index(len(n.disk.Entries)) >= s.highest
			if n.id == v.Node && n.incarnation == v.Incarnation && n != lost && complete {
				intact++
			}
		}
	}
	return intact >= quorum(len(m.Voters()))
}

func (s *sim) partition() {
	clear(s.blocked)
	oneWay := s.random.IntN(3) == 0
	links := s.random.IntN(2) == 0
	side := map[csmodel.NodeID]bool{}
	for _, n := range s.nodes {
		side[n.id] = s.random.IntN(2) == 0
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			cut := side[a.id] != side[b.id] && (!oneWay || side[a.id])
			if links {
				cut = s.random.IntN(3) == 0
			}
			if cut {
				s.blocked[[2]csmodel.NodeID{a.id, b.id}] = true
			}
		}
	}
}

func (s *sim) changeMember(n *simNode) {
	if n.core == nil {
		return
	}
	target := s.nodes[s.random.IntN(4)]
	s.changes++
	s.proposed++
	c := Change{Member: Member{Node: target.id, Incarnation: target.incarnation, Voter: s.random.IntN(3) > 0}, Remove: s.random.IntN(6) == 0}
	s.step(n, ChangeMember{ID: ProposalID{Node: n.id, Incarnation: n.incarnation, Sequence: uint64(s.proposed)}, Change: c})
}

// heal ends all faults. All members must then reach the same state within 20 s.
func (s *sim) heal() {
	s.faulty = false
	clear(s.blocked)
	for end := s.now.Add(15 * time.Second); s.now.Before(end); {
		s.advance()
	}
	leader := s.leading()
	if leader == nil {
		s.failf("no leader after the faults ended")
	}
	for i := range 10 {
		s.step(leader, Propose{Proposals: []Proposal{{ID: ProposalID{Node: leader.id, Incarnation: leader.incarnation, Sequence: uint64(1<<30 + i)}}}})
		s.advance()
	}
	for end := s.now.Add(5 * time.Second); s.now.Before(end); {
		s.advance()
	}
	for _, a := range leader.core.log.membership().Members {
		for _, n := range s.nodes {
			if n.id == a.Node && (n.applied != leader.applied || n.state != leader.state) {
				s.failf("%s applied up to %d, the leader up to %d", n.id, n.applied, leader.applied)
			}
		}
	}
	s.checkLogs()
}

func (s *sim) leading() *simNode {
	for _, n := range s.nodes {
		if n.core != nil && n.core.Leading(s.now) {
			return n
		}
	}
	return nil
}
