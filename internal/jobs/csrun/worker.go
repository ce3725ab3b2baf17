// Package csrun runs the tasks of the replicated table on targets. One node does so at a time, the leader of the group.
package csrun

import (
	"context"
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Errors of Workers. Test with errors.Is.
var (
	// ErrNoAnswer reports a call whose effect is not known.
	ErrNoAnswer = errors.New("csrun: no answer")
	// ErrMalformed reports an answer that cannot be read.
	ErrMalformed = errors.New("csrun: malformed answer")
	// ErrRefused reports an order that the target did not carry out.
	ErrRefused = errors.New("csrun: refused")
)

// Workers are the calls to targets.
type Workers interface {
	// Start runs a task. It is idempotent for one attempt.
	Start(context.Context, csjob.Target, StartOrder) (Reply, error)
	// Stop ends a run, or prevents it where it has not arrived.
	Stop(context.Context, csjob.Target, StopOrder) (Reply, error)
	// Look extends the lease and returns what runs and what has ended.
	Look(context.Context, csjob.Target, LookOrder) (Look, error)
}

// StartOrder tells a target to run a task. Times are on the clock of the target.
type StartOrder struct {
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Spec       string
	Until      time.Duration // end of the lease
	Fence      csmodel.Fence
	Checkpoint string
	Ticket     string
}

// StopOrder tells a target to end a run.
type StopOrder struct {
	Task    csjob.TaskKey
	Attempt csjob.Attempt
	Fence   csmodel.Fence
}

// LookOrder asks a target for its runs and ends.
type LookOrder struct {
	Until time.Duration // end of the lease
	Fence csmodel.Fence
	Noted int64         // ends up to this number are recorded and may be forgotten
	Wait  time.Duration // how long the answer may wait for an end
}

// Refusal is why a target did nothing.
type Refusal uint8

// Refusals.
const (
	RefusedNot       Refusal = iota // it did what was asked
	RefusedFence                    // a higher fence was seen
	RefusedOld                      // the attempt has ended there, or a higher one was seen
	RefusedLate                     // the lease had ended
	RefusedRoom                     // no room
	RefusedTicket                   // the ticket is not valid
	RefusedLife                     // another target has the address
	RefusedUnhealthy                // the target is unhealthy
	RefusedInvalid                  // the order is malformed
)

var refusalNames = [...]string{"none", "fence", "old", "late", "room", "ticket", "life", "unhealthy", "invalid"}

// String returns the name of the refusal.
func (r Refusal) String() string { return refusalNames[r] }

// Reply is the answer of a target.
type Reply struct {
	Clock   time.Duration // of the target; zero where the answer had none
	Refusal Refusal
}

// Look is what a target runs and which ends are not noted yet.
type Look struct {
	Reply
	Born    int64
	Running []Progress
	Ended   []Ended
}

// Progress is a run on a target.
type Progress struct {
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Checkpoint string
	Percent    int
	Load       float64 // tail of response times in milliseconds of a task with a bound, otherwise thousandths of a core
}

// Ended is the end of a run as its target numbers it.
type Ended struct {
	Number     int64
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Outcome    csjob.Outcome
	Checkpoint string
}

// Beat is a heartbeat of a target.
type Beat struct {
	Target   csjob.Target
	Sequence int64
	Clock    time.Duration
}
