package csraft

import (
	"errors"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

var testMembers = Membership{Members: []Member{
	{Node: "a", Incarnation: 1, Voter: true}, {Node: "b", Incarnation: 1, Voter: true}, {Node: "c", Incarnation: 1, Voter: true},
}}

// testCore returns a member of a bootstrapped group of three voters with the given state that started in the past.
func testCore(t *testing.T, self csmodel.NodeID, state HardState, more ...Entry) (*Core, time.Time) {
	t.Helper()
	data, err := EncodeMembership(testMembers)
	if err != nil {
		t.Fatal(err)
	}
	entries := append([]Entry{{Term: 1, Index: 1, Kind: EntryMembership, Data: data}}, more...)
	c := New(Config{Self: self, Incarnation: 1, Members: testMembers.Members}, Restored{State: state, Entries: entries})
	now := time.Unix(1000, 0)
	c.Step(now, Tick{})
	return c, now.Add(DefaultElectionTimeout)
}

func sent(commands []Command, k MessageKind) (out []Message) {
	for _, o := range commands {
		if s, ok := o.(Send); ok && s.Message.Kind == k {
			out = append(out, s.Message)
		}
	}
	return out
}

func voteRequest(from csmodel.NodeID, incarnation csmodel.Incarnation, t csmodel.Term) Receive {
	return Receive{Message: Message{Kind: MessageVote, From: from, Incarnation: incarnation, Term: t, Index: 9, LogTerm: 9}}
}

// TestVote guards against two votes of one node in a term, also across a restart and for a candidate that lost its folder, and
// against a vote for a new leader while the old one may hold a lease.
func TestVote(t *testing.T) {
	voted := HardState{Term: 5, Vote: "b", VoteIncarnation: 1}
	tests := []struct {
		name  string
		state HardState
		early time.Duration
		in    Receive
		want  int // replies
		grant bool
	}{
		{"first vote", HardState{Term: 4}, 0, voteRequest("b", 1, 5), 1, true},
		{"same candidate again", voted, 0, voteRequest("b", 1, 5), 1, true},
		{"another candidate in the term", voted, 0, voteRequest("c", 1, 5), 1, false},
		{"next incarnation of the candidate", voted, 0, voteRequest("b", 2, 5), 1, false},
		{"outdated incarnation", HardState{Term: 4}, 0, voteRequest("b", 0, 5), 0, false},
		{"within the election timeout after a restart", HardState{Term: 4}, time.Millisecond, voteRequest("b", 1, 5), 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, now := testCore(t, "a", tt.state)
			out := c.Step(now.Add(-tt.early), tt.in)
			replies := sent(out, MessageVoteReply)
			if len(replies) != tt.want || (tt.want > 0 && replies[0].Reject == tt.grant) {
				t.Fatalf("got %+v, want %d replies with grant %v", replies, tt.want, tt.grant)
			}
			if _, saved := firstCommand(out).(Save); tt.grant && tt.state.Vote == "" && !saved {
				t.Errorf("the vote is sent before it is saved: %+v", out)
			}
		})
	}
}

func firstCommand(out []Command) Command {
	if len(out) == 0 {
		return nil
	}
	return out[0]
}

// TestCommitOwnTerm guards against committing an entry of an earlier term by counting replicas: a later leader may overwrite
// such an entry.
func TestCommitOwnTerm(t *testing.T) {
	c, now := testCore(t, "a", HardState{Term: 2}, Entry{Term: 2, Index: 2})
	now = now.Add(time.Second)
	c.Step(now, Tick{})
	c.Step(now, Receive{Message: Message{Kind: MessagePreVoteReply, From: "b", Incarnation: 1, Term: 3}})
	c.Step(now, Receive{Message: Message{Kind: MessageVoteReply, From: "b", Incarnation: 1, Term: 3}})
	if c.role != Leader {
		t.Fatalf("got role %v, want leader", c.role)
	}
	ack := Message{Kind: MessageAppendReply, From: "b", Incarnation: 1, Term: 3, Index: 2, Round: 1}
	c.Step(now, Receive{Message: ack})
	if c.commit != 0 {
		t.Errorf("got commit %d, want 0: entry 2 is of term 2", c.commit)
	}
	old := ack
	old.Index, old.Incarnation = 3, 0
	c.Step(now, Receive{Message: old})
	if c.commit != 0 {
		t.Errorf("got commit %d, want 0: the acknowledgement is of an old incarnation", c.commit)
	}
	ack.Index = 3
	c.Step(now, Receive{Message: ack})
	if c.commit != 3 {
		t.Errorf("got commit %d, want 3", c.commit)
	}
	if !c.Leading(now.Add(DefaultLease-1)) || c.Leading(now.Add(DefaultLease)) {
		t.Errorf("the lease does not end %v after the acknowledged heartbeat", DefaultLease)
	}
	testMembershipChanges(t, c, now)
}

