package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Intervals of retries. Each attempt costs a few small messages.
const (
	minElectionRetry    = 150 * time.Millisecond // between two election attempts of a node
	electionRetryJitter = 250 * time.Millisecond
	// maxElectionDoublings limits how much longer than the first one an election may take.
	maxElectionDoublings = 3
	// maxSyncTime limits how much a disk that has stalled delays elections. After a stall, the recorded time falls by an eighth with
	// each save.
	maxSyncTime   = time.Second
	syncTimeDecay = 8
	joinInterval  = time.Second
	// emptyNodeValidity is how long a node's report of an empty log may be used to bootstrap the group.
	emptyNodeValidity = 3 * time.Second
	relayValidity     = 3 * time.Second
)

// campaign is an election in which this node is the candidate.
type campaign struct {
	kind      MessageKind // MessagePreVote or MessageVote; zero is none
	members   Membership
	unanimous bool // the first election of a group needs every configured voter
	granted   csmodel.Set[csmodel.NodeID]
	transfer  bool
}

// emptyNode is a node that reported an empty log.
type emptyNode struct {
	incarnation csmodel.Incarnation
	at          time.Time
}

func (c *Core) tickVoter() {
	c.fetchWithoutLeader()
	alone := len(c.log.membership().Voters()) == 1
	c.noLease = c.noLease || alone
	if (c.now.Before(c.electionDue) || c.wasLate(c.leaderContact)) && !alone {
		return
	}
	c.startCampaign(campaign{kind: MessagePreVote, members: c.log.membership()})
}

func (c *Core) startCampaign(k campaign) {
	if c.leader != "" {
		c.becomeFollower(c.state.Term, "")
	}
	if c.role == Candidate && c.campaign.kind == MessageVote {
		c.unfinishedElections++
	}
	c.electionDue = c.now.Add(c.electionRetry(k.kind))
	// Votes granted before the lease expires do not count. The retry interval must not delay the first campaign after that.
	if end := c.leaderContact.Add(c.electionTimeout()); c.inLease() && end.Before(c.electionDue) {
		c.electionDue = end
	}
	c.role = Candidate
	k.granted = csmodel.NewSet[csmodel.NodeID]()
	if c.isVoterIn(k.members) {
		k.granted.Add(c.config.Self)
	}
	c.campaign = k
	term := c.state.Term + 1
	if k.kind == MessageVote {
		c.state = HardState{Term: term, Vote: c.config.Self, VoteIncarnation: c.config.Incarnation}
		c.save(nil)
	}
	if c.countVotes() {
		return
	}
	for _, v := range k.members.Voters() {
		if v.Node == c.config.Self {
			continue
		}
		c.send(v.Node, Message{
			Kind: k.kind, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: k.transfer,
		})
	}
}

// electionRetry returns how long a campaign may take before the next one replaces it. An election takes two syncs of disks, so on
// slow disks a fixed time would replace each election before its votes arrive. The time for votes includes the syncs, and doubles with
// each election that did not finish, because the disks of the others may be slower.
func (c *Core) electionRetry(kind MessageKind) time.Duration {
	if kind != MessageVote {
		return minElectionRetry + c.randomUpTo(electionRetryJitter)
	}
	retry := minElectionRetry + 2*c.syncTime + c.randomUpTo(electionRetryJitter+c.syncTime)
	return retry << min(c.unfinishedElections, maxElectionDoublings)
}

// countVotes starts the election after a successful pre-vote, or becomes leader after a successful election. It reports whether
// enough votes were granted.
func (c *Core) countVotes() bool {
	voters := len(c.campaign.members.Voters())
	need := quorum(voters)
	if c.campaign.unanimous {
		need = voters
	}
	if len(c.campaign.granted) < need {
		return false
	}
	if c.campaign.kind == MessagePreVote && c.inLease() {
		return false // the pre-vote only tells the others that this node does not lead; its own vote does not count yet
	}
	if c.campaign.kind == MessagePreVote {
		c.startCampaign(campaign{kind: MessageVote, members: c.campaign.members})
		return true
	}
	c.becomeLeader()
	return true
}

// inLease reports whether this node must not vote for another leader: the current one may hold a lease that depends on an
// acknowledgement by this node, possibly from before a restart.
func (c *Core) inLease() bool {
	if c.log.empty() {
		return false
	}
	return c.role == Leader || (!c.noContactFor(c.config.Election) && !c.noLease)
}

func (c *Core) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.lastIndex())
}

func (c *Core) onPreVote(m Message) {
	c.recordCandidate(m)
	grant := m.Term > c.state.Term && !c.inLease() && c.upToDate(m)
	reply := Message{Kind: MessagePreVoteReply, Term: m.Term, HasLog: !c.log.empty()}
	if !grant {
		reply.Reject = true
		reply.Term = c.state.Term
	}
	c.send(m.From, reply)
}

func (c *Core) onVote(m Message) {
	if !m.Transfer && c.inLease() {
		return
	}
	if m.Term > c.state.Term {
		c.becomeFollower(m.Term, "")
	}
	canVote := c.state.Vote == "" || (c.state.Vote == m.From && c.state.VoteIncarnation == m.Incarnation)
	grant := m.Term == c.state.Term && c.role != Leader && canVote && c.upToDate(m)
	if grant && c.state.Vote == "" {
		c.state.Vote = m.From
		c.state.VoteIncarnation = m.Incarnation
		c.save(nil)
		c.electionDue = c.now.Add(c.electionTimeout())
	}
	c.send(m.From, Message{Kind: MessageVoteReply, Term: c.state.Term, Reject: !grant, HasLog: !c.log.empty()})
}

