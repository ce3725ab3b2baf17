package cstask

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// record is an unfinished task. Times are Unix nanoseconds, because a table holds tens of thousands of records.
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
	// sequence orders the waiting tasks by the time at which they entered the queue; previous and next link them.
	sequence       uint64
	previous, next *record
	run            *run // nil before the first lease
}

// run is the part of a record that only tasks with attempts have.
type run struct {
	vm           csmodel.VMID
	since        int64 // start of the lease
	expiry       int64
	slot         int // index in the holder of the VM
	checkpoint   []byte
	checkpointAt int64
	sequence     uint64 // of the checkpoint under the current fence
	peak         Usage
	workers      []csmodel.VMID // different VMs on which attempts were lost or failed
	finals       int            // how many of them reported a final failure
	overruns     int            // how many of them were stopped for overrunning
	failures     int            // attempts that were lost or failed, on any VM
	message      string
}

// ended is the compact record of a task in a final state.
type ended struct {
	id       csmodel.TaskID
	job      csmodel.JobID
	team     csmodel.TeamID
	digest   uint64
	deadline int64
	accepted int64
	at       int64
	fence    csmodel.Fence
	result   []byte
	message  string
	state    State
	next     *ended // in the same bucket
}

type team struct {
	id         csmodel.TeamID
	limit      int
	unfinished int
}

type job struct {
	id         csmodel.JobID
	unfinished int
	sizes      *sizes
}

func (r *record) attempt() *run {
	if r.run == nil {
		r.run = &run{}
	}
	return r.run
}

func (r *record) size() int {
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
	t.Workers = slices.Clone(r.run.workers)
	t.Message = r.run.message
	return t
}

func (e *ended) view() Task {
	return Task{
		ID: e.id, Job: e.job, Team: e.team, Deadline: fromNanos(e.deadline), Accepted: fromNanos(e.accepted),
		State: e.state, Fence: e.fence, Message: e.message, Ended: fromNanos(e.at), Result: e.result,
	}
}

func (u *Usage) raise(o Usage) {
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
