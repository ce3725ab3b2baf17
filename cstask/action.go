package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Worker is a VM as its home node last observed it. The scheduler gets every VM of the region, also those that do not
// serve, so that it knows the largest size.
type Worker struct {
	VM   csmodel.VMID
	Pool csmodel.PoolID // the pool that the VM currently belongs to
	Zone csmodel.AvailabilityZone
	Rack csmodel.Rack
	// CPU and Memory are the total capacity.
	CPU    csmodel.MilliCPU
	Memory csmodel.Bytes
	// FreeCPU and FreeMemory are the capacity that was unused at the time of the report. It may be negative.
	FreeCPU     csmodel.MilliCPU
	FreeMemory  csmodel.Bytes
	Serving     bool
	Quarantined bool
	// Reported is the time of the report. Reports lag behind the table.
	Reported time.Time
	Running  []Running
}

// Running is a task that a worker reports as running, with its usage.
type Running struct {
	Task  csmodel.TaskID
	Fence csmodel.Fence
	Used  Usage
}

// Action is what the scheduler wants done. The set is sealed.
type Action interface{ action() }

// Propose asks to propose a command to the region's group.
type Propose struct{ Command Command }

// Throttle asks the VM to slow the task down, or to end that when Off is set.
type Throttle struct {
	VM    csmodel.VMID
	Task  csmodel.TaskID
	Fence csmodel.Fence
	Off   bool
}

// TakeCheckpoint asks the VM to checkpoint the task, stop it and propose Checkpoint with Release and Used, so that it
// moves to a VM with room for what it used.
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
