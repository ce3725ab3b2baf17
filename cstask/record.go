package cstask

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// record is an unfinished task. Times are Unix nanoseconds to save memory, because a table holds tens of thousands of
// records.
type record struct {
	id       csmodel.TaskID
	job      *job
	team     *team
	cpu      csmodel.MilliCPU
	memory   csmodel.Bytes
	runtime  time.Duration
	deadline int64
	accepted int64
	digest   uint64
	payload  []byte
	fence    csmodel.Fence
	state    State
	reason   Reason
	// sequence orders the waiting tasks by their entry into the queue; previous and next link them in that order.
	sequence       uint64
	previous, next *record
	run            *runState // nil before the first lease
}

// runState is the part of a record that a task has from its first lease on: its lease, checkpoint and failures.
type runState struct {
	vm            csmodel.VMID
	leasedAt      int64 // start of the lease
	expiry        int64
	index         int // index in the vmLeases of the VM
	checkpoint    []byte
	checkpointAt  int64
	sequence      uint64 // of the checkpoint under the current fence
	peak          Usage
	failedVMs     []csmodel.VMID // different VMs on which attempts were lost or failed
	finalFailures int            // how many of failedVMs reported a final failure
	overruns      int            // how many of failedVMs stopped the task for overrunning
	failures      int            // attempts that were lost or failed, on any VM
	message       string
}

// ended is the compact record of a task in a final state.
type endedRecord struct {
	id       csmodel.TaskID
	job      csmodel.JobID
	team     csmodel.TeamID
	digest   uint64
	deadline int64
	accepted int64
	endedAt  int64
	fence    csmodel.Fence
	result   []byte
	message  string
	state    State
	next     *endedRecord // in the same bucket
}

type team struct {
	id         csmodel.TeamID
	limit      int
	unfinished int
}

type job struct {
	id         csmodel.JobID
	unfinished int
	estimator  *usageEstimator
}

func (r *record) ensureRun() *runState {
	if r.run == nil {
		r.run = &runState{}
	}
	return r.run
}

func (r *record) storedBytes() int {
	n := len(r.payload)
	if r.run != nil {
		n += len(r.run.checkpoint)
	}
	return n
}

func (r *record) view() Task {
	t := Task{
		ID: r.id, Job: r.job.id, Team: r.team.id,
		CPU: r.cpu, Memory: r.memory, Runtime: r.runtime,
		Deadline: fromNanos(r.deadline), Accepted: fromNanos(r.accepted),
		Payload: r.payload, State: r.state, Reason: r.reason, Fence: r.fence,
	}
	if r.run == nil {
		return t
	}
	if r.state == StateLeased {
		t.VM = r.run.vm
		t.Expiry = fromNanos(r.run.expiry)
	}
	t.Checkpoint = r.run.checkpoint
	t.CheckpointAt = fromNanos(r.run.checkpointAt)
	t.Peak = r.run.peak
	t.FailedVMs = slices.Clone(r.run.failedVMs)
	t.Message = r.run.message
	return t
}

func (e *endedRecord) view() Task {
	return Task{
		ID: e.id, Job: e.job, Team: e.team, Deadline: fromNanos(e.deadline), Accepted: fromNanos(e.accepted),
		State: e.state, Fence: e.fence, Message: e.message, Ended: fromNanos(e.endedAt), Result: e.result,
	}
}

func (u *Usage) raiseTo(o Usage) {
	u.CPU = max(u.CPU, o.CPU)
	u.Memory = max(u.Memory, o.Memory)
	u.Runtime = max(u.Runtime, min(o.Runtime, MaxRuntime))
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
