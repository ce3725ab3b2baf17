package csraft

import (
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Defaults of Config.
const (
	DefaultElection  = 1500 * time.Millisecond
	DefaultJitter    = 300 * time.Millisecond
	DefaultLease     = 1200 * time.Millisecond
	DefaultHeartbeat = 300 * time.Millisecond
	DefaultForget    = 10 * time.Minute
	DefaultTrailing  = 1000 // entries
	DefaultBatch     = 256 * csmodel.KiB
	DefaultBacklog   = 8 * csmodel.MiB
)

// Errors of Validate and Resolve. Test with errors.Is.
var (
	ErrConfig       = errors.New("csraft: invalid configuration")
	ErrNotLeader    = errors.New("csraft: not the leader")
	ErrChange       = errors.New("csraft: another membership change is in progress")
	ErrUnsafeChange = errors.New("csraft: membership change would lose the quorum")
	ErrNotCaughtUp  = errors.New("csraft: learner is not caught up")
	ErrLeaderChange = errors.New("csraft: the leader cannot remove itself; transfer the leadership first")
)

// Config holds the settings of one member.
type Config struct {
	Group       csmodel.GroupID
	Self        csmodel.NodeID
	Incarnation csmodel.Incarnation
	// Members lists the configured nodes. Incarnations are ignored. The configured voters form the group, and the leader
	// promotes their new incarnations when caught up.
	Members   []Member
	Election  time.Duration // least time without a leader before a node asks for votes, and until it grants one
	Jitter    time.Duration // random part added to Election
	Lease     time.Duration // below Election: how long an acknowledged heartbeat lets the leader decide
	Heartbeat time.Duration
	Forget    time.Duration // a learner that was silent for so long is removed
	Trailing  int           // entries kept before a snapshot for members that are slightly behind
	Batch     csmodel.Bytes // bytes of entries or snapshot in one message
	Backlog   csmodel.Bytes // bytes of uncommitted entries above which the leader drops proposals
	Seed      uint64
}

// Role is the part that a member plays in the current term.
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
