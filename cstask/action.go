package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Worker is the state of a VM as last observed by its home node. The scheduler gets every VM of the region, including
// those that do not serve tasks, so that it knows the largest VM size.
type Worker struct {
	VM   csmodel.VMID
	Pool csmodel.PoolID // the pool that the VM currently belongs to
	Zone csmodel.AvailabilityZone
	Rack csmodel.Rack
	// CPU and Memory are the total capacity.
	CPU    csmodel.MilliCPU
	Memory csmodel.Bytes
	// FreeCPU and FreeMemory are the capacity that was unused at the time of the report. They may be negative.
	FreeCPU     csmodel.MilliCPU
	FreeMemory  csmodel.Bytes
	Serving     bool
	Quarantined bool
	// ReportedAt is the time of the report. A report may miss recent changes of the table.
	ReportedAt time.Time
	Running    []Running
}

// Running is a task that a worker reports as running, with its usage.
type Running struct {
	Task  csmodel.TaskID
	Fence csmodel.Fence
	Used  Usage
}

// Action is a request of the scheduler to its caller. The set of actions is sealed.
type Action interface{ action() }

// Propose asks the caller to propose a command to the region's replication group.
type Propose struct{ Command Command }

// Throttle asks the VM to slow the task down, or to end the throttling when Off is set.
type Throttle struct {
	VM    csmodel.VMID
	Task  csmodel.TaskID
	Fence csmodel.Fence
	Off   bool
}

// TakeCheckpoint asks the VM to checkpoint the task, stop it and propose Checkpoint with Release and Used, so that the task
// moves to a VM with enough capacity for its observed usage.
type TakeCheckpoint struct {
	VM    csmodel.VMID
	Task  csmodel.TaskID
	Fence csmodel.Fence
}

// Stop asks the VM to stop the task. When Overrun is set, the home node then proposes Fail with Overrun; otherwise the
// attempt is no longer leased and its result would be refused.
type Stop struct {
	VM      csmodel.VMID
	Task    csmodel.TaskID
	Fence   csmodel.Fence
	Overrun bool
}

func (Propose) action()        {}
func (Throttle) action()       {}
func (TakeCheckpoint) action() {}
func (Stop) action()           {}
