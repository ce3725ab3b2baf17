package csraft

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Core decides for one member of a group. It is not safe for concurrent use.
type Core struct {
	config   Config
	state    HardState
	log      memoryLog
	snapshot Snapshot
	commit   csmodel.Index
	applied  csmodel.Index

	role     Role
	leader   csmodel.NodeID
	hint     csmodel.NodeID // member that knows a leader
	hintAt   time.Time
	detached bool
	fresh    bool // started without state and has not been a member yet
	random   *rand.Rand

	now      time.Time // of the current step
	out      []Command
	contact  time.Time // of the leader; the start of the process counts, because it may have acknowledged just before
	led      time.Time // when a majority last acknowledged this node as leader, in an earlier leadership
	deadline time.Time // of the next election attempt
	tickedAt time.Time
	lateAt   time.Time // last tick that came late
	fetchAt  time.Time
	joinAt   time.Time

	campaign campaign
	// candidates holds the newest term that each voter has asked for since the start of the process.
	candidates map[csmodel.NodeID]csmodel.Term
	unbound    bool // no lease counts on an acknowledgement of this node
	blanks     map[csmodel.NodeID]blank
	lead       leadership
	install    *incoming
	reads      map[uint64]csmodel.Index // index to wait for
}

// New returns the core of a member that starts with the given durable state.
func New(c Config, r Restored) *Core {
	c = c.Defaults()
	r = r.Connected()
	core := &Core{
		config:     c,
		state:      r.State,
		snapshot:   r.Snapshot,
		commit:     r.Snapshot.Index,
		applied:    max(r.Snapshot.Index, r.Applied),
		random:     rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Self)))),
		blanks:     map[csmodel.NodeID]blank{},
		reads:      map[uint64]csmodel.Index{},
		candidates: map[csmodel.NodeID]csmodel.Term{},
	}
	core.fresh = r.State.Term == 0 && r.Snapshot.Index == 0 && len(r.Entries) == 0
	core.log.restore(r)
	core.commit = max(core.commit, min(r.Commit, core.log.lastIndex()))
	return core
}

// Connected returns the state without log entries that do not connect to the snapshot. There are some where the process
// ended between storing an installed snapshot and dropping the log that it replaces.
func (r Restored) Connected() Restored {
	connected := r.Base <= r.Snapshot.Index
	if connected && r.Base < r.Snapshot.Index {
		at := int(r.Snapshot.Index-r.Base) - 1
		connected = at < len(r.Entries) && r.Entries[at].Term == r.Snapshot.Term
	}
	if !connected {
		r.Base, r.BaseTerm, r.Entries = r.Snapshot.Index, r.Snapshot.Term, nil
	}
	if r.Snapshot.Term > r.State.Term {
		r.State = HardState{Term: r.Snapshot.Term}
	}
	return r
}

func (l *memoryLog) restore(r Restored) {
	l.base, l.baseTerm = r.Base, r.BaseTerm
	if r.Snapshot.Index > 0 {
		l.baseAt = time.Unix(0, r.Snapshot.At).UTC()
	}
	l.append(r.Entries...)
	// The snapshot knows the membership at its index even where the entry that defined it is gone.
	l.placeSnapshot(r.Snapshot)
}

func (l *memoryLog) placeSnapshot(s Snapshot) {
	if s.Index == 0 {
		return
	}
	kept := []placedMembership{{index: l.base, membership: s.Members}}
	if before := l.placed(s.Index); before.index > l.base {
		kept[0].index = before.index
	}
	for _, p := range l.members {
		if p.index > s.Index {
			kept = append(kept, p)
		}
	}
	l.members = kept
}

// Step hands in one event at the given time and returns the commands to execute in order.
func (c *Core) Step(now time.Time, e Event) []Command {
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	if c.contact.IsZero() {
		c.contact = now
		c.deadline = now.Add(c.randomUpTo(retryLeast))
	}
	c.out = nil
	switch e := e.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Message)
	case Propose:
		c.propose(e.Proposals)
	case ChangeMember:
		c.propose([]Proposal{{ID: e.ID, Change: &e.Change}})
	case Compact:
		c.compact(e)
	case Read:
		c.read(e.ID)
	case Transfer:
		c.startTransfer()
	case Detach:
		c.detach(e.Applied)
	}
	c.finish()
	return c.out
}

func (c *Core) finish() {
	if c.fresh && c.log.membership().has(c.config.Self, c.config.Incarnation) {
		c.fresh = false
	}
	if c.role == Leader {
		c.advanceCommit()
		c.tryTransfer()
		c.answerReads()
	}
	if c.applied < c.commit {
		entries := c.log.slice(c.applied+1, c.commit, 1<<62)
		c.applied = c.commit
		c.emit(Apply{Entries: entries})
	}
	for _, id := range csmodel.SortedKeys(c.reads) {
		if c.reads[id] <= c.applied {
			delete(c.reads, id)
			c.emit(Readable{ID: id})
		}
	}
}

