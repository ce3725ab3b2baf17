package csraft

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// learnerHeartbeatFactor is the number of heartbeat intervals between two heartbeats to a learner. Learners get fewer of them
// because their acknowledgements do not count for the lease.
const learnerHeartbeatFactor = 3

// maxInflightEntries is the maximum number of unacknowledged entries that the leader sends to a member.
const maxInflightEntries = 4096

// trackedRounds is the number of heartbeat rounds whose send times the leader keeps.
const trackedRounds = 64

// leadership is the volatile state of a leader in its term.
type leadership struct {
	electedAt           time.Time
	firstIndex          csmodel.Index // first entry of this term; commits and reads wait until it is committed
	peers               map[csmodel.NodeID]*peer
	joins               map[csmodel.NodeID]joiner
	round               uint64
	roundSentAt         [trackedRounds]time.Time
	pendingProposals    map[ProposalID]csmodel.Index // uncommitted; zero until the entry is appended
	uncommittedBytes    csmodel.Bytes
	reads               []pendingRead
	transferDeadline    time.Time
	committedAtLastTick csmodel.Index // commit index at the last tick
}

// peer is the replication progress of another member.
type peer struct {
	incarnation      csmodel.Incarnation
	voter            bool
	volatile         bool
	match            csmodel.Index
	next             csmodel.Index
	probing          bool // next is a guess after a rejection: only one message is in flight until one is accepted
	sentCommit       csmodel.Index
	nextHeartbeat    time.Time // when the next heartbeat is due
	lastContact      time.Time // of the last message of this incarnation
	ackedRoundSentAt time.Time // send time of the newest round that the peer acknowledged
}

// joiner is a node that asked to become a member.
type joiner struct {
	incarnation csmodel.Incarnation
	volatile    bool
	at          time.Time
}

func (c *Core) becomeLeader() {
	k := c.campaign
	c.campaign, c.unfinishedElections = campaign{}, 0
	c.role = Leader
	c.leader = c.config.Self
	c.lead = leadership{
		electedAt:        c.now,
		firstIndex:       c.log.lastIndex() + 1,
		peers:            map[csmodel.NodeID]*peer{},
		joins:            map[csmodel.NodeID]joiner{},
		pendingProposals: map[ProposalID]csmodel.Index{},
	}
	c.syncPeers()
	c.startRound()
	c.emit(BecameLeader{Term: c.state.Term})
	for _, e := range c.log.slice(c.commit+1, c.log.lastIndex(), 1<<62) {
		c.trackUncommitted(e)
	}
	first := Entry{Kind: EntryNoop}
	if k.unanimous {
		data, err := EncodeMembership(k.members)
		if err == nil {
			first = Entry{Kind: EntryMembership, Data: data}
		}
	}
	c.appendAsLeader(first)
}

func (c *Core) clearLeadership() {
	c.lastLed = c.lastQuorumContact()
	c.lead = leadership{}
}

// lastQuorumContact returns the send time of the newest round that a quorum has acknowledged, but not less than the time of the
// election.
func (c *Core) lastQuorumContact() time.Time {
	from := c.leaseStart(c.now)
	if from.Before(c.lead.electedAt) {
		from = c.lead.electedAt
	}
	return from
}

func (c *Core) trackUncommitted(e Entry) {
	c.lead.uncommittedBytes += entrySize(e)
	if e.Proposal != (ProposalID{}) {
		c.lead.pendingProposals[e.Proposal] = e.Index
	}
}

// appendAsLeader assigns term, index and time to entries, sends them to the voters and saves them. It sends first so that the
// disks of all voters sync in parallel.
func (c *Core) appendAsLeader(entries ...Entry) {
	for i := range entries {
		e := &entries[i]
		e.Term = c.state.Term
		e.Index = c.log.lastIndex() + 1
		e.At = c.now.UTC().Round(0)
		if last := c.log.lastTime(); e.At.Before(last) {
			e.At = last
		}
		c.log.append(*e)
		c.trackUncommitted(*e)
	}
	c.syncPeers()
	for _, n := range csmodel.SortedKeys(c.lead.peers) {
		if p := c.lead.peers[n]; p.voter && !p.probing {
			c.replicate(n, p)
		}
	}
	c.save(entries)
}