func (c *Core) onVoteReply(m Message) {
	if m.Reject {
		if m.Term > c.state.Term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	k := c.campaign
	pre := m.Kind == MessagePreVoteReply
	valid := c.role == Candidate && k.members.voter(m.From, m.Incarnation) && (k.kind == MessagePreVote) == pre
	if !valid || (pre && m.Term != c.state.Term+1) || (!pre && m.Term != c.state.Term) {
		return
	}
	k.granted.Add(m.From)
	c.countVotes()
}

func (c *Core) onTimeoutNow(m Message) {
	if m.Term != c.state.Term || m.From != c.leader || !c.isVoter() {
		return
	}
	c.startCampaign(campaign{kind: MessageVote, members: c.log.membership(), transfer: true})
}

// tickLearner sends join and fetch requests to other nodes while there is no contact with a leader, and tries to bootstrap the
// group if the log is empty.
func (c *Core) tickLearner() {
	if c.lacksLeaderContact() && !c.diskFailed && !c.now.Before(c.nextJoin) {
		c.nextJoin = c.now.Add(joinInterval)
		c.sendJoins()
	}
	if c.log.empty() && !c.diskFailed && !c.config.Volatile && !c.config.Join {
		c.bootstrap()
	}
	c.fetchWithoutLeader()
}

func (c *Core) lacksLeaderContact() bool {
	return c.diskFailed || c.leader == "" || c.noContactFor(c.config.Election)
}

func (c *Core) fetchWithoutLeader() {
	if c.lacksLeaderContact() && !c.now.Before(c.nextFetch) {
		c.nextFetch = c.now.Add(c.config.Heartbeat)
		c.fetch()
	}
}

func (c *Core) sendJoins() {
	to := csmodel.NewSet(c.config.voters()...)
	for _, v := range c.log.membership().Voters() {
		to.Add(v.Node)
	}
	if n, ok := c.route(); ok {
		to.Add(n)
	}
	to.Delete(c.config.Self)
	for _, n := range csmodel.SortedKeys(to) {
		c.send(n, Message{Kind: MessageJoin, HasLog: !c.log.empty()})
	}
}

func (c *Core) onJoin(m Message) {
	a, _ := c.log.membership().find(m.From)
	c.send(m.From, Message{
		Kind: MessageJoinReply, Term: c.state.Term, HasLog: !c.log.empty(), Leader: c.leader, KnownIncarnation: a.Incarnation,
	})
	c.recordEmptyNode(m)
	if c.role == Leader {
		c.lead.joins[m.From] = joiner{incarnation: m.Incarnation, volatile: m.Volatile, at: c.now}
	}
}

func (c *Core) onJoinReply(m Message) {
	c.recordEmptyNode(m)
	c.recordRelay(m)
	if c.neverMember && m.KnownIncarnation > c.config.Incarnation {
		c.raiseIncarnation(m.KnownIncarnation)
		return
	}
	if c.log.empty() && !m.HasLog && m.Term > c.state.Term {
		// A vote of that node may have gone to a previous incarnation of this one in that term.
		c.setTerm(m.Term)
	}
}

// raiseIncarnation adopts an incarnation above one that the group knows. Incarnations come from the clock when a folder is
// created, so a new one can be lower if the clock was set back. A node that has been a member keeps its incarnation: it was
// replaced and must not return.
func (c *Core) raiseIncarnation(known csmodel.Incarnation) {
	c.config.Incarnation = known + 1
	c.campaign = campaign{}
	c.emit(RaiseIncarnation{Incarnation: c.config.Incarnation})
}

func (c *Core) recordEmptyNode(m Message) {
	if m.HasLog || m.Volatile {
		delete(c.emptyNodes, m.From)
		return
	}
	c.emptyNodes[m.From] = emptyNode{incarnation: m.Incarnation, at: c.now}
}

// bootstrap starts the first election of a group. Only the first configured voter does, and only after every configured voter
// reported an empty log: otherwise the group may exist and this node may have lost its folder.
func (c *Core) bootstrap() {
	voters := c.config.voters()
	waiting := c.campaign.kind != 0 && c.now.Before(c.electionDue)
	if voters[0] != c.config.Self || waiting {
		return
	}
	first := Membership{}
	for _, n := range voters {
		b, ok := c.emptyNodes[n]
		if n == c.config.Self {
			b, ok = emptyNode{incarnation: c.config.Incarnation, at: c.now}, true
		}
		if !ok || c.now.Sub(b.at) > emptyNodeValidity {
			return
		}
		first = first.withMember(Member{Node: n, Incarnation: b.incarnation, Voter: true})
	}
	c.startCampaign(campaign{kind: MessageVote, members: first, unanimous: true})
}

// recordRelay remembers a member that has a leader and can forward proposals to it.
func (c *Core) recordRelay(m Message) {
	if m.Leader != "" && m.Leader != c.config.Self {
		c.relay = m.From
		c.relayAt = c.now
	}
}
