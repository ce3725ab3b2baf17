package csraft

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Intervals of attempts that cost a few small messages.
const (
	retryLeast  = 150 * time.Millisecond // between two election attempts
	retryJitter = 250 * time.Millisecond
	joinEvery   = time.Second
	// blankFor is how long a node's word that it has no log is used to form the group.
	blankFor = 3 * time.Second
	hintFor  = 3 * time.Second
)

// campaign is an election in which this node is the candidate.
type campaign struct {
	kind      MessageKind // MessagePreVote or MessageVote; zero is none
	members   Membership
	unanimous bool // the first election of a group needs every configured voter
	granted   csmodel.Set[csmodel.NodeID]
	transfer  bool
}

// blank is a node that said it has no log.
type blank struct {
	incarnation csmodel.Incarnation
	at          time.Time
}

func (c *Core) tickVoter() {
	c.fetchWhenStale()
	alone := len(c.log.membership().Voters()) == 1
	c.unbound = c.unbound || alone
	if (c.now.Before(c.deadline) || c.heldUp(c.contact)) && !alone {
		return
	}
	c.startCampaign(campaign{kind: MessagePreVote, members: c.log.membership()})
}

func (c *Core) startCampaign(k campaign) {
	if c.leader != "" {
		c.follow(c.state.Term, "")
	}
	c.deadline = c.now.Add(retryLeast + c.randomUpTo(retryJitter))
	// Votes that come too early do not count: the first campaign whose votes do must not wait for a retry as well.
	if end := c.contact.Add(c.electionTimeout()); c.loyal() && end.Before(c.deadline) {
		c.deadline = end
	}
	c.role = Candidate
	k.granted = csmodel.NewSet[csmodel.NodeID]()
	if c.voter(k.members) {
		k.granted.Add(c.config.Self)
	}
	c.campaign = k
	term := c.state.Term + 1
	if k.kind == MessageVote {
		c.state = HardState{Term: term, Vote: c.config.Self, VoteLife: c.config.Incarnation}
		c.save(nil)
	}
	if c.won() {
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

// won continues with the next step where enough votes are granted.
func (c *Core) won() bool {
	voters := len(c.campaign.members.Voters())
	need := quorum(voters)
	if c.campaign.unanimous {
		need = voters
	}
	if len(c.campaign.granted) < need {
		return false
	}
	if c.campaign.kind == MessagePreVote && c.loyal() {
		return false // it asks to tell others that it does not lead; its own vote doesn't count yet
	}
	if c.campaign.kind == MessagePreVote {
		c.startCampaign(campaign{kind: MessageVote, members: c.campaign.members})
		return true
	}
	c.becomeLeader()
	return true
}

// loyal tells whether this node must not help to elect another leader: the current one may hold a lease that counts on
// an acknowledgement of this node, also one from before a restart.
func (c *Core) loyal() bool {
	if c.log.empty() {
		return false
	}
	return c.role == Leader || (!c.silent(c.config.Election) && !c.unbound)
}

func (c *Core) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.lastIndex())
}

func (c *Core) onPreVote(m Message) {
	c.noteCandidate(m)
	grant := m.Term > c.state.Term && !c.loyal() && c.upToDate(m)
	reply := Message{Kind: MessagePreVoteReply, Term: m.Term, Formed: !c.log.empty()}
	if !grant {
		reply.Reject = true
		reply.Term = c.state.Term
	}
	c.send(m.From, reply)
}

func (c *Core) onVote(m Message) {
	if !m.Transfer && c.loyal() {
		return
	}
	if m.Term > c.state.Term {
		c.follow(m.Term, "")
	}
	free := c.state.Vote == "" || (c.state.Vote == m.From && c.state.VoteLife == m.Incarnation)
	grant := m.Term == c.state.Term && c.role != Leader && free && c.upToDate(m)
	if grant && c.state.Vote == "" {
		c.state.Vote = m.From
		c.state.VoteLife = m.Incarnation
		c.save(nil)
		c.deadline = c.now.Add(c.electionTimeout())
	}
	c.send(m.From, Message{Kind: MessageVoteReply, Term: c.state.Term, Reject: !grant, Formed: !c.log.empty()})
}

