// Package csrun runs the tasks of the replicated table on targets. Only the leader of the group does so.
package csrun

import (
	"context"
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Errors returned by TargetClient. Test with errors.Is.
var (
	// ErrNoAnswer reports a call without an answer. Whether the target has carried it out is unknown.
	ErrNoAnswer = errors.New("csrun: no answer")
	// ErrMalformed reports an answer that cannot be decoded.
	ErrMalformed = errors.New("csrun: malformed answer")
	// ErrRefused reports a call that the target refused.
	ErrRefused = errors.New("csrun: refused")
)

// TargetClient sends calls to targets. Its methods return an error that wraps ErrNoAnswer if the target has not answered, and one
// that wraps ErrMalformed if the answer cannot be decoded. A refusal is not an error, but part of the answer.
type TargetClient interface {
	// Start starts an attempt of a task. It is idempotent per attempt.
	Start(context.Context, csjob.Target, StartOrder) (Reply, error)
	// Stop ends a run. If the start has not arrived yet, Stop prevents the run.
	Stop(context.Context, csjob.Target, StopOrder) (Reply, error)
	// Poll polls a target: it extends the lease and returns the running tasks and the ends that are not acknowledged yet.
	Poll(context.Context, csjob.Target, PollRequest) (PollResponse, error)
}

// StartOrder is a request to start an attempt of a task. LeaseEnd is on the clock of the target.
type StartOrder struct {
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Spec       string
	LeaseEnd   time.Duration // end of the lease
	Fence      csmodel.Fence
	Checkpoint string
	Ticket     string
}

// StopOrder is a request to end a run.
type StopOrder struct {
	Task    csjob.TaskKey
	Attempt csjob.Attempt
	Fence   csmodel.Fence
}

// PollRequest is a request for the runs and ends of a target. LeaseEnd is on the clock of the target.
type PollRequest struct {
	LeaseEnd     time.Duration // end of the lease
	Fence        csmodel.Fence
	Acknowledged int64         // acknowledges the ends up to this number, which the target may discard
	Wait         time.Duration // maximum time that the target may wait for an end before it answers
}

// Refusal is the reason for which a target refused a call.
type Refusal uint8

// Reasons for a refusal.
const (
	NotRefused          Refusal = iota // the call was carried out
	RefusedFence                       // the target has seen a higher fence
	RefusedStaleAttempt                // the attempt has ended there, or the target has seen a higher one
	RefusedLeaseExpired                // the lease had expired
	RefusedResources                   // the free resources are insufficient
	RefusedTicket                      // the ticket is not valid
	RefusedWrongTarget                 // another target has the address
	RefusedUnhealthy                   // the target is unhealthy
	RefusedInvalid                     // the order is malformed
)

var refusalNames = [...]string{"none", "fence", "old", "late", "room", "ticket", "life", "unhealthy", "invalid"}

// String returns the name of the refusal, as it appears in log lines.
func (r Refusal) String() string { return refusalNames[r] }

// Reply is the part that all answers of a target have in common.
type Reply struct {
	Clock   time.Duration // clock of the target; zero if the answer has none
	Refusal Refusal
}

// PollResponse is the answer to a poll: the runs of a target and the ends that are not acknowledged yet.
type PollResponse struct {
	Reply
	StartedAtMs int64 // start of the incarnation in Unix milliseconds; zero if the answer has none
	Running     []Progress
	Ended       []RunEnd
}

// Progress is the state of a run on a target.
type Progress struct {
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Checkpoint string
	Percent    int
	Load       float64 // tail response time in milliseconds if the task has a bound for it, otherwise thousandths of a core
}

// RunEnd is the end of a run. Each incarnation of a target numbers its ends anew.
type RunEnd struct {
	Number     int64
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Outcome    csjob.Outcome
	Checkpoint string
}

// Heartbeat is a heartbeat of a target.
type Heartbeat struct {
	Target   csjob.Target
	Sequence int64
	Clock    time.Duration
}