// electedLeader returns a leader of three voters, and a function that acknowledges its newest round.
func electedLeader(t *testing.T) (c *Core, now time.Time, ack func(time.Time)) {
	t.Helper()
	c, now = testCore(t, "a", HardState{Term: 1}, Entry{Term: 1, Index: 2})
	now = now.Add(time.Second)
	c.Step(now, Tick{})
	for _, k := range []MessageKind{MessagePreVoteReply, MessageVoteReply} {
		c.Step(now, Receive{Message: Message{Kind: k, From: "b", Incarnation: 1, Term: 2}})
	}
	if c.role != Leader {
		t.Fatalf("got role %v, want leader", c.role)
	}
	return c, now, func(at time.Time) {
		c.Step(at, Receive{Message: Message{
			Kind: MessageAppendReply, From: "b", Incarnation: 1, Term: 2, Index: c.log.lastIndex(), Round: c.lead.round,
		}})
	}
}

// TestLateNodeReadsMessagesBeforeElection guards against a busy leader that steps down, and a busy voter that campaigns,
// although the messages that prove contact are queued behind a late tick.
func TestLateNodeReadsMessagesBeforeElection(t *testing.T) {
	c, now, ack := electedLeader(t)
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		c.Step(now, Tick{})
		ack(now)
	}
	now = now.Add(DefaultElectionTimeout + DefaultElectionTimeout/2) // late tick
	c.Step(now, Tick{})
	if c.role != Leader || c.Leading(now) {
		t.Errorf("got role %v, leading %t after a late tick, want a leader without a lease", c.role, c.Leading(now))
	}
	ack(now)
	if !c.Leading(now.Add(time.Millisecond)) {
		t.Errorf("not leading after an acknowledgement of the newest round")
	}

	voter, now := testCore(t, "a", HardState{Term: 1}, Entry{Term: 1, Index: 2})
	heartbeat := Receive{Message: Message{Kind: MessageAppend, From: "b", Incarnation: 1, Term: 1, Index: 2, LogTerm: 1}}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		voter.Step(now, Tick{})
		voter.Step(now, heartbeat)
	}
	now = now.Add(DefaultElectionTimeout + DefaultElectionTimeout/2)
	if out := voter.Step(now, Tick{}); voter.role != Follower || len(sent(out, MessagePreVote)) > 0 {
		t.Errorf("got role %v after a late tick, want a follower that reads its messages first", voter.role)
	}
}

// TestNodeWithoutQuorumOrLeaderActs guards against a leader that never steps down without a quorum, and a voter that never
// campaigns, because every tick is late.
func TestNodeWithoutQuorumOrLeaderActs(t *testing.T) {
	const tick = 50 * time.Millisecond
	tests := []struct {
		name  string
		every time.Duration
		limit time.Duration
	}{
		{"on time", tick, DefaultElectionTimeout + tick},
		{"always late", 4 * DefaultHeartbeat, DefaultElectionTimeout + DefaultElectionJitter + 6*DefaultHeartbeat},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, now, ack := electedLeader(t)
			ack(now)
			end := now.Add(tt.limit)
			for c.role == Leader && now.Before(end) {
				now = now.Add(tt.every)
				c.Step(now, Tick{})
			}
			if c.role == Leader {
				t.Errorf("still leader %v after the last acknowledgement", tt.limit)
			}
			end = now.Add(tt.limit + DefaultElectionTimeout + DefaultElectionJitter)
			for c.role != Candidate && now.Before(end) {
				now = now.Add(tt.every)
				c.Step(now, Tick{})
			}
			if c.role != Candidate {
				t.Errorf("got role %v after the election timeout without contact, want candidate", c.role)
			}
		})
	}
}

// TestUncommittedAddedVoterCountsForQuorum guards against a group without a leader after the loss of the leader that added a
// voter: c is lost, a does not know whether the addition of b is committed, and the voters before it have no quorum.
func TestUncommittedAddedVoterCountsForQuorum(t *testing.T) {
	learner := testMembers.withMember(Member{Node: "b", Incarnation: 2})
	var entries []Entry
	for i, m := range []Membership{learner, learner.withMember(Member{Node: "b", Incarnation: 2, Voter: true})} {
		data, err := EncodeMembership(m)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, Entry{Term: 1, Index: csmodel.Index(i + 2), Kind: EntryMembership, Data: data})
	}
	c, now := testCore(t, "a", HardState{Term: 1}, entries...)
	now = now.Add(time.Second)
	c.Step(now, Tick{})
	for _, k := range []MessageKind{MessagePreVoteReply, MessageVoteReply} {
		c.Step(now, Receive{Message: Message{Kind: k, From: "b", Incarnation: 2, Term: 2}})
	}
	c.Step(now, Receive{Message: Message{Kind: MessageAppendReply, From: "b", Incarnation: 2, Term: 2, Index: 4, Round: 1}})
	if c.commit != 4 || !c.Leading(now) {
		t.Errorf("got role %v, commit %d, leading %v; want a leader that committed 4", c.role, c.commit, c.Leading(now))
	}
}

