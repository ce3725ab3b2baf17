package csraft

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Core is the Raft state machine of one member of a group. It is not safe for concurrent use.
type Core struct {
	config   Config
	state    HardState
	log      memoryLog
	snapshot Snapshot
	commit   csmodel.Index
	applied  csmodel.Index

	role        Role
	leader      csmodel.NodeID
	relay       csmodel.NodeID // member that has a leader and forwards proposals to it
	relayAt     time.Time
	diskFailed  bool
	neverMember bool // started with an empty folder and has not been a member since
	random      *rand.Rand

	now           time.Time // time of the current Step call
	commands      []Command
	leaderContact time.Time // last contact with the leader; initially the process start, as an acknowledgement may precede a restart
	lastLed       time.Time // when a quorum last acknowledged this node as leader, in an earlier term
	electionDue   time.Time // time of the next election attempt
	lastTick      time.Time
	lastLateTick  time.Time // last tick that came more than one heartbeat interval after the previous one
	nextFetch     time.Time
	nextJoin      time.Time

	campaign campaign
	// unfinishedElections is the number of elections of this node since the last leader whose votes did not all arrive in time,
	// although a majority had granted the pre-vote.
	unfinishedElections int
	syncTime            time.Duration // that the disk of this node lately needed to save, at most maxSyncTime
	// candidates holds the newest term in which each voter has requested votes since the process started.
	candidates map[csmodel.NodeID]csmodel.Term
	noLease    bool // no leader can hold a lease that depends on an acknowledgement by this node
	emptyNodes map[csmodel.NodeID]emptyNode
	lead       leadership
	incoming   *incomingSnapshot
	reads      map[uint64]csmodel.Index // read ID to the index that must be applied before the answer
}

// New returns the core of a member that starts from the given durable state. The first call of Step
// sets its clock.
func New(c Config, r Restored) *Core {
	c = c.Defaults()
	r = r.WithConsistentLog()
	core := &Core{
		config:     c,
		state:      r.State,
		snapshot:   r.Snapshot,
		commit:     r.Snapshot.Index,
		applied:    max(r.Snapshot.Index, r.Applied),
		random:     rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Self)))),
		emptyNodes: map[csmodel.NodeID]emptyNode{},
		reads:      map[uint64]csmodel.Index{},
		candidates: map[csmodel.NodeID]csmodel.Term{},
	}
	core.neverMember = r.State.Term == 0 && r.Snapshot.Index == 0 && len(r.Entries) == 0
	core.log.restore(r)
	core.commit = max(core.commit, min(r.Commit, core.log.lastIndex()))
	return core
}

// WithConsistentLog returns the state without log entries that do not connect to the snapshot. Such entries remain if the
// process ended after it stored an installed snapshot and before it dropped the log that the snapshot replaces.
func (r Restored) WithConsistentLog() Restored {
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
		l.baseTime = time.Unix(0, r.Snapshot.At).UTC()
	}
	l.append(r.Entries...)
	// The snapshot knows the membership at its index even where the entry that defined it is gone.
	l.restoreMembership(r.Snapshot)
}

func (l *memoryLog) restoreMembership(s Snapshot) {
	if s.Index == 0 {
		return
	}
	kept := []indexedMembership{{index: l.base, membership: s.Members}}
	if before := l.membershipAt(s.Index); before.index > l.base {
		kept[0].index = before.index
	}
	for _, p := range l.members {
		if p.index > s.Index {
			kept = append(kept, p)
		}
	}
	l.members = kept
}

// Step processes one event at the given time and returns the commands to execute, in order.
func (c *Core) Step(now time.Time, e Event) []Command {
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	if c.leaderContact.IsZero() {
		c.leaderContact = now
		c.electionDue = now.Add(c.randomUpTo(minElectionRetry))
	}
	c.commands = nil
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
		c.compactLog(e)
	case Read:
		c.read(e.ID)
	case Transfer:
		c.startTransfer()
	case DiskFailed:
		c.onDiskFailed(e.Applied)
	}
	c.completeStep()
	return c.commands
}