// syncPeers updates the peers after a membership change. A voter that an uncommitted change removes stays a peer, because its
// acknowledgement may be needed to commit the change.
func (c *Core) syncPeers() {
	m := c.log.membership()
	if before, ok := c.log.uncommittedChange(c.commit); ok {
		for _, v := range before.Voters() {
			if a, known := m.find(v.Node); !known || (a.Incarnation == v.Incarnation && !a.Voter) {
				m = m.withMember(v)
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

// startRound starts a heartbeat round. Rounds are spaced so that the tracked ones cover two lease durations.
func (c *Core) startRound() {
	spacing := 2 * c.config.Lease / trackedRounds
	if c.lead.round > 0 && c.now.Before(c.lead.roundSentAt[c.lead.round%trackedRounds].Add(spacing)) {
		return
	}
	c.lead.round++
	c.lead.roundSentAt[c.lead.round%trackedRounds] = c.now
}

// replicate sends the entries that the member lacks, or a heartbeat where there are none.
func (c *Core) replicate(n csmodel.NodeID, p *peer) {
	c.sendFrom(n, p, min(c.log.lastIndex(), p.match+maxInflightEntries))
}

// sendHeartbeat sends a heartbeat without entries to a probed member. If the entries of the probe were lost, the acknowledgement
// makes the leader send them again. Sending them with each heartbeat would fill the link to a member that is only slow.
func (c *Core) sendHeartbeat(n csmodel.NodeID, p *peer) { c.sendFrom(n, p, p.next-1) }

// sendFrom sends the entries from p.next to last, or a heartbeat if there are none.
func (c *Core) sendFrom(n csmodel.NodeID, p *peer, last csmodel.Index) {
	interval := c.config.Heartbeat
	if !p.voter {
		interval *= learnerHeartbeatFactor
	}
	p.nextHeartbeat = c.now.Add(interval)
	if p.next <= c.log.base {
		p.sentCommit = c.commit
		c.offerSnapshot(n, c.lead.round)
		return
	}
	for first := true; first || p.next <= last; first = false {
		entries := c.log.slice(p.next, last, c.config.MaxBatchBytes)
		prev := p.next - 1
		term, _ := c.log.term(prev)
		p.sentCommit = c.commit
		c.send(n, Message{
			Kind: MessageAppend, Term: c.state.Term, Index: prev, LogTerm: term, Commit: c.commit, Round: c.lead.round,
			Entries: entries,
		})
		if len(entries) == 0 || p.probing {
			return
		}
		p.next += csmodel.Index(len(entries))
	}
}

// lostQuorum reports whether no quorum has acknowledged this leader for an election timeout, so that it should step down. Its
// lease expires earlier, so it makes no decision in between, and the others elect a leader only after the election timeout. A
// late tick does not count, because acknowledgements may be queued behind it.
func (c *Core) lostQuorum() bool {
	from := c.lastQuorumContact()
	return !c.now.Before(from.Add(c.config.Election)) && !c.wasLate(from)
}

func (c *Core) tickLeader() {
	if c.lostQuorum() {
		c.electionDue = c.now.Add(c.electionTimeout())
		c.becomeFollower(c.state.Term, "")
		return
	}
	c.startRound()
	for _, n := range csmodel.SortedKeys(c.lead.peers) {
		switch p := c.lead.peers[n]; {
		case p.probing && !c.now.Before(p.nextHeartbeat):
			c.sendHeartbeat(n, p)
		case !p.probing && (p.needsUpdate(&c.log, c.commit) || !c.now.Before(p.nextHeartbeat)):
			c.replicate(n, p)
		}
	}
	c.maintainMembership()
	c.transferWhenRemoved()
	c.lead.committedAtLastTick = c.commit
}

// transferWhenRemoved transfers the leadership if an entry in the log removes this node as a voter.
func (c *Core) transferWhenRemoved() {
	if !c.isVoterIn(c.log.membership()) {
		c.startTransfer()
	}
}

func (c *Core) onAppendReply(m Message) {
	if m.Term > c.state.Term {
		c.becomeFollower(m.Term, "")
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
	p.lastContact = c.now
	p.volatile = m.Volatile
	if m.Round+trackedRounds > c.lead.round && m.Round > 0 {
		if sent := c.lead.roundSentAt[m.Round%trackedRounds]; sent.After(p.ackedRoundSentAt) {
			p.ackedRoundSentAt = sent
		}
	}
	if m.Reject {
		c.onReject(m, p)
		return
	}
	p.probing = false
	if m.Index > p.match && m.Index <= c.log.lastIndex() {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	if p.next <= min(c.log.lastIndex(), p.match+maxInflightEntries) && (p.voter || p.next+maxInflightEntries/2 < c.log.lastIndex()) {
		c.replicate(m.From, p)
	}
}

// onReject continues from the member's hint. Rejections of other messages in flight are ignored. Otherwise one lost message
// would make the leader send everything after it many times.
func (c *Core) onReject(m Message, p *peer) {
	next := max(p.match+1, min(p.next, m.Index+1))
	if p.probing && next == p.next {
		return
	}
	p.probing = true
	p.next = next
	c.replicate(m.From, p)
}

// needsUpdate reports whether the leader should send to the member before the next heartbeat is due.
func (p *peer) needsUpdate(l *memoryLog, commit csmodel.Index) bool {
	entries := p.next <= min(l.lastIndex(), p.match+maxInflightEntries)
	return p.sentCommit < commit || (entries && p.next > l.base)
}

// advanceCommit raises the commit index to the highest entry that a quorum has stored durably.
func (c *Core) advanceCommit() {
	i := c.log.lastIndex()
	for _, m := range c.quorumMemberships() {
		i = min(i, quorumValue(c, m, c.log.lastIndex(), func(p *peer) csmodel.Index { return p.match }, cmp.Compare))
	}
	if i <= c.commit || i < c.lead.firstIndex {
		return
	}
	changed := false
	for _, e := range c.log.slice(c.commit+1, i, 1<<62) {
		c.lead.uncommittedBytes -= entrySize(e)
		delete(c.lead.pendingProposals, e.Proposal)
		changed = changed || e.Kind == EntryMembership
	}
	c.commit = i
	if changed {
		c.syncPeers()
	}
}

// quorumMemberships returns the memberships of which the leader needs a majority each. While the removal of a voter is
// uncommitted, these are the old and the new one: the removal must not be committed without a majority of the old voters. An
// added voter counts at once, so that the group survives the loss of the leader that added it: a majority of the new voters
// overlaps with each majority of the old ones.
func (c *Core) quorumMemberships() []Membership {
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

// quorumValue returns the highest value that a majority of the voters has reached.
func quorumValue[T any](c *Core, m Membership, own T, of func(*peer) T, compare func(T, T) int) T {
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

// leaseStart returns the send time of the newest round that a quorum has acknowledged, and now if this node is the quorum.
func (c *Core) leaseStart(now time.Time) time.Time {
	from := now
	for _, m := range c.quorumMemberships() {
		t := quorumValue(c, m, now, func(p *peer) time.Time { return p.ackedRoundSentAt }, time.Time.Compare)
		if t.Before(from) {
			from = t
		}
	}
	return from
}

// Leading reports whether this node is the leader and its lease is valid at the given time. A leader that its own log removes
// as a voter has no lease: voters that have the entry do not wait for it.
func (c *Core) Leading(now time.Time) bool {
	if c.role != Leader || c.diskFailed || !c.isVoterIn(c.log.membership()) {
		return false
	}
	return now.Before(c.leaseStart(now).Add(c.config.Lease))
}

// Leader returns the leader that this node knows, which may be itself. The result is false if it knows none.
func (c *Core) Leader() (csmodel.NodeID, bool) { return c.leader, c.leader != "" }
