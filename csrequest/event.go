package csrequest

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// RequestID names a request on one node. It is chosen by the caller of the Router and unique for the life of the Router.
type RequestID uint64

// Event is an input of the Router.
type Event interface{ event() }

// Arrive is a request of a caller, or one that another node forwarded.
type Arrive struct {
	ID      RequestID
	Job     csmodel.JobID
	Team    csmodel.TeamID
	Timeout time.Duration // 0 means the job's default
	// Idempotent comes from the configuration of the job.
	Idempotent bool
	Key        string // text of the idempotency key, empty without one
	Size       csmodel.Bytes
	// Digest is a hash of the body. It detects a key that is used for two different requests.
	Digest uint64
	// Forwarded marks a request that another node sent to the owner of its key. It is never forwarded again.
	Forwarded bool
}

// Configure replaces the configuration. Share is the part of each team quota that this node may use; 0 means all.
type Configure struct {
	Configuration csconfig.Configuration
	Share         float64
}

// SlotsChanged replaces all slot leases.
type SlotsChanged struct{ Leases []csmodel.SlotLease }

// SummariesChanged replaces what is known about the targets of another home node.
type SummariesChanged struct {
	Node  csmodel.NodeID
	Pools []csmodel.PoolSummary
}

// Recorded reports that the record of a request is durable, or that it could not be written.
type Recorded struct {
	ID     RequestID
	Failed bool
}

// AttemptAnswered reports a complete, verified response.
type AttemptAnswered struct {
	Attempt csmodel.AttemptID
	Answer  Answer
}

// AttemptRefused reports that the target refused the attempt before it started.
type AttemptRefused struct {
	Attempt csmodel.AttemptID
	// Full is true where the target had no slot. Otherwise it is leaving or has another incarnation.
	Full bool
}

// AttemptFailed reports that an attempt ended without a complete, verified response.
type AttemptFailed struct {
	Attempt csmodel.AttemptID
	// Sent is true where any part of the request may have reached the target.
	Sent bool
}

// ForwardAnswered reports the outcome that the owner of the key returned.
type ForwardAnswered struct {
	ID         RequestID
	Outcome    Outcome
	Answer     Answer // only with outcome Answered
	Reason     Reason
	RetryAfter time.Duration
}

// ForwardFailed reports that the owner of the key could not be reached or did not answer.
type ForwardFailed struct {
	ID   RequestID
	Sent bool // any part may have reached the owner
}

// Cancelled reports that the caller has gone away.
type Cancelled struct{ ID RequestID }

// Tick lets time pass. The time of the next one that has an effect is Router.Next.
type Tick struct{}

func (Arrive) event()           {}
func (Configure) event()        {}
func (SlotsChanged) event()     {}
func (SummariesChanged) event() {}
func (Recorded) event()         {}
func (AttemptAnswered) event()  {}
func (AttemptRefused) event()   {}
func (AttemptFailed) event()    {}
func (ForwardAnswered) event()  {}
func (ForwardFailed) event()    {}
func (Cancelled) event()        {}
func (Tick) event()             {}

// Command is an output of the Router.
type Command interface{ command() }

// Record asks to append a record to the log. Where ID is not 0, the record must be durable before event Recorded is
// returned; a node without a disk returns Recorded at once.
type Record struct {
	ID   RequestID
	Data []byte
}

// Dispatch asks to send a request to a target. Exactly one event AttemptAnswered, AttemptRefused or AttemptFailed follows.
type Dispatch struct {
	Attempt     csmodel.AttemptID
	Request     RequestID
	Job         csmodel.JobID
	Target      csmodel.VMID
	Incarnation csmodel.Incarnation
	Address     string
	Connections int // largest number of connections to the target
	// Timeout is the time that the caller still waits; it is the value of the header Cowslip-Timeout.
	Timeout time.Duration
	// Limit is the time after which the attempt is given up. It exceeds Timeout where the outcome is stored for a key.
	Limit time.Duration
}

// Abort asks to give up an attempt whose result is no longer needed. Events of the attempt are ignored from now on.
type Abort struct{ Attempt csmodel.AttemptID }

// Forward asks to send a request to the owner of its key.
type Forward struct {
	ID      RequestID
	Node    csmodel.NodeID
	Timeout time.Duration
}

// Reply gives the outcome of a request to its caller. Each Arrive has exactly one. The body is not needed afterwards.
type Reply struct {
	ID         RequestID
	Outcome    Outcome
	Answer     Answer // only with outcome Answered
	Reason     Reason
	RetryAfter time.Duration
}

// Demand reports the number of slots that the node wants in a pool.
type Demand struct{ csmodel.SlotDemand }

func (Record) command()   {}
func (Dispatch) command() {}
func (Abort) command()    {}
func (Forward) command()  {}
func (Reply) command()    {}
func (Demand) command()   {}