func (c *Core) onVoteReply(m Message) {
	if m.Reject {
		if m.Term > c.state.Term {
			c.follow(m.Term, "")
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
	c.won()
}

func (c *Core) onTimeoutNow(m Message) {
	if m.Term != c.state.Term || m.From != c.leader || !c.votes() {
		return
	}
	c.startCampaign(campaign{kind: MessageVote, members: c.log.membership(), transfer: true})
}

// tickLearner asks other nodes for what a member would get from the leader.
func (c *Core) tickLearner() {
	if c.stale() && !c.detached && !c.now.Before(c.joinAt) {
		c.joinAt = c.now.Add(joinEvery)
		c.sendJoins()
	}
	if c.log.empty() && !c.detached && !c.config.Volatile && !c.config.Join {
		c.form()
	}
	c.fetchWhenStale()
}

func (c *Core) stale() bool {
	return c.detached || c.leader == "" || c.silent(c.config.Election)
}

func (c *Core) fetchWhenStale() {
	if c.stale() && !c.now.Before(c.fetchAt) {
		c.fetchAt = c.now.Add(c.config.Heartbeat)
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
		c.send(n, Message{Kind: MessageJoin, Formed: !c.log.empty()})
	}
}

func (c *Core) onJoin(m Message) {
	a, _ := c.log.membership().find(m.From)
	c.send(m.From, Message{
		Kind: MessageJoinReply, Term: c.state.Term, Formed: !c.log.empty(), Leader: c.leader, Known: a.Incarnation,
	})
	c.noteBlank(m)
	if c.role == Leader {
		c.lead.joins[m.From] = joiner{incarnation: m.Incarnation, volatile: m.Volatile, at: c.now}
	}
}

func (c *Core) onJoinReply(m Message) {
	c.noteBlank(m)
	c.noteHint(m)
	if c.fresh && m.Known > c.config.Incarnation {
		c.renumber(m.Known)
		return
	}
	if c.log.empty() && !m.Formed && m.Term > c.state.Term {
		// A vote of that node may have gone to a previous incarnation of this one in that term.
		c.setTerm(m.Term)
	}
}

// renumber moves past an incarnation that the group knows, which happens where the clock that numbers new folders was set
// back. A node that has been a member does not: it was replaced and must stay out.
func (c *Core) renumber(known csmodel.Incarnation) {
	c.config.Incarnation = known + 1
	c.campaign = campaign{}
	c.emit(Renumber{Incarnation: c.config.Incarnation})
}

func (c *Core) noteBlank(m Message) {
	if m.Formed || m.Volatile {
		delete(c.blanks, m.From)
		return
	}
	c.blanks[m.From] = blank{incarnation: m.Incarnation, at: c.now}
}

// form starts the first election of a group. Only the first configured voter does, and only after every configured voter
// has said that it has no log: otherwise the group exists and this node lost its folder.
func (c *Core) form() {
	voters := c.config.voters()
	waiting := c.campaign.kind != 0 && c.now.Before(c.deadline)
	if voters[0] != c.config.Self || waiting {
		return
	}
	first := Membership{}
	for _, n := range voters {
		b, ok := c.blanks[n]
		if n == c.config.Self {
			b, ok = blank{incarnation: c.config.Incarnation, at: c.now}, true
		}
		if !ok || c.now.Sub(b.at) > blankFor {
			return
		}
		first = first.with(Member{Node: n, Incarnation: b.incarnation, Voter: true})
	}
	c.startCampaign(campaign{kind: MessageVote, members: first, unanimous: true})
}

// noteHint remembers a member that knows a leader and can relay proposals to it.
func (c *Core) noteHint(m Message) {
	if m.Leader != "" && m.Leader != c.config.Self {
		c.hint = m.From
		c.hintAt = c.now
	}
}
