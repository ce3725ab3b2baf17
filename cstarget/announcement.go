// Package cstarget keeps the targets that announce themselves to a node. A target is the process on a VM that runs
// attempts, and its home node is the entry node that it announces to. The home node keeps a soft-state record of each target,
// leases the target's slots to the nodes that send attempts, and quarantines targets whose attempts fail.
//
// The package is deterministic: the current time is an argument and nothing depends on map order.
package cstarget

import (
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// maxTargetSlots is the largest number of slots that a target may announce.
const maxTargetSlots = 1024

// Announcement is the body of POST /v1/targets, the heartbeat that a target sends to its home node.
type Announcement struct {
	ID          csmodel.VMID             `json:"id"`
	Incarnation csmodel.Incarnation      `json:"incarnation"`
	Sequence    uint64                   `json:"sequence"`
	Address     string                   `json:"address"`
	Zone        csmodel.AvailabilityZone `json:"zone"`
	Rack        csmodel.Rack             `json:"rack"`
	Pool        csmodel.PoolID           `json:"pool"` // the pool that the VM is prepared for
	Fence       csmodel.Fence            `json:"fence"`
	Slots       int                      `json:"slots"`
	Connections int                      `json:"connections"`
	Cores       csmodel.MilliCPU         `json:"cores"`
	Memory      csmodel.Bytes            `json:"memory"`
	Leaving     bool                     `json:"leaving,omitempty"`
	// Moved is true in the first announcement to a different entry node within an incarnation and in all that follow until
	// that node has replied.
	Moved bool `json:"moved,omitempty"`
	// Running is the number of attempts in flight.
	Running int          `json:"running,omitempty"`
	Tasks   []TaskReport `json:"tasks,omitempty"`
}

// ErrInvalidAnnouncement is returned for an announcement that lacks a required field or has one out of range.
var ErrInvalidAnnouncement = errors.New("invalid announcement")

// Validate checks the fields that the registry relies on. It returns ErrInvalidAnnouncement if one is missing or out of
// range.
func (a Announcement) Validate() error {
	switch {
	case a.ID == "", a.Address == "", a.Pool == "":
		return ErrInvalidAnnouncement
	case a.Incarnation == 0, a.Sequence == 0:
		return ErrInvalidAnnouncement
	case a.Slots < 0, a.Slots > maxTargetSlots, a.Connections < 0, a.Running < 0:
		return ErrInvalidAnnouncement
	default:
		return nil
	}
}

// TaskState is the state of a deferred task on a target.
type TaskState string

// States of a deferred task on a target.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskReport is the state of one deferred task in an announcement. The target repeats the report of a task that has ended
// until a reply acknowledges it.
type TaskReport struct {
	ID         csmodel.TaskID   `json:"id"`
	Fence      csmodel.Fence    `json:"fence"`
	State      TaskState        `json:"state"`
	CPU        csmodel.MilliCPU `json:"cpu,omitempty"`
	Memory     csmodel.Bytes    `json:"memory,omitempty"`
	Checkpoint []byte           `json:"checkpoint,omitempty"`
	Result     []byte           `json:"result,omitempty"`
}

// TaskAck acknowledges the report of a deferred task that has ended.
type TaskAck struct {
	ID    csmodel.TaskID `json:"id"`
	Fence csmodel.Fence  `json:"fence"`
}

// StartTask is the body of POST /tasks/{id}, which starts a deferred task on a target.
type StartTask struct {
	Job        csmodel.JobID `json:"job"`
	Fence      csmodel.Fence `json:"fence"`
	Payload    []byte        `json:"payload,omitempty"`
	Checkpoint []byte        `json:"checkpoint,omitempty"`
}

// AnnounceReply is the response to an Announcement. Durations are in nanoseconds.
type AnnounceReply struct {
	Node csmodel.NodeID `json:"node"`
	// Interval is the time until the next announcement.
	Interval time.Duration `json:"interval"`
	// Lease is the time without an announcement after which the target counts as lost.
	Lease time.Duration  `json:"lease"`
	Pool  csmodel.PoolID `json:"pool,omitempty"` // the pool that owns the VM, empty if unknown
	Fence csmodel.Fence  `json:"fence,omitempty"`
	// Nodes are the HTTP addresses of the entry nodes to fail over to, in order.
	Nodes []string  `json:"nodes,omitempty"`
	Acks  []TaskAck `json:"acks,omitempty"`
}
