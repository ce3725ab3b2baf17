// Package cstarget decides for the targets of a home node: soft-state records, slot leases and outcome-based quarantine.
//
// The package is deterministic: the current time is an argument and nothing depends on map order.
package cstarget

import (
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// maxSlots is the largest number of slots of a target.
const maxSlots = 1024

// Announcement is the body of POST /v1/targets, sent by a target to its home node.
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
	// Moved is true from the first announcement to another entry node than before, in this incarnation, until that node
	// has replied.
	Moved bool `json:"moved,omitempty"`
	// Running is the number of attempts in flight.
	Running int          `json:"running,omitempty"`
	Tasks   []TaskReport `json:"tasks,omitempty"`
}

// ErrAnnouncement is returned for an announcement that lacks a required field or has one out of range.
var ErrAnnouncement = errors.New("invalid announcement")

// Validate checks the fields that the registry relies on.
func (a Announcement) Validate() error {
	switch {
	case a.ID == "", a.Address == "", a.Pool == "":
		return ErrAnnouncement
	case a.Incarnation == 0, a.Sequence == 0:
		return ErrAnnouncement
	case a.Slots < 0, a.Slots > maxSlots, a.Connections < 0, a.Running < 0:
		return ErrAnnouncement
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

// TaskReport is what a target reports about one deferred task. A report of an ended task is repeated until the reply
// acknowledges it.
type TaskReport struct {
	ID         csmodel.TaskID   `json:"id"`
	Fence      csmodel.Fence    `json:"fence"`
	State      TaskState        `json:"state"`
	CPU        csmodel.MilliCPU `json:"cpu,omitempty"`
	Memory     csmodel.Bytes    `json:"memory,omitempty"`
	Checkpoint []byte           `json:"checkpoint,omitempty"`
	Result     []byte           `json:"result,omitempty"`
}

// TaskAck acknowledges the end of a deferred task.
type TaskAck struct {
	ID    csmodel.TaskID `json:"id"`
	Fence csmodel.Fence  `json:"fence"`
}

// Start is the body of POST /tasks/{id}, sent to a target.
type Start struct {
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
	// Lease is the time after which the target is considered lost without an announcement.
	Lease time.Duration  `json:"lease"`
	Pool  csmodel.PoolID `json:"pool,omitempty"` // the pool that owns the VM, empty where unknown
	Fence csmodel.Fence  `json:"fence,omitempty"`
	// Nodes are the HTTP addresses of the entry nodes to fail over to, in order.
	Nodes []string  `json:"nodes,omitempty"`
	Acks  []TaskAck `json:"acks,omitempty"`
}
