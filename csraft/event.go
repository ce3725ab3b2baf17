package csraft

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Defaults of Config.
const (
	DefaultElectionTimeout     = 1500 * time.Millisecond
	DefaultElectionJitter      = 300 * time.Millisecond
	DefaultLease               = 1200 * time.Millisecond
	DefaultHeartbeat           = 300 * time.Millisecond
	DefaultLearnerTimeout      = 10 * time.Minute
	DefaultVoterReplaceTimeout = 5 * time.Second
	DefaultTrailingEntries     = 1000 // entries
	DefaultMaxBatchBytes       = 256 * csmodel.KiB
	DefaultMaxUncommittedBytes = 8 * csmodel.MiB

	maxTrailingBytes = csmodel.MiB // maximum memory of the entries that TrailingEntries keeps
)

// Errors of Config.Validate and Resolve. Test for them with errors.Is.
var (
	ErrConfig           = errors.New("csraft: invalid configuration")
	ErrNotLeader        = errors.New("csraft: not the leader")
	ErrChangeInProgress = errors.New("csraft: another membership change is in progress")
	ErrUnsafeChange     = errors.New("csraft: membership change would lose the quorum")
	ErrNotCaughtUp      = errors.New("csraft: learner is not caught up")
	ErrLeaderChange     = errors.New("csraft: the leader cannot remove itself; transfer the leadership first")
)

// Config holds the settings of one member.
type Config struct {
	Group       csmodel.GroupID
	Self        csmodel.NodeID
	Incarnation csmodel.Incarnation
	// Members lists the configured nodes. Their incarnations are ignored. The configured voters bootstrap the group, and the
	// leader promotes their new incarnations when these are caught up.
	Members []Member
	// Join makes a node with an empty folder wait for an existing group instead of bootstrapping one.
	Join bool
	// Voters is the number of voters that the leader maintains: it promotes a caught-up learner in place of a voter without
	// contact for VoterReplaceTimeout. Zero disables the replacement and keeps the configured voters.
	Voters              int
	VoterReplaceTimeout time.Duration
	Election            time.Duration // minimum election timeout, and minimum time without leader contact before a vote is granted
	Jitter              time.Duration // random part added to Election
	Lease               time.Duration // how long the lease lasts after the send time of a heartbeat that a quorum acknowledged; below Election
	Heartbeat           time.Duration
	LearnerTimeout      time.Duration // time without contact after which a learner is removed
	Volatile            bool          // no disk: the node never votes
	TrailingEntries     int           // number of entries kept before a snapshot for members that are slightly behind
	MaxBatchBytes       csmodel.Bytes // maximum size of the entries or the snapshot chunk in one message
	MaxUncommittedBytes csmodel.Bytes // maximum size of the uncommitted entries; the leader drops proposals beyond it
	Seed                uint64
}

// Role is the Raft role of a member in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Leader:
		return "leader"
	case Candidate:
		return "candidate"
	default:
		return "follower"
	}
}

// Defaults returns the configuration with each unset value replaced by its default.
func (c Config) Defaults() Config {
	c.Election = orDefault(c.Election, DefaultElectionTimeout)
	c.Jitter = orDefault(c.Jitter, DefaultElectionJitter)
	c.Lease = orDefault(c.Lease, DefaultLease)
	c.Heartbeat = orDefault(c.Heartbeat, DefaultHeartbeat)
	c.LearnerTimeout = orDefault(c.LearnerTimeout, DefaultLearnerTimeout)
	c.VoterReplaceTimeout = orDefault(c.VoterReplaceTimeout, DefaultVoterReplaceTimeout)
	c.TrailingEntries = orDefault(c.TrailingEntries, DefaultTrailingEntries)
	c.MaxBatchBytes = orDefault(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.MaxUncommittedBytes = orDefault(c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	return c
}

// Validate returns an error that wraps ErrConfig if the configuration cannot be used.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return fmt.Errorf("%w: the name of this node is missing", ErrConfig)
	case c.Lease >= c.Election:
		return fmt.Errorf("%w: the lease of %v must be shorter than the election timeout of %v", ErrConfig, c.Lease, c.Election)
	case c.Heartbeat*2 > c.Lease:
		return fmt.Errorf("%w: the lease of %v must cover two heartbeat intervals of %v", ErrConfig, c.Lease, c.Heartbeat)
	case len(c.voters()) == 0:
		return fmt.Errorf("%w: no member is a voter", ErrConfig)
	default:
		return nil
	}
}

