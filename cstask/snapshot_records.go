package cstask

import "time"

func (s savedTask) load() *record {
	r := &record{
		id: s.ID, cpu: s.CPU, memory: s.Memory, runtime: time.Duration(s.Runtime),
		deadline: s.Deadline, accepted: s.Accepted, digest: s.Digest, payload: s.Payload, fence: s.Fence,
		state: s.State, reason: s.Reason, sequence: s.Sequence,
	}
	if saved := s.Run; saved != nil {
		r.run = &runState{
			checkpoint: saved.Checkpoint, checkpointAt: saved.CheckpointAt, sequence: saved.Sequence, peak: saved.Peak,
			failedVMs: saved.FailedVMs, finalFailures: saved.FinalFailures, overruns: saved.Overruns,
			failures: saved.Failures, message: saved.Message,
		}
	}
	return r
}

func (e *endedRecord) save() savedEnded {
	return savedEnded{
		ID: e.id, Job: e.job, Team: e.team, Digest: e.digest, Deadline: e.deadline, Accepted: e.accepted, EndedAt: e.endedAt,
		Fence: e.fence, Result: e.result, Message: e.message, State: e.state,
	}
}

func (s savedEnded) load() *endedRecord {
	return &endedRecord{
		id: s.ID, job: s.Job, team: s.Team, digest: s.Digest, deadline: s.Deadline, accepted: s.Accepted, endedAt: s.EndedAt,
		fence: s.Fence, result: s.Result, message: s.Message, state: s.State,
	}
}