func (c *Core) emit(o Command) { c.out = append(c.out, o) }

func (c *Core) send(to csmodel.NodeID, m Message) {
	m.From = c.config.Self
	m.Incarnation = c.config.Incarnation
	m.Volatile = c.config.Volatile
	c.emit(Send{To: to, Message: m})
}

func (c *Core) save(entries []Entry) {
	if !c.detached {
		c.emit(Save{State: c.state, Entries: entries, Commit: c.commit})
	}
}

func (c *Core) setTerm(t csmodel.Term) {
	c.state = HardState{Term: t}
	c.save(nil)
}

func (c *Core) electionTimeout() time.Duration {
	return c.config.Election + c.randomUpTo(c.config.Jitter)
}

func (c *Core) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

// heldUp tells whether this node itself was late, so that messages may wait to be read and the silence since a time proves
// nothing. It is bounded by two heartbeats after the longest election timeout, because a node that is always late has to
// take part in elections as well.
func (c *Core) heldUp(since time.Time) bool {
	recent := !c.lateAt.IsZero() && c.now.Before(c.lateAt.Add(c.config.Heartbeat))
	return recent && c.now.Before(since.Add(c.config.Election+c.config.Jitter+2*c.config.Heartbeat))
}

func (c *Core) tick() {
	if !c.tickedAt.IsZero() && c.now.Sub(c.tickedAt) > c.config.Heartbeat {
		c.lateAt = c.now
	}
	c.tickedAt = c.now
	switch {
	case c.role == Leader:
		c.tickLeader()
	case c.detached:
		c.tickLearner()
	case c.votes():
		c.tickVoter()
	default:
		c.tickLearner()
	}
	if c.role != Leader && c.leader != "" && c.silent(c.config.Election+c.config.Jitter) {
		c.follow(c.state.Term, "")
	}
}

// votes tells whether this incarnation is a voter by its own log. One that an uncommitted entry removes still is: where the
// leader is lost, it may be the only node that has the entry, and no voter with a shorter log can win its vote.
func (c *Core) votes() bool {
	if c.detached || c.config.Volatile {
		return false
	}
	before, _ := c.log.uncommittedChange(c.commit)
	return c.voter(c.log.membership()) || c.voter(before)
}

func (c *Core) voter(m Membership) bool { return m.voter(c.config.Self, c.config.Incarnation) }

func (c *Core) silent(d time.Duration) bool { return c.now.Sub(c.contact) >= d }

// follow makes the node a follower of the leader, or of none, in a term that is not older than its own.
func (c *Core) follow(t csmodel.Term, leader csmodel.NodeID) {
	changed := t > c.state.Term || c.leader != leader || c.role == Leader
	if t > c.state.Term {
		c.setTerm(t)
	}
	if c.role == Leader {
		c.dropLeadership()
	}
	c.role = Follower
	c.leader = leader
	c.campaign = campaign{}
	if changed {
		c.emit(Follow{Term: c.state.Term, Leader: leader})
	}
}

func (c *Core) detach(applied csmodel.Index) {
	c.detached = true
	c.follow(c.state.Term, "")
	if applied < c.log.base {
		return
	}
	if applied < c.log.lastIndex() {
		c.log.truncate(applied + 1)
	}
	c.commit = min(applied, c.log.lastIndex())
	c.applied = applied
}

// outdated tells whether the sender was replaced by a newer incarnation.
func (c *Core) outdated(m Message) bool {
	a, ok := c.log.membership().find(m.From)
	return ok && m.Incarnation < a.Incarnation
}

func (c *Core) receive(m Message) {
	// A question to join is answered to any incarnation: a new folder may have a number that the group has passed.
	if m.From == c.config.Self || (c.outdated(m) && m.Kind != MessageJoin) {
		return
	}
	switch m.Kind {
	case MessageFetch:
		c.onFetch(m)
	case MessageFetchReply:
		c.onFetchReply(m)
	case MessageSnapshotOffer:
		c.onSnapshotOffer(m)
	case MessageSnapshotFetch:
		c.onSnapshotFetch(m)
	case MessageSnapshotChunk:
		c.onSnapshotChunk(m)
	case MessageReadReply:
		c.onReadReply(m)
	case MessagePropose:
		c.onPropose(m)
	default:
		if !c.detached {
			c.receiveVoting(m)
		}
	}
}

// receiveVoting handles the kinds that a node with a failed disk ignores.
func (c *Core) receiveVoting(m Message) {
	switch m.Kind {
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendReply:
		c.onAppendReply(m)
	case MessagePreVote:
		c.onPreVote(m)
	case MessageVote:
		c.onVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.onVoteReply(m)
	case MessageTimeoutNow:
		c.onTimeoutNow(m)
	case MessageJoin:
		c.onJoin(m)
	case MessageJoinReply:
		c.onJoinReply(m)
	case MessageRead:
		c.onRead(m)
	default:
	}
}