func (c *Core) completeStep() {
	if c.neverMember && c.log.membership().has(c.config.Self, c.config.Incarnation) {
		c.neverMember = false
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

func (c *Core) emit(o Command) { c.commands = append(c.commands, o) }

func (c *Core) send(to csmodel.NodeID, m Message) {
	m.From = c.config.Self
	m.Incarnation = c.config.Incarnation
	m.Volatile = c.config.Volatile
	c.emit(Send{To: to, Message: m})
}

func (c *Core) save(entries []Entry) {
	if !c.diskFailed {
		c.emit(Save{State: c.state, Entries: entries, Commit: c.commit})
	}
}

func (c *Core) setTerm(t csmodel.Term) {
	c.state = HardState{Term: t}
	c.save(nil)
}

// electionTimeout returns the time without a leader after which this node campaigns. The messages of a leader wait for its disk, and
// this node assumes that disk to be as slow as its own.
func (c *Core) electionTimeout() time.Duration {
	return c.config.Election + 2*c.syncTime + c.randomUpTo(c.config.Jitter+c.syncTime)
}

// RecordSync records how long the disk of this node took to save. The times of its elections allow for it.
func (c *Core) RecordSync(took time.Duration) {
	c.syncTime = min(max(took, c.syncTime-c.syncTime/syncTimeDecay), maxSyncTime)
}

func (c *Core) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

// wasLate reports whether a recent tick of this node was late. Received messages may then still be queued, so a lack of
// contact since the given time does not prove that the leader is gone. The result is false once the longest election timeout
// and two heartbeat intervals have passed, because a node whose ticks are always late must take part in elections as well.
func (c *Core) wasLate(since time.Time) bool {
	recent := !c.lastLateTick.IsZero() && c.now.Before(c.lastLateTick.Add(c.config.Heartbeat))
	return recent && c.now.Before(since.Add(c.config.Election+c.config.Jitter+2*c.config.Heartbeat))
}

func (c *Core) tick() {
	if !c.lastTick.IsZero() && c.now.Sub(c.lastTick) > c.config.Heartbeat {
		c.lastLateTick = c.now
	}
	c.lastTick = c.now
	switch {
	case c.role == Leader:
		c.tickLeader()
	case c.diskFailed:
		c.tickLearner()
	case c.isVoter():
		c.tickVoter()
	default:
		c.tickLearner()
	}
	if c.role != Leader && c.leader != "" && c.noContactFor(c.config.Election+c.config.Jitter) {
		c.becomeFollower(c.state.Term, "")
	}
}

// isVoter reports whether this incarnation is a voter according to its own log. It remains one while the entry that removes it
// is uncommitted: if the leader fails, this node may be the only one with that entry, and it rejects every candidate with a
// shorter log, so it must be able to campaign itself.
func (c *Core) isVoter() bool {
	if c.diskFailed || c.config.Volatile {
		return false
	}
	before, _ := c.log.uncommittedChange(c.commit)
	return c.isVoterIn(c.log.membership()) || c.isVoterIn(before)
}

func (c *Core) isVoterIn(m Membership) bool { return m.voter(c.config.Self, c.config.Incarnation) }

func (c *Core) noContactFor(d time.Duration) bool { return c.now.Sub(c.leaderContact) >= d }

// becomeFollower makes the node a follower in term t, or in its own term if that is higher. An empty leader means that none is
// known.
func (c *Core) becomeFollower(t csmodel.Term, leader csmodel.NodeID) {
	changed := t > c.state.Term || c.leader != leader || c.role == Leader
	if t > c.state.Term {
		c.setTerm(t)
	}
	if c.role == Leader {
		c.clearLeadership()
	}
	c.role = Follower
	c.leader = leader
	c.campaign = campaign{}
	if changed {
		c.emit(BecameFollower{Term: c.state.Term, Leader: leader})
	}
}

func (c *Core) onDiskFailed(applied csmodel.Index) {
	c.diskFailed = true
	c.becomeFollower(c.state.Term, "")
	if applied < c.log.base {
		return
	}
	if applied < c.log.lastIndex() {
		c.log.truncate(applied + 1)
	}
	c.commit = min(applied, c.log.lastIndex())
	c.applied = applied
}

// fromOldIncarnation reports whether the sender was replaced by a newer incarnation.
func (c *Core) fromOldIncarnation(m Message) bool {
	a, ok := c.log.membership().find(m.From)
	return ok && m.Incarnation < a.Incarnation
}

func (c *Core) receive(m Message) {
	// Join requests are answered for any incarnation: the clock may have given a new folder a lower one than the group knows.
	if m.From == c.config.Self || (c.fromOldIncarnation(m) && m.Kind != MessageJoin) {
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
		if !c.diskFailed {
			c.receiveVoting(m)
		}
	}
}

// receiveVoting handles the message kinds that a node with a failed disk ignores.
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
