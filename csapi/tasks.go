package csapi

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Key is an idempotency key that a node issued.
type Key string

// Keys is the response of IssueKeys: a JSON list.
type Keys []Key

// TaskState is the state of deferred work.
type TaskState string

// States of tasks.
const (
	Waiting   TaskState = "waiting"
	Leased    TaskState = "leased"
	Finished  TaskState = "finished"
	Failed    TaskState = "failed"
	Cancelled TaskState = "cancelled"
	// Aside means the task was set aside (dead-lettered) for the given reason.
	Aside TaskState = "aside"
)

// Final tells whether the state never changes again.
func (s TaskState) Final() bool {
	return s == Finished || s == Failed || s == Cancelled || s == Aside
}

// Task is the response of SubmitTask, ReadTask and CancelTask. The body of SubmitTask is the input of the task.
type Task struct {
	ID       csmodel.TaskID `json:"id"`
	Job      csmodel.JobID  `json:"job"`
	Team     csmodel.TeamID `json:"team"`
	State    TaskState      `json:"state"`
	Accepted time.Time      `json:"accepted,omitzero"`
	Deadline time.Time      `json:"deadline,omitzero"`
	// Ended is when the task reached its final state.
	Ended time.Time `json:"ended,omitzero"`
	// Worker is the VM that holds the lease.
	Worker csmodel.VMID `json:"worker,omitempty"`
	// Tries is the number of leases so far.
	Tries int `json:"tries,omitempty"`
	// Reason says why the task failed or was set aside.
	Reason string `json:"reason,omitempty"`
	// Result is the output of a finished task, in base64.
	Result []byte `json:"result,omitempty"`
	// Stale marks a state read from a replica that has lost contact with the leader.
	Stale bool `json:"stale,omitempty"`
}
