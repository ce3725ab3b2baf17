package csraft

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// learnerBeats is the number of heartbeat intervals between two heartbeats to a learner, which has no part in the lease.
const learnerBeats = 3

// window is how far the leader sends ahead of the acknowledgements of a member, in entries.
const window = 4096

// roundsKept is the number of rounds whose send times the leader remembers.
const roundsKept = 64

// leadership is the state of a leader in its term.
type leadership struct {
	since         time.Time
	first         csmodel.Index // own first entry; commits and reads wait for it
	peers         map[csmodel.NodeID]*peer
	joins         map[csmodel.NodeID]joiner
	round         uint64
	sentAt        [roundsKept]time.Time
	pending       map[ProposalID]csmodel.Index // not yet committed
	backlog       csmodel.Bytes
	reads         []waitingRead
	transferUntil time.Time
	settled       csmodel.Index // commit at the last tick
}

// peer is what the leader knows of another member.
type peer struct {
	incarnation csmodel.Incarnation
	voter       bool
	volatile    bool
	match       csmodel.Index
	next        csmodel.Index
	probe       bool // next is a guess after a rejection: one message at a time until it is accepted
	sentCommit  csmodel.Index
	beatAt      time.Time // when the next heartbeat is due
	contact     time.Time // of the last message of this incarnation
	leased      time.Time // send time of the newest round that it acknowledged
}

// joiner is a node that asked to become a member.
type joiner struct {
	incarnation csmodel.Incarnation
	volatile    bool
	at          time.Time
}

func (c *Core) becomeLeader() {
	k := c.campaign
	c.campaign = campaign{}
	c.role = Leader
	c.leader = c.config.Self
	c.lead = leadership{
		since:   c.now,
		first:   c.log.lastIndex() + 1,
		peers:   map[csmodel.NodeID]*peer{},
		joins:   map[csmodel.NodeID]joiner{},
		pending: map[ProposalID]csmodel.Index{},
	}
	c.syncPeers()
	c.nextRound()
	c.emit(Lead{Term: c.state.Term})
	for _, e := range c.log.slice(c.commit+1, c.log.lastIndex(), 1<<62) {
		c.track(e)
	}
	first := Entry{Kind: EntryNoop}
	if k.unanimous {
		data, err := EncodeMembership(k.members)
		if err == nil {
			first = Entry{Kind: EntryMembership, Data: data}
		}
	}
	c.appendOwn(first)
}

func (c *Core) dropLeadership() {
	c.led = c.acknowledgedAt()
	c.lead = leadership{}
}

// acknowledgedAt returns the send time of the newest round that a majority has acknowledged, or the start of the leadership.
func (c *Core) acknowledgedAt() time.Time {
	from := c.leaseFrom(c.now)
	if from.Before(c.lead.since) {
		from = c.lead.since
	}
	return from
}

func (c *Core) track(e Entry) {
	c.lead.backlog += entrySize(e)
	if e.Proposal != (ProposalID{}) {
		c.lead.pending[e.Proposal] = e.Index
	}
}

// appendOwn stamps entries, sends them to the voters and saves them. The sends come first so that the disks of all voters
// sync at the same time.
func (c *Core) appendOwn(entries ...Entry) {
	for i := range entries {
		e := &entries[i]
		e.Term = c.state.Term
		e.Index = c.log.lastIndex() + 1
		e.At = c.now.UTC().Round(0)
		if last := c.log.lastAt(); e.At.Before(last) {
			e.At = last
		}
		c.log.append(*e)
		c.track(*e)
	}
	c.syncPeers()
	for _, n := range csmodel.SortedKeys(c.lead.peers) {
		if p := c.lead.peers[n]; p.voter && !p.probe {
			c.replicate(n, p)
		}
	}
	c.save(entries)
}