// TestPromotionUnderLoad guards against a replaced voter that is never promoted because the leader commits entries between any
// two of its acknowledgements.
func TestPromotionUnderLoad(t *testing.T) {
	data, err := EncodeMembership(testMembers.withMember(Member{Node: "b", Incarnation: 2}))
	if err != nil {
		t.Fatal(err)
	}
	c, now := testCore(t, "a", HardState{Term: 1}, Entry{Term: 1, Index: 2, Kind: EntryMembership, Data: data})
	now = now.Add(time.Second)
	c.Step(now, Tick{})
	for _, k := range []MessageKind{MessagePreVoteReply, MessageVoteReply} {
		c.Step(now, Receive{Message: Message{Kind: k, From: "c", Incarnation: 1, Term: 2}})
	}
	ack := Message{Kind: MessageAppendReply, Term: 2}
	for range 10 {
		lastAcked := c.log.lastIndex() // last entry that the learner acknowledges; it does not count for the commit
		c.Step(now, Propose{Proposals: []Proposal{{Data: []byte("x")}}})
		ack.Round = c.lead.round
		ack.From, ack.Incarnation, ack.Index = "c", 1, c.log.lastIndex()
		c.Step(now, Receive{Message: ack})
		ack.From, ack.Incarnation, ack.Index = "b", 2, lastAcked
		c.Step(now, Receive{Message: ack})
		now = now.Add(50 * time.Millisecond)
		c.Step(now, Tick{})
	}
	if !c.log.membership().voter("b", 2) {
		t.Errorf("not promoted in 10 ticks: %+v, commit %d, match %d", c.log.membership(), c.commit, c.lead.peers["b"].match)
	}
}

// testMembershipChanges guards against membership changes that lose the quorum: c leads, b is reachable and c is not.
func testMembershipChanges(t *testing.T, c *Core, now time.Time) {
	tests := []struct {
		name   string
		change Change
		want   error
	}{
		{"remove the reachable voter", Change{Member: Member{Node: "b"}, Remove: true}, ErrUnsafeChange},
		{"demote the reachable voter", Change{Member: Member{Node: "b", Incarnation: 1}}, ErrUnsafeChange},
		{"remove the leader", Change{Member: Member{Node: "a"}, Remove: true}, ErrLeaderChange},
		{"add a voter that is not a learner", Change{Member: Member{Node: "d", Incarnation: 1, Voter: true}}, ErrUnsafeChange},
		{"replace a voter's incarnation as a voter", Change{Member: Member{Node: "c", Incarnation: 2, Voter: true}}, ErrUnsafeChange},
		{"remove an unknown node", Change{Member: Member{Node: "x"}, Remove: true}, nil},
	}
	for _, tt := range tests {
		id := ProposalID{Node: "a", Incarnation: 1, Sequence: 1}
		out := c.Step(now, ChangeMember{ID: id, Change: tt.change})
		if r, ok := firstCommand(out).(Resolve); !ok || !errors.Is(r.Err, tt.want) {
			t.Errorf("%s: got %+v, want %v", tt.name, out, tt.want)
		}
	}
	out := c.Step(now, ChangeMember{ID: ProposalID{Node: "a", Sequence: 2}, Change: Change{Member: Member{Node: "c"}, Remove: true}})
	if len(sent(out, MessageAppend)) == 0 {
		t.Errorf("the removal of the lost voter is not replicated: %+v", out)
	}
}

// TestRaiseIncarnation guards against a new folder that is ignored permanently because the clock that numbered it was set back,
// and against a replaced node that returns by taking a higher incarnation.
func TestRaiseIncarnation(t *testing.T) {
	reply := Receive{Message: Message{Kind: MessageJoinReply, From: "b", Incarnation: 1, HasLog: true, KnownIncarnation: 9}}
	fresh := New(Config{Self: "a", Incarnation: 4, Members: testMembers.Members}, Restored{})
	if got, ok := firstCommand(fresh.Step(time.Unix(1000, 0), reply)).(RaiseIncarnation); !ok || got.Incarnation != 10 {
		t.Errorf("got %+v, want incarnation 10", got)
	}
	replaced, now := testCore(t, "a", HardState{Term: 4})
	if out := replaced.Step(now, reply); len(out) > 0 {
		t.Errorf("got %+v from a node that was replaced, want nothing", out)
	}
}

