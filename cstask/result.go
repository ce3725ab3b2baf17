package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Status is the response of the table to a command.
type Status uint8

// Statuses of results.
const (
	Invalid          Status = iota // the command is malformed or exceeds a size limit
	OK                             // the command changed the table
	Repeated                       // the command had been applied before; nothing changed
	Conflict                       // another submission has the same id
	DeadlineTooOld                 // the deadline is older than the retention or not later than that of an evicted record
	DeadlineTooFar                 // the deadline is further ahead than the horizon
	TeamLimitReached               // the team has too many unfinished tasks
	TableFull                      // the table holds too many tasks or bytes
	NotFound                       // no such task
	Stale                          // an old fence, sequence or revision
	Refused                        // the task is in a state that does not allow the command
)

// Accepted reports whether the effect of the command is in the table.
func (s Status) Accepted() bool { return s == OK || s == Repeated }

// State is the state of a task.
type State uint8

// States of tasks.
const (
	StateNone State = iota
	StateWaiting
	StateLeased
	StateSetAside
	StateFinished
	StateFailed
	StateCancelled
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= StateFinished }

// Reason is why a task was set aside.
type Reason uint8

// Reasons of set-aside tasks.
const (
	ReasonNone       Reason = iota
	ReasonTooLarge          // larger than every worker
	ReasonFailedVMs         // lost or failed on MaxFailedVMs different workers, or MaxFailures times
	ReasonOverrun           // stopped for overrunning on MaxFailedVMs different workers
	ReasonUnknownJob        // the job has no configured pool, and the deadline has passed
)

// Result is the response of the table to a command.
type Result struct {
	Status Status `cbor:"1,keyasint"`
	// State and Fence describe the task after the command.
	State State         `cbor:"2,keyasint,omitempty"`
	Fence csmodel.Fence `cbor:"3,keyasint,omitempty"`
	// Accepted is the time of the first acceptance of a Submit.
	Accepted time.Time `cbor:"4,keyasint,omitzero"`
	// Count is the number of tasks that CancelBatch, Renew or Expire changed.
	Count int `cbor:"5,keyasint,omitempty"`
}

// Task is a copy of the record of a task.
type Task struct {
	ID       csmodel.TaskID
	Job      csmodel.JobID
	Team     csmodel.TeamID
	CPU      csmodel.MilliCPU
	Memory   csmodel.Bytes
	Runtime  time.Duration
	Deadline time.Time
	Payload  []byte
	Accepted time.Time
	State    State
	Reason   Reason
	Fence    csmodel.Fence
	// VM and Expiry describe the current lease.
	VM     csmodel.VMID
	Expiry time.Time
	// Checkpoint is the latest recorded progress. CheckpointAt is when it was recorded.
	Checkpoint   []byte
	CheckpointAt time.Time
	// Peak is the largest usage of any attempt, for each resource on its own.
	Peak Usage
	// FailedVMs lists the different VMs on which attempts were lost or failed.
	FailedVMs []csmodel.VMID
	// Message is the text of the last failure.
	Message string
	// Ended and Result are set for ended tasks. Their payload and checkpoint are no longer kept.
	Ended  time.Time
	Result []byte
}
