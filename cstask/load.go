package cstask

import "time"

func (s savedTask) load() *record {
	r := &record{
		id: s.ID, cpu: s.CPU, memory: s.Memory, runtime: time.Duration(s.Runtime),
		deadline: s.Deadline, accepted: s.Accepted, digest: s.Digest, payload: s.Payload, fence: s.Fence,
		state: s.State, reason: s.Reason, sequence: s.Sequence,
	}
	if a := s.Run; a != nil {
		r.run = &run{
			checkpoint: a.Checkpoint, checkpointAt: a.CheckpointAt, sequence: a.Sequence, peak: a.Peak,
			workers: a.Workers, finals: a.Finals, overruns: a.Overruns, failures: a.Failures, message: a.Message,
		}
	}
	return r
}

func (e *ended) save() savedEnded {
	return savedEnded{
		ID: e.id, Job: e.job, Team: e.team, Digest: e.digest, Deadline: e.deadline, Accepted: e.accepted, At: e.at,
		Fence: e.fence, Result: e.result, Message: e.message, State: e.state,
	}
}

func (s savedEnded) load() *ended {
	return &ended{
		id: s.ID, job: s.Job, team: s.Team, digest: s.Digest, deadline: s.Deadline, accepted: s.Accepted, at: s.At,
		fence: s.Fence, result: s.Result, message: s.Message, state: s.State,
	}
}