// TestProbingSendsEntriesOnce guards against a leader that floods its links: until a member that lacks entries has answered, it
// gets them once and not again with each proposal and each advance of the commit index.
func TestProbingSendsEntriesOnce(t *testing.T) {
	c, now := testCore(t, "a", HardState{Term: 2}, Entry{Term: 2, Index: 2, Data: make([]byte, 1000)})
	now = now.Add(time.Second)
	c.Step(now, Tick{})
	c.Step(now, Receive{Message: Message{Kind: MessagePreVoteReply, From: "b", Incarnation: 1, Term: 3}})
	c.Step(now, Receive{Message: Message{Kind: MessageVoteReply, From: "b", Incarnation: 1, Term: 3}})
	count := func(out []Command) (entries int) {
		for _, o := range out {
			if s, ok := o.(Send); ok && s.To == "c" && s.Message.Kind == MessageAppend {
				entries += len(s.Message.Entries)
			}
		}
		return entries
	}
	rejection := Message{Kind: MessageAppendReply, From: "c", Incarnation: 1, Term: 3, Index: 1, Round: 1, Reject: true}
	if got := count(c.Step(now, Receive{Message: rejection})); got != 2 {
		t.Fatalf("got %d entries after the rejection, want the 2 that are missing", got)
	}
	resent, heartbeats := 0, 0
	for i := range 20 {
		out := c.Step(now, Propose{Proposals: []Proposal{{ID: ProposalID{Node: "a", Incarnation: 1, Sequence: uint64(i + 1)}, Data: []byte("x")}}})
		resent += count(out)
		ack := Message{Kind: MessageAppendReply, From: "b", Incarnation: 1, Term: 3, Index: c.log.lastIndex(), Round: c.lead.round}
		resent += count(c.Step(now, Receive{Message: ack}))
		now = now.Add(50 * time.Millisecond)
		out = c.Step(now, Tick{})
		resent += count(out)
		for _, o := range out {
			if s, ok := o.(Send); ok && s.To == "c" && s.Message.Kind == MessageAppend {
				heartbeats++
			}
		}
	}
	if resent != 0 || heartbeats == 0 {
		t.Errorf("got %d entries and %d heartbeats before the answer, want heartbeats only", resent, heartbeats)
	}
	// The answer to a heartbeat shows that the entries were lost. The leader then sends all missing ones.
	answer := Message{Kind: MessageAppendReply, From: "c", Incarnation: 1, Term: 3, Index: 1, Round: c.lead.round}
	if got, want := count(c.Step(now, Receive{Message: answer})), int(c.log.lastIndex()-1); got != want {
		t.Errorf("got %d entries after the answer, want %d", got, want)
	}
}

// TestJoinAppends guards against merging messages across a gap, a term or two incarnations of a leader.
func TestJoinAppends(t *testing.T) {
	entry := func(i csmodel.Index, term csmodel.Term) Entry { return Entry{Index: i, Term: term} }
	first := Message{
		Kind: MessageAppend, From: "a", Incarnation: 1, Term: 3, Index: 4, LogTerm: 2, Commit: 4, Round: 7,
		Entries: []Entry{entry(5, 3), entry(6, 3)},
	}
	next := Message{
		Kind: MessageAppend, From: "a", Incarnation: 1, Term: 3, Index: 6, LogTerm: 3, Commit: 5, Round: 8, Entries: []Entry{entry(7, 3)},
	}
	with := func(f func(*Message)) Message {
		m := next
		f(&m)
		return m
	}
	tests := []struct {
		name string
		a, b Message
		want int // entries of the merged message; 0 if the messages must not be merged
	}{
		{"next entries", first, next, 3},
		{"heartbeat", first, with(func(m *Message) { m.Entries = nil }), 2},
		{"gap", first, with(func(m *Message) { m.Index = 7 }), 0},
		{"repetition", first, with(func(m *Message) { m.Index = 5 }), 0},
		{"another term of the entry before", first, with(func(m *Message) { m.LogTerm = 2 }), 0},
		{"a later term", first, with(func(m *Message) { m.Term = 4 }), 0},
		{"another leader", first, with(func(m *Message) { m.From = "b" }), 0},
		{"another incarnation of the leader", first, with(func(m *Message) { m.Incarnation = 2 }), 0},
		{"a vote", first, with(func(m *Message) { m.Kind = MessageVote }), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := JoinAppends(tt.a, tt.b)
			if ok != (tt.want > 0) {
				t.Fatalf("got joined %v, want %v", ok, tt.want > 0)
			}
			if ok && (got.Index != 4 || got.LogTerm != 2 || got.Round != 8 || got.Commit != 5 || len(got.Entries) != tt.want) {
				t.Errorf("got %+v, want %d entries after 4 with commit 5 and round 8", got, tt.want)
			}
		})
	}
}