// syncPeers follows a changed membership. A voter that an uncommitted change removes stays a peer, because its
// acknowledgement may be needed to commit the change.
func (c *Core) syncPeers() {
	m := c.log.membership()
	if before, ok := c.log.uncommittedChange(c.commit); ok {
		for _, v := range before.Voters() {
			if a, known := m.find(v.Node); !known || (a.Incarnation == v.Incarnation && !a.Voter) {
				m = m.with(v)
			}
		}
	}
	for n, p := range c.lead.peers {
		if !m.has(n, p.incarnation) {
			delete(c.lead.peers, n)
		}
	}
	for _, a := range m.Members {
		if a.Node == c.config.Self {
			continue
		}
		p, ok := c.lead.peers[a.Node]
		if !ok {
			p = &peer{incarnation: a.Incarnation, next: c.log.lastIndex() + 1, volatile: c.lead.joins[a.Node].volatile}
			c.lead.peers[a.Node] = p
		}
		p.voter = a.Voter
	}
}

// nextRound starts a round of acknowledgements. Rounds are spaced so that the remembered ones cover two leases.
func (c *Core) nextRound() {
	spacing := 2 * c.config.Lease / roundsKept
	if c.lead.round > 0 && c.now.Before(c.lead.sentAt[c.lead.round%roundsKept].Add(spacing)) {
		return
	}
	c.lead.round++
	c.lead.sentAt[c.lead.round%roundsKept] = c.now
}

// replicate sends the entries that the member lacks, or a heartbeat where there are none.
func (c *Core) replicate(n csmodel.NodeID, p *peer) {
	c.sendFrom(n, p, min(c.log.lastIndex(), p.match+window))
}

// beat sends a heartbeat. If the entries of a probe were lost, its acknowledgement lets the leader send them again: sending
// them with each heartbeat would fill the link to a member that is merely slow to answer.
func (c *Core) beat(n csmodel.NodeID, p *peer) { c.sendFrom(n, p, p.next-1) }

// sendFrom sends the entries from the next one of a member to the last given one, or a heartbeat where there are none.
func (c *Core) sendFrom(n csmodel.NodeID, p *peer, last csmodel.Index) {
	interval := c.config.Heartbeat
	if !p.voter {
		interval *= learnerBeats
	}
	p.beatAt = c.now.Add(interval)
	if p.next <= c.log.base {
		p.sentCommit = c.commit
		c.offer(n, c.lead.round)
		return
	}
	for first := true; first || p.next <= last; first = false {
		entries := c.log.slice(p.next, last, c.config.Batch)
		prev := p.next - 1
		term, _ := c.log.term(prev)
		p.sentCommit = c.commit
		c.send(n, Message{
			Kind: MessageAppend, Term: c.state.Term, Index: prev, LogTerm: term, Commit: c.commit, Round: c.lead.round,
			Entries: entries,
		})
		if len(entries) == 0 || p.probe {
			return
		}
		p.next += csmodel.Index(len(entries))
	}
}

// deserted tells whether no majority has acknowledged this leader for so long that it should follow. Its lease has ended
// before, so it decides nothing meanwhile, and the others elect a leader only after the election timeout. After a tick that
// came late the acknowledgements may wait behind the tick.
func (c *Core) deserted() bool {
	from := c.acknowledgedAt()
	return !c.now.Before(from.Add(c.config.Election)) && !c.heldUp(from)
}

func (c *Core) tickLeader() {
	if c.deserted() {
		c.deadline = c.now.Add(c.electionTimeout())
		c.follow(c.state.Term, "")
		return
	}
	c.nextRound()
	for _, n := range csmodel.SortedKeys(c.lead.peers) {
		switch p := c.lead.peers[n]; {
		case p.probe && !c.now.Before(p.beatAt):
			c.beat(n, p)
		case !p.probe && (p.news(&c.log, c.commit) || !c.now.Before(p.beatAt)):
			c.replicate(n, p)
		}
	}
	c.maintainMembers()
	c.leaveWhenRemoved()
	c.lead.settled = c.commit
}

// leaveWhenRemoved hands the leadership over where an entry in the log removes this node as a voter.
func (c *Core) leaveWhenRemoved() {
	if !c.voter(c.log.membership()) {
		c.startTransfer()
	}
}

