package cstask

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/csmodel"
)

// snapshot is the form of a table that is encoded. Times are Unix nanoseconds.
type snapshot struct {
	Limits          Limits           `cbor:"1,keyasint"`
	Revision        csmodel.Revision `cbor:"2,keyasint"`
	Now             int64            `cbor:"3,keyasint"`
	Sequence        uint64           `cbor:"4,keyasint"`
	EvictedDeadline int64            `cbor:"5,keyasint"`
	Teams           []TeamLimit      `cbor:"6,keyasint"`
	Tasks           []savedTask      `cbor:"7,keyasint"`
	Ended           []savedEnded     `cbor:"8,keyasint"`
	Estimators      []savedEstimator `cbor:"9,keyasint"`
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
	_             struct{} `cbor:",toarray"`
	VM            csmodel.VMID
	LeasedAt      int64
	Expiry        int64
	Checkpoint    []byte
	CheckpointAt  int64
	Sequence      uint64
	Peak          Usage
	FailedVMs     []csmodel.VMID
	FinalFailures int
	Overruns      int
	Failures      int
	Message       string
}

type savedEnded struct {
	_        struct{} `cbor:",toarray"`
	ID       csmodel.TaskID
	Job      csmodel.JobID
	Team     csmodel.TeamID
	Digest   uint64
	Deadline int64
	Accepted int64
	EndedAt  int64
	Fence    csmodel.Fence
	Result   []byte
	Message  string
	State    State
}

type savedEstimator struct {
	_       struct{} `cbor:",toarray"`
	Job     csmodel.JobID
	Updated uint64
	CPU     sparseHistogram
	Memory  sparseHistogram
	Runtime sparseHistogram
}

// Snapshot encodes the table. Equal tables have equal snapshots. It returns an error when the encoding fails.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{
		Limits: t.limits, Revision: t.revision, Now: t.now, Sequence: t.sequence, EvictedDeadline: t.history.evictedDeadline,
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
		if estimator := t.jobs[id].estimator; estimator != nil {
			s.Estimators = append(s.Estimators, savedEstimator{
				Job: id, Updated: estimator.updated, CPU: newSparseHistogram(estimator.cpu),
				Memory: newSparseHistogram(estimator.memory), Runtime: newSparseHistogram(estimator.runtime),
			})
		}
	}
	return cscodec.Marshal(s)
}

// Restore replaces the contents of the table with a snapshot. It returns ErrEncoding and leaves the table unchanged when the
// snapshot cannot be decoded.
func (t *Table) Restore(data []byte) error {
	var s snapshot
	if err := cscodec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	t.reset(s.Limits)
	t.revision, t.now, t.sequence, t.history.evictedDeadline = s.Revision, s.Now, s.Sequence, s.EvictedDeadline
	for _, l := range s.Teams {
		t.team(l.Team).limit = l.Tasks
	}
	for _, saved := range s.Estimators {
		t.restoreEstimator(saved)
	}
	for _, saved := range s.Tasks {
		t.restoreTask(saved)
	}
	for _, e := range s.Ended {
		t.history.add(e.load())
	}
	return nil
}

func (t *Table) restoreEstimator(saved savedEstimator) {
	estimator := newUsageEstimator()
	estimator.updated = saved.Updated
	estimator.cpu, estimator.memory, estimator.runtime =
		saved.CPU.expand(estimator.cpu), saved.Memory.expand(estimator.memory), saved.Runtime.expand(estimator.runtime)
	estimator.updateEstimate()
	t.job(saved.Job).estimator = estimator
	t.estimatorCount++
}

func (t *Table) restoreTask(s savedTask) {
	r := s.load()
	r.job, r.team = t.job(s.Job), t.team(s.Team)
	r.job.unfinished++
	r.team.unfinished++
	t.bytes += r.storedBytes()
	t.tasks[r.id] = r
	switch s.State {
	case StateLeased:
		t.addLease(r, s.Run.VM, s.Run.LeasedAt, s.Run.Expiry)
	case StateSetAside:
		t.setAsideCount++
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
	if run := r.run; run != nil {
		s.Run = &savedRun{
			VM: run.vm, LeasedAt: run.leasedAt, Expiry: run.expiry,
			Checkpoint: run.checkpoint, CheckpointAt: run.checkpointAt, Sequence: run.sequence, Peak: run.peak,
			FailedVMs: run.failedVMs, FinalFailures: run.finalFailures, Overruns: run.overruns,
			Failures: run.failures, Message: run.message,
		}
	}
	return s
}
