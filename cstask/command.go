package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Command is a replicated operation on the Table. The set of commands is sealed.
type Command interface {
	apply(t *Table, at time.Time) Result
	kind() commandKind
}

// Submit adds a task. It is idempotent by ID: a repeat returns the first acceptance, a repeat with other contents is
// refused as Conflict.
type Submit struct {
	ID  csmodel.TaskID `cbor:"1,keyasint"`
	Job csmodel.JobID  `cbor:"2,keyasint"`
	// Team is charged for the task until it ends.
	Team csmodel.TeamID `cbor:"3,keyasint"`
	// CPU, Memory and Runtime are the declared sizes. They may be far from the actual ones.
	CPU     csmodel.MilliCPU `cbor:"4,keyasint,omitempty"`
	Memory  csmodel.Bytes    `cbor:"5,keyasint,omitempty"`
	Runtime time.Duration    `cbor:"6,keyasint,omitempty"`
	// Deadline is required. A submission whose deadline is older than the retention is refused as DeadlineTooOld, so a record can
	// be removed once its deadline is that old.
	Deadline time.Time `cbor:"7,keyasint"`
	Payload  []byte    `cbor:"8,keyasint,omitempty"`
}

// Lease gives a waiting task to a VM until Expiry. Fence must equal the fence of the waiting task; the attempt runs
// under this fence.
type Lease struct {
	ID     csmodel.TaskID `cbor:"1,keyasint"`
	VM     csmodel.VMID   `cbor:"2,keyasint"`
	Fence  csmodel.Fence  `cbor:"3,keyasint"`
	Expiry time.Time      `cbor:"4,keyasint"`
}

// Renew extends every lease on the given VMs that has not expired, except those of the listed tasks. An expiry never
// moves back.
type Renew struct {
	VMs    []csmodel.VMID   `cbor:"1,keyasint"`
	Except []csmodel.TaskID `cbor:"2,keyasint,omitempty"`
	Expiry time.Time        `cbor:"3,keyasint"`
}

// Checkpoint records opaque progress of a leased task. A lower sequence under the same fence is refused as Stale.
type Checkpoint struct {
	ID       csmodel.TaskID `cbor:"1,keyasint"`
	Fence    csmodel.Fence  `cbor:"2,keyasint"`
	Sequence uint64         `cbor:"3,keyasint"`
	Data     []byte         `cbor:"4,keyasint,omitempty"`
	// Release also returns the task to the queue with the next fence, because the task moves to another VM.
	Release bool `cbor:"5,keyasint,omitempty"`
	// Used is the usage of the attempt so far.
	Used Usage `cbor:"6,keyasint,omitempty"`
}

// Finish ends a leased task successfully.
type Finish struct {
	ID    csmodel.TaskID `cbor:"1,keyasint"`
	Fence csmodel.Fence  `cbor:"2,keyasint"`
	// Result is kept with the ended record.
	Result []byte `cbor:"3,keyasint,omitempty"`
	// Used is the usage of the whole run. It updates the usage estimate of the job.
	Used Usage `cbor:"4,keyasint,omitempty"`
}

// Fail reports that an attempt failed. The task returns to the queue with the next fence, or is set aside when attempts
// on MaxFailedVMs different VMs failed or were lost, or after MaxFailures attempts.
type Fail struct {
	ID      csmodel.TaskID `cbor:"1,keyasint"`
	Fence   csmodel.Fence  `cbor:"2,keyasint"`
	Message string         `cbor:"3,keyasint,omitempty"`
	// Final states that the task cannot succeed. The task becomes StateFailed when a second VM reports the same, because
	// a faulty VM reports every task as failed.
	Final bool `cbor:"4,keyasint,omitempty"`
	// Overrun states that the scheduler stopped the attempt for overrunning.
	Overrun bool  `cbor:"5,keyasint,omitempty"`
	Used    Usage `cbor:"6,keyasint,omitempty"`
}

// Cancel ends a task that has not ended. It is idempotent and takes constant time.
type Cancel struct {
	ID csmodel.TaskID `cbor:"1,keyasint"`
}

// CancelBatch cancels up to MaxBatch tasks in one log entry. Result.Count is the number of tasks that it cancelled.
type CancelBatch struct {
	IDs []csmodel.TaskID `cbor:"1,keyasint"`
}

// SetAside dead-letters a waiting task: it leaves the queue. The task keeps its payload and checkpoint until it is
// retried or cancelled.
type SetAside struct {
	ID     csmodel.TaskID `cbor:"1,keyasint"`
	Fence  csmodel.Fence  `cbor:"2,keyasint"`
	Reason Reason         `cbor:"3,keyasint"`
}

// Retry returns a task that was set aside to the queue.
type Retry struct {
	ID    csmodel.TaskID `cbor:"1,keyasint"`
	Fence csmodel.Fence  `cbor:"2,keyasint"`
}

// Expire ends every lease past its expiry and returns the task to the queue with the next fence, or sets it aside under
// the same conditions as Fail. It also removes ended records past their retention. Result.Count is the number of expired
// leases.
type Expire struct{}

// Configure sets the teams' limits on unfinished tasks. A revision at or below the current one is refused as Stale.
type Configure struct {
	Revision csmodel.Revision `cbor:"1,keyasint"`
	Teams    []TeamLimit      `cbor:"2,keyasint"`
}

// TeamLimit is the largest number of unfinished tasks of a team. 0 means no limit.
type TeamLimit struct {
	Team  csmodel.TeamID `cbor:"1,keyasint"`
	Tasks int            `cbor:"2,keyasint"`
}

// Usage is the resource usage of an attempt: peak CPU, peak memory and run time.
type Usage struct {
	CPU     csmodel.MilliCPU `cbor:"1,keyasint,omitempty"`
	Memory  csmodel.Bytes    `cbor:"2,keyasint,omitempty"`
	Runtime time.Duration    `cbor:"3,keyasint,omitempty"`
}
