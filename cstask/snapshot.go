package cstask

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/csmodel"
)

// snapshot is the encoded form of a table.
type snapshot struct {
	Limits   Limits           `cbor:"1,keyasint"`
	Revision csmodel.Revision `cbor:"2,keyasint"`
	Now      int64            `cbor:"3,keyasint"`
	Sequence uint64           `cbor:"4,keyasint"`
	Floor    int64            `cbor:"5,keyasint"`
	Teams    []TeamLimit      `cbor:"6,keyasint"`
	Tasks    []savedTask      `cbor:"7,keyasint"`
	Ended    []savedEnded     `cbor:"8,keyasint"`
	Sizes    []savedSizes     `cbor:"9,keyasint"`
}

type savedTask struct {
	_        struct{} `cbor:",toarray"`
	ID       csmodel.TaskID
	Job      csmodel.JobID
	Team     csmodel.TeamID
	CPU      csmodel.MilliCPU
	Memory   csmodel.Bytes
	Runtime  int64
	Deadline int64
	Accepted int64
	Digest   uint64
	Payload  []byte
	Fence    csmodel.Fence
	State    State
	Reason   Reason
	Sequence uint64
	Run      *savedRun
}

type savedRun struct {
	_            struct{} `cbor:",toarray"`
	VM           csmodel.VMID
	Since        int64
	Expiry       int64
	Checkpoint   []byte
	CheckpointAt int64
	Sequence     uint64
	Peak         Usage
	Workers      []csmodel.VMID
	Finals       int
	Overruns     int
	Failures     int
	Message      string
}

type savedEnded struct {
	_        struct{} `cbor:",toarray"`
	ID       csmodel.TaskID
	Job      csmodel.JobID
	Team     csmodel.TeamID
	Digest   uint64
	Deadline int64
	Accepted int64
	At       int64
	Fence    csmodel.Fence
	Result   []byte
	Message  string
	State    State
}

type savedSizes struct {
	_       struct{} `cbor:",toarray"`
	Job     csmodel.JobID
	Updated uint64
	CPU     bars
	Memory  bars
	Runtime bars
}

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{
		Limits: t.limits, Revision: t.revision, Now: t.now, Sequence: t.sequence, Floor: t.history.floor,
		Tasks: make([]savedTask, 0, len(t.tasks)),
		Ended: make([]savedEnded, 0, len(t.history.records)),
	}
	for _, r := range t.tasks {
		s.Tasks = append(s.Tasks, r.save())
	}
	slices.SortFunc(s.Tasks, func(a, b savedTask) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, id := range csmodel.SortedKeys(t.history.records) {
		s.Ended = append(s.Ended, t.history.records[id].save())
	}
	for _, id := range csmodel.SortedKeys(t.teams) {
		if limit := t.teams[id].limit; limit > 0 {
			s.Teams = append(s.Teams, TeamLimit{Team: id, Tasks: limit})
		}
	}
	for _, id := range csmodel.SortedKeys(t.jobs) {
		if z := t.jobs[id].sizes; z != nil {
			s.Sizes = append(s.Sizes, savedSizes{Job: id, Updated: z.updated, CPU: pack(z.cpu), Memory: pack(z.memory), Runtime: pack(z.runtime)})
		}
	}
	return cscodec.Marshal(s)
}

// Restore replaces the table with a snapshot. The table is unchanged when it returns an error.
func (t *Table) Restore(data []byte) error {
	var s snapshot
	if err := cscodec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	t.reset(s.Limits)
	t.revision, t.now, t.sequence, t.history.floor = s.Revision, s.Now, s.Sequence, s.Floor
	for _, l := range s.Teams {
		t.team(l.Team).limit = l.Tasks
	}
	for _, z := range s.Sizes {
		t.restoreSizes(z)
	}
	for _, saved := range s.Tasks {
		t.restoreTask(saved)
	}
	for _, e := range s.Ended {
		t.history.add(e.load())
	}
	return nil
}

func (t *Table) restoreSizes(z savedSizes) {
	n := newSizes()
	n.updated = z.Updated
	n.cpu, n.memory, n.runtime = z.CPU.unpack(n.cpu), z.Memory.unpack(n.memory), z.Runtime.unpack(n.runtime)
	n.refresh()
	t.job(z.Job).sizes = n
	t.learned++
}

func (t *Table) restoreTask(s savedTask) {
	r := s.load()
	r.job, r.team = t.job(s.Job), t.team(s.Team)
	r.job.unfinished++
	r.team.unfinished++
	t.bytes += r.size()
	t.tasks[r.id] = r
	switch s.State {
	case StateLeased:
		t.hold(r, s.Run.VM, s.Run.Since, s.Run.Expiry)
	case StateSetAside:
		t.aside++
	default:
		t.queue.push(r)
	}
}

func (r *record) save() savedTask {
	s := savedTask{
		ID: r.id, Job: r.job.id, Team: r.team.id, CPU: r.cpu, Memory: r.memory, Runtime: int64(r.runtime),
		Deadline: r.deadline, Accepted: r.accepted, Digest: r.digest, Payload: r.payload, Fence: r.fence,
		State: r.state, Reason: r.reason, Sequence: r.sequence,
	}
	if a := r.run; a != nil {
		s.Run = &savedRun{
			VM: a.vm, Since: a.since, Expiry: a.expiry, Checkpoint: a.checkpoint, CheckpointAt: a.checkpointAt, Sequence: a.sequence,
			Peak: a.peak, Workers: a.workers, Finals: a.finals, Overruns: a.overruns, Failures: a.failures, Message: a.message,
		}
	}
	return s
}
