package csstore

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csadmit"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// submit commits a submission unless it is refused.
func (j *jobCall) submit(job csjob.Submission) csrpc.JobAnswer {
	s := j.store
	now := s.options.Clock.Now()
	owner, need := job.Owner(), job.Footprint().Total()
	s.admission.reserve(owner, need)
	defer s.admission.release(owner, need)
	refusable := s.admission.begin(now, j.id)
	j.decision = s.decide(now, j.queue, job, need, refusable)
	if j.decision.Reason == csadmit.None {
		a := j.propose(csjob.Command{Submit: &job})
		if a.Result == csrpc.ResultUnknown {
			s.options.Clock.AfterFunc(doubtTime, func() { s.admission.end(j.id) })
		} else {
			s.admission.end(j.id)
		}
		return a
	}
	s.admission.end(j.id)
	s.admission.record(s.log, j.queue.Pool, j.id, j.decision)
	switch {
	case !refusable:
		return csrpc.JobAnswer{Result: csrpc.ResultUnknown} // an earlier submission of the job may still be committed
	case j.decision.Reason == csadmit.OutOfMemory:
		return csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: j.decision.Retry}
	default:
		return csrpc.JobAnswer{Result: csrpc.ResultRefused, Retry: j.decision.Retry}
	}
}

// cancel commits a cancellation. That of an unknown job takes memory, so it may be refused.
func (j *jobCall) cancel() csrpc.JobAnswer {
	s := j.store
	ref := csjob.JobRef{Queue: j.queue.Key, ID: j.id, Account: j.account}
	if !j.known {
		need := ref.Footprint().Total()
		s.admission.reserve(csjob.Owner{}, need)
		defer s.admission.release(csjob.Owner{}, need)
		var sizes tableSizes
		replica{s}.View(func(t *csjob.Table) { sizes = sizesOf(t, csjob.Owner{}) })
		j.decision = s.admission.decideMemory(s.options.Clock.Now(), j.id, csjob.Owner{}, need, sizes)
		if j.decision.Reason != csadmit.None {
			s.admission.record(s.log, j.queue.Pool, j.id, j.decision)
			return csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: j.decision.Retry}
		}
	}
	return j.propose(csjob.Command{Cancel: &ref})
}

// undecoded is what a store knows of a submission before it is decoded.
type undecoded struct {
	id    csjob.ID
	queue csjob.Queue
	owner csjob.Owner
	sizes tableSizes
	// isNew is set if this store leads, the request may submit jobs to the queue, and the job is not known.
	isNew bool
}

func (s *Store) lookAhead(h csrpc.JobHead) undecoded {
	var u undecoded
	leading := s.group.Status().Leading
	replica{s}.View(func(t *csjob.Table) {
		q := t.Route(h.Host, h.Path)
		if q == nil {
			return
		}
		j := jobCall{request: csrpc.JobRequest{Key: h.Key}}
		j.checkKey(t, q)
		u.queue, u.id = *q, csjob.ID(h.Path[len(q.Key.Prefix):])
		u.owner = (&csjob.Submission{Queue: q.Key, Account: j.owner()}).Owner()
		u.sizes = sizesOf(t, u.owner)
		u.isNew = leading && j.check != csjob.KeyUnknown && len(u.id) == idLength && t.Job(u.id) == nil
	})
	return u
}

// enter reserves memory for a submission while it is decoded and answered. Without it, or if its owner has no memory for a job of as many
// steps, it returns the answer and false. Otherwise the caller must call admission.leave.
func (s *Store) enter(from csmodel.NodeID, h csrpc.JobHead, cost csmodel.Bytes) (csrpc.JobAnswer, bool) {
	u := s.lookAhead(h)
	now := s.options.Clock.Now()
	refusable := false
	var d csadmit.Decision
	if u.isNew {
		refusable = s.admission.begin(now, u.id)
		defer s.admission.end(u.id)
	}
	if refusable {
		need := csjob.LeastFootprint(h.Steps).Total()
		s.admission.reserve(u.owner, need)
		d = s.admission.decideMemory(now, u.id, u.owner, need, u.sizes)
		s.admission.release(u.owner, need)
	}
	if d.Reason == csadmit.None && !s.admission.enter(cost) {
		d = csadmit.DecideBusy(u.id)
	}
	if d.Reason == csadmit.None {
		return csrpc.JobAnswer{}, true
	}
	a := csrpc.JobAnswer{Result: csrpc.ResultBusy, Retry: d.Retry}
	if !refusable {
		a = csrpc.JobAnswer{Result: csrpc.ResultUnknown} // the job may be known, or be committed by another call
	}
	s.admission.record(s.log, u.queue.Pool, u.id, d)
	s.log.Info("job request", zap.String("job", string(u.id)), zap.Uint8("action", uint8(h.Action)), zap.String("entry", string(from)),
		zap.String("queue", u.queue.Name), zap.String("account", string(u.owner.Account)), zap.Uint8("result", uint8(a.Result)),
		zap.String("refused", d.Reason.String()))
	return a, false
}

// decide decides whether a submission is refused, for which need bytes are reserved. Another call may commit it between the last look at the
// table and begin, so an accepted job is looked for once more. One that is not refusable is only kept from a store without memory.
func (s *Store) decide(now time.Time, q csjob.Queue, job csjob.Submission, need csmodel.Bytes, refusable bool) csadmit.Decision {
	known := false
	var sizes tableSizes
	replica{s}.View(func(t *csjob.Table) { known, sizes = t.Job(job.ID) != nil, sizesOf(t, job.Owner()) })
	if known {
		return csadmit.Decision{}
	}
	d := s.admission.decideMemory(now, job.ID, job.Owner(), need, sizes)
	if d.Reason != csadmit.None || !refusable {
		return d
	}
	a := s.leader.Admission()
	if a == nil {
		return csadmit.Decision{}
	}
	return csadmit.Decide(now, a.Backlog(q.Pool), q, job, a.Estimator)
}