func (c Config) voters() []csmodel.NodeID {
	var out []csmodel.NodeID
	for _, m := range c.Members {
		if m.Voter {
			out = append(out, m.Node)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func orDefault[T cmp.Ordered](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Event is an input of the core. The implementations are in this file.
type Event interface{ event() }

// Tick advances the clock and starts what is due. It is expected several times per heartbeat interval.
type Tick struct{}

// Receive delivers a message from another node.
type Receive struct{ Message Message }

// Propose submits proposals of this node. The leader appends them as one batch; other nodes forward them to the leader.
type Propose struct{ Proposals []Proposal }

// ChangeMember proposes a membership change of this node.
type ChangeMember struct {
	ID     ProposalID
	Change Change
}

// Compact supplies the encoded state of the machine after entry Index, so that the log can be compacted up to it.
type Compact struct {
	Index csmodel.Index
	Data  []byte
}

// Read requests a linearizable read. The answer is a Readable with the same ID. The request may be repeated.
type Read struct{ ID uint64 }

// Transfer transfers the leadership to a voter that is caught up. No proposals are appended until then.
type Transfer struct{}

// DiskFailed makes the node stop voting and acknowledging because its disk failed. It keeps replicating in memory after
// Applied, the last entry that the machine holds; entries that it could not save are dropped.
type DiskFailed struct{ Applied csmodel.Index }

func (Tick) event()         {}
func (Receive) event()      {}
func (Propose) event()      {}
func (ChangeMember) event() {}
func (Compact) event()      {}
func (Read) event()         {}
func (Transfer) event()     {}
func (DiskFailed) event()   {}

// Command is an output of the core. Commands are executed in order. The implementations are in this file.
type Command interface{ command() }

// Save makes state durable before any later command is executed. Entries replace all entries from the index of the first
// one. Where Snapshot is set, it is stored and the log then holds exactly Entries, which follow Base.
type Save struct {
	State    HardState
	Entries  []Entry
	Snapshot *Snapshot
	Base     csmodel.Index
	BaseTerm csmodel.Term
	// Commit is an index up to which all entries are committed and were saved by earlier commands.
	Commit csmodel.Index
}

// Send sends a message to another node. The message may be lost.
type Send struct {
	To      csmodel.NodeID
	Message Message
}

// Apply applies committed entries to the machine.
type Apply struct{ Entries []Entry }

// InstallSnapshot replaces the state of the machine. The snapshot was saved before.
type InstallSnapshot struct{ Snapshot Snapshot }

// Resolve completes a proposal of this node for which no entry was appended. If Err is ErrNotLeader, the proposal was not sent
// to any node.
type Resolve struct {
	ID  ProposalID
	Err error
}

// Readable answers a Read: the machine has applied every entry that was committed when the read was requested.
type Readable struct{ ID uint64 }

// BecameLeader reports that this node won an election. The lease starts with the first acknowledged heartbeat.
type BecameLeader struct{ Term csmodel.Term }

// BecameFollower reports that this node follows another leader, or that it knows none if Leader is empty.
type BecameFollower struct {
	Term   csmodel.Term
	Leader csmodel.NodeID
}

// RaiseIncarnation reports that this node, which has no log, takes a higher incarnation because the group knows one that is
// not lower than its own. Like a Save, it must be durable before any later command is executed.
type RaiseIncarnation struct{ Incarnation csmodel.Incarnation }

func (Save) command()             {}
func (Send) command()             {}
func (Apply) command()            {}
func (InstallSnapshot) command()  {}
func (Resolve) command()          {}
func (Readable) command()         {}
func (BecameLeader) command()     {}
func (BecameFollower) command()   {}
func (RaiseIncarnation) command() {}

// HardState is the term and vote of a member. It must be durable before a message that depends on it is sent.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term csmodel.Term
	// Vote is the candidate that got the vote in Term. Its incarnation is part of the vote: a candidate that lost its
	// folder must not use the vote that its previous incarnation got.
	Vote            csmodel.NodeID
	VoteIncarnation csmodel.Incarnation
}

// Snapshot is the state of the machine after entry Index.
type Snapshot struct {
	_       struct{} `cbor:",toarray"`
	Index   csmodel.Index
	Term    csmodel.Term
	At      int64 // time of the entry at Index, in Unix nanoseconds
	Members Membership
	Data    []byte
}

// Restored is the durable state from which a member starts. The zero value stands for an empty folder.
type Restored struct {
	State    HardState
	Snapshot Snapshot
	Base     csmodel.Index // index and term of the entry before Entries
	BaseTerm csmodel.Term
	Entries  []Entry
	// Commit is the highest Commit that was saved, or zero if unknown. Entries up to it are applied right after the start.
	// Otherwise all of them would have to wait until the next leader has committed an entry.
	Commit csmodel.Index
	// Applied is the last entry that the machine already holds; entries up to it are not applied again.
	Applied csmodel.Index
}