func (c *Core) onAppendReply(m Message) {
	if m.Term > c.state.Term {
		c.follow(m.Term, "")
		return
	}
	if c.role != Leader || m.Term != c.state.Term {
		return
	}
	p, ok := c.lead.peers[m.From]
	if !ok || p.incarnation != m.Incarnation {
		if !ok || m.Incarnation > p.incarnation {
			c.lead.joins[m.From] = joiner{incarnation: m.Incarnation, volatile: m.Volatile, at: c.now}
		}
		return
	}
	p.contact = c.now
	p.volatile = m.Volatile
	if m.Round+roundsKept > c.lead.round && m.Round > 0 {
		if sent := c.lead.sentAt[m.Round%roundsKept]; sent.After(p.leased) {
			p.leased = sent
		}
	}
	if m.Reject {
		c.onReject(m, p)
		return
	}
	p.probe = false
	if m.Index > p.match && m.Index <= c.log.lastIndex() {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	if p.next <= min(c.log.lastIndex(), p.match+window) && (p.voter || p.next+window/2 < c.log.lastIndex()) {
		c.replicate(m.From, p)
	}
}

// onReject continues from the hint of the member. Further rejections of messages that were on the way are ignored, so that
// a lost message is not answered by sending everything behind it many times.
func (c *Core) onReject(m Message, p *peer) {
	next := max(p.match+1, min(p.next, m.Index+1))
	if p.probe && next == p.next {
		return
	}
	p.probe = true
	p.next = next
	c.replicate(m.From, p)
}

// news tells whether the member should hear from the leader before its next heartbeat.
func (p *peer) news(l *memoryLog, commit csmodel.Index) bool {
	entries := p.next <= min(l.lastIndex(), p.match+window)
	return p.sentCommit < commit || (entries && p.next > l.base)
}

// advanceCommit commits what a majority has synced.
func (c *Core) advanceCommit() {
	i := c.log.lastIndex()
	for _, m := range c.deciding() {
		i = min(i, majority(c, m, c.log.lastIndex(), func(p *peer) csmodel.Index { return p.match }, cmp.Compare))
	}
	if i <= c.commit || i < c.lead.first {
		return
	}
	changed := false
	for _, e := range c.log.slice(c.commit+1, i, 1<<62) {
		c.lead.backlog -= entrySize(e)
		delete(c.lead.pending, e.Proposal)
		changed = changed || e.Kind == EntryMembership
	}
	c.commit = i
	if changed {
		c.syncPeers()
	}
}

// deciding returns the memberships whose majorities the leader needs. While the removal of a voter is not committed, both
// the old and the new voters must agree: a leader must not commit the removal of a voter that is needed for the quorum it
// removes. An added voter counts at once, so that the group survives the loss of the leader that added it: a majority of
// the new voters overlaps with each majority of the old ones.
func (c *Core) deciding() []Membership {
	after := c.log.membership()
	out := []Membership{after}
	if before, ok := c.log.uncommittedChange(c.commit); ok && removesVoter(before, after) {
		out = append(out, before)
	}
	return out
}

func removesVoter(before, after Membership) bool {
	return slices.ContainsFunc(before.Voters(), func(v Member) bool { return !after.voter(v.Node, v.Incarnation) })
}

// majority returns the highest value that a majority of the voters has reached.
func majority[T any](c *Core, m Membership, own T, of func(*peer) T, compare func(T, T) int) T {
	var values []T
	for _, v := range m.Voters() {
		var value T
		if p := c.lead.peers[v.Node]; v.Node == c.config.Self {
			value = own
		} else if p != nil && p.incarnation == v.Incarnation {
			value = of(p)
		}
		values = append(values, value)
	}
	if len(values) == 0 {
		var none T
		return none
	}
	slices.SortFunc(values, compare)
	return values[len(values)-quorum(len(values))]
}

// leaseFrom returns the send time of the newest round that a majority has acknowledged.
func (c *Core) leaseFrom(now time.Time) time.Time {
	from := now
	for _, m := range c.deciding() {
		t := majority(c, m, now, func(p *peer) time.Time { return p.leased }, time.Time.Compare)
		if t.Before(from) {
			from = t
		}
	}
	return from
}

// Leading tells whether this node is the leader and its lease is valid at the given time. One that its own log removes as a
// voter has none: voters that have the entry do not count on it.
func (c *Core) Leading(now time.Time) bool {
	if c.role != Leader || c.detached || !c.voter(c.log.membership()) {
		return false
	}
	return now.Before(c.leaseFrom(now).Add(c.config.Lease))
}

// Leader returns the leader that this node follows, or itself.
func (c *Core) Leader() (csmodel.NodeID, bool) { return c.leader, c.leader != "" }
