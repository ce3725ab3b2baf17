package csrequest

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// RequestID identifies a request on one node. The caller of the Router chooses it; it is unique within a Router.
type RequestID uint64

// Event is an input of the Router.
type Event interface{ event() }

// RequestArrived reports a new request from a caller or another node.
type RequestArrived struct {
	ID      RequestID
	Job     csmodel.JobID
	Team    csmodel.TeamID
	Timeout time.Duration // 0 selects the job's timeout
	// Idempotent is the job's setting.
	Idempotent bool
	Key        string // text form of the idempotency key, or empty
	Size       csmodel.Bytes
	// Digest is a hash of the body. It is used to detect a key that belongs to another request.
	Digest uint64
	// Forwarded is true if another node forwarded the request to the owner of its key. It is never forwarded again.
	Forwarded bool
}

// Configure replaces the configuration. Share is the fraction of each team quota that this node may use; 0 means 1.
type Configure struct {
	Configuration csconfig.Configuration
	Share         float64
}

// SlotsChanged replaces all slot leases.
type SlotsChanged struct{ Leases []csmodel.SlotLease }

// SummariesChanged replaces the pool summaries of a home node.
type SummariesChanged struct {
	Node  csmodel.NodeID
	Pools []csmodel.PoolSummary
}

// Recorded reports that the record of command Record is durable, or that it could not be written.
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
	// NoSlot is true if the target had no free slot. Otherwise it is leaving or has another incarnation.
	NoSlot bool
}

// AttemptFailed reports that an attempt ended without a complete, verified response.
type AttemptFailed struct {
	Attempt csmodel.AttemptID
	// Sent is true if any part of the request may have reached the target.
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

// Cancelled reports that the caller no longer waits for the reply.
type Cancelled struct{ ID RequestID }

// Tick reports that time has passed. Router.Next returns the time of the next Tick that has an effect.
type Tick struct{}

func (RequestArrived) event()   {}
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

// Record asks to append a record to the Log. If ID is not 0, event Recorded must follow once the record is durable; a node
// without a disk returns it at once.
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
	Connections int // maximum number of connections to the target
	// Timeout is the time until the caller's deadline. It is sent in the header Cowslip-Timeout.
	Timeout time.Duration
	// Limit is the time after which the attempt is abandoned. It exceeds Timeout for a request that is not idempotent, whose
	// outcome is still stored for its key.
	Limit time.Duration
}

// Abort asks to cancel an attempt whose result is no longer needed. Later events of the attempt are ignored.
type Abort struct{ Attempt csmodel.AttemptID }

// Forward asks to send a request to the owner of its key.
type Forward struct {
	ID      RequestID
	Node    csmodel.NodeID
	Timeout time.Duration
}

// Reply returns the outcome of a request to its caller. Exactly one follows each RequestArrived. The request body is not needed
// afterwards.
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
