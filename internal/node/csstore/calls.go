package csstore

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csadmit"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Timeouts of calls.
const (
	jobTimeout    = 2500 * time.Millisecond // clients wait 3 s
	beatTimeout   = 900 * time.Millisecond  // targets try another store after 1 s
	readTimeout   = 900 * time.Millisecond  // operators try another store after 1 s
	changeTimeout = 2500 * time.Millisecond // below the time in which an order has to be acknowledged
)

// answer handles the calls of other processes.
func (s *Store) answer(from csmodel.NodeID, m csrpc.Method, payload []byte) []byte {
	<-s.opened
	switch m {
	case csrpc.MethodJob:
		head, err := csrpc.Decode[csrpc.JobHead](payload)
		if err == nil && head.Action == csrpc.ActionSubmit {
			cost := callCost(len(payload), head.Steps)
			a, entered := s.enter(from, head, cost)
			if !entered {
				return csrpc.Encode(a)
			}
			defer s.admission.leave(cost)
		}
		request, err := csrpc.Decode[csrpc.JobRequest](payload)
		if err != nil {
			s.log.Warn("malformed call", zap.String("peer", string(from)), zap.Error(err))
			return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultInvalid})
		}
		return csrpc.Encode(s.job(from, request))
	case csrpc.MethodBeat:
		beat, err := csrpc.Decode[csrun.Heartbeat](payload)
		return s.answerTarget(from, err, func(ctx context.Context) error { return s.leader.Heartbeat(ctx, beat) })
	case csrpc.MethodLeave:
		life, err := csrpc.Decode[csjob.Incarnation](payload)
		return s.answerTarget(from, err, func(ctx context.Context) error { return s.leader.Leave(ctx, life) })
	case csrpc.MethodLeader:
		return csrpc.Encode(s.leaderAnswer())
	default:
		s.log.Warn("unknown call", zap.String("peer", string(from)), zap.Uint8("method", uint8(m)))
		return nil
	}
}

func (s *Store) leaderAnswer() csrpc.LeaderAnswer {
	status := s.group.Status()
	a := csrpc.LeaderAnswer{Leader: status.Leader, Term: status.Term}
	for _, m := range status.Members {
		a.Stores = append(a.Stores, m.Node)
	}
	replica{s}.View(func(t *csjob.Table) { a.Ready, a.Keys = t.Config() != nil, t.RequiresKeys() })
	a.Ready, a.Keys = a.Ready && status.Leading, a.Keys && status.Leading
	return a
}

func (s *Store) answerTarget(from csmodel.NodeID, err error, f func(context.Context) error) []byte {
	if err != nil {
		s.log.Warn("malformed call", zap.String("peer", string(from)), zap.Error(err))
		return csrpc.Encode(csrpc.TargetAnswer{})
	}
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		s.log.Info("announcement not taken", zap.String("peer", string(from)), zap.Error(err))
		return csrpc.Encode(csrpc.TargetAnswer{Leader: s.group.Status().Leader})
	}
	return csrpc.Encode(csrpc.TargetAnswer{Taken: true})
}

// job answers the request of a client account on the leader.
func (s *Store) job(from csmodel.NodeID, request csrpc.JobRequest) csrpc.JobAnswer {
	started := s.options.Clock.Now()
	status := s.group.Status()
	if !status.Leading {
		return csrpc.JobAnswer{Result: csrpc.ResultMoved, Leader: status.Leader}
	}
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	j := jobCall{store: s, ctx: ctx, request: request}
	a := j.run()
	a.Key, a.Prefix = j.check, j.uniform
	// Entries log requests with unknown keys, a bounded number per second.
	if request.Action != csrpc.ActionState && a.Result != csrpc.ResultUnauthorized {
		s.log.Info("job request", zap.String("job", string(j.id)), zap.Uint8("action", uint8(request.Action)),
			zap.String("entry", string(from)), zap.String("queue", j.queue.Name), zap.String("account", string(j.account)),
			zap.Uint8("result", uint8(a.Result)), zap.Int64("config", j.version), zap.Duration("waited", waited(request, j.queue.Timeout)),
			zap.Duration("after", s.options.Clock.Now().Sub(started)), zap.String("refused", j.decision.Reason.String()))
	}
	return a
}

// jobCall is one request of a client account.
type jobCall struct {
	store   *Store
	ctx     context.Context
	request csrpc.JobRequest
	queue   csjob.Queue
	version int64
	id      csjob.ID
	// decision tells why a submission was refused.
	decision csadmit.Decision
	known    bool              // the job is known and belongs to the account
	account  csmodel.AccountID // that has the key of the request
	check    csjob.KeyCheck
	uniform  string // prefix of all paths for which the check holds, or empty
}

func (j *jobCall) run() csrpc.JobAnswer {
	a := csrpc.JobAnswer{Result: csrpc.ResultNoQueue}
	err := replica{j.store}.Read(j.ctx, func(t *csjob.Table) { a = j.look(t) })
	if err != nil {
		return csrpc.JobAnswer{Result: csrpc.ResultMoved, Leader: j.store.group.Status().Leader}
	}
	if a.Result != 0 {
		return a
	}
	switch j.request.Action {
	case csrpc.ActionSubmit:
		job := *j.request.Job
		job.ID, job.Queue, job.Waited = j.id, j.queue.Key, waited(j.request, j.queue.Timeout)
		job.Account = j.owner()
		return j.submit(job)
	default:
		return j.cancel()
	}
}

// waited returns how long the client account has been sending a request. The time that the operator grants requests of the
// queue bounds the estimate of the entry, so that clients that name longer ones do not make the others look late.
func waited(r csrpc.JobRequest, granted time.Duration) time.Duration {
	return min(r.Waited, max(0, granted-r.Remaining))
}

// idLength is the length of a job's identifier: 64 bits in hexadecimal.
const idLength = 16

// look answers what needs no change. A zero result asks for one.
func (j *jobCall) look(t *csjob.Table) csrpc.JobAnswer {
	config := t.Config()
	if config == nil {
		return csrpc.JobAnswer{Result: csrpc.ResultNoConfig}
	}
	j.version = config.Version
	q := t.Route(j.request.Host, j.request.Path)
	if q == nil {
		return csrpc.JobAnswer{Result: csrpc.ResultNoQueue}
	}
	j.queue = *q
	j.id = csjob.ID(j.request.Path[len(q.Key.Prefix):])
	j.checkKey(t, q)
	job := t.Job(j.id)
	mine := job != nil && job.Submission.Queue == q.Key && t.MayAccess(job, j.account)
	j.known = mine
	switch {
	case j.check == csjob.KeyUnknown:
		return csrpc.JobAnswer{Result: csrpc.ResultUnauthorized}
	case j.id == "" && j.request.Action == csrpc.ActionState:
		return csrpc.JobAnswer{Result: csrpc.ResultDone, Queue: true, Pending: t.Pending(q.Key)}
	case j.request.Action == csrpc.ActionSubmit && len(j.id) != idLength:
		return csrpc.JobAnswer{Result: csrpc.ResultInvalid}
	case j.request.Action == csrpc.ActionSubmit && mine:
		return csrpc.JobAnswer{Result: csrpc.ResultDone, State: job.State}
	case j.request.Action == csrpc.ActionSubmit && (job != nil || j.request.Job == nil || j.request.Job.ValidateSteps() != nil):
		return csrpc.JobAnswer{Result: csrpc.ResultInvalid}
	case j.request.Action == csrpc.ActionSubmit && config.MaxBody > 0 && j.request.Size > config.MaxBody:
		return csrpc.JobAnswer{Result: csrpc.ResultInvalid}
	case j.request.Action == csrpc.ActionSubmit && j.exceedsQuota(t):
		return csrpc.JobAnswer{Result: csrpc.ResultInvalid}
	case j.request.Action == csrpc.ActionSubmit:
		return csrpc.JobAnswer{}
	case !mine && j.request.Action == csrpc.ActionCancel && len(j.id) == idLength:
		return csrpc.JobAnswer{} // recorded, because the submission may still be on its way
	case !mine:
		return csrpc.JobAnswer{Result: csrpc.ResultNoJob}
	case j.request.Action == csrpc.ActionState || job.State.Final():
		return csrpc.JobAnswer{Result: csrpc.ResultDone, State: job.State}
	default:
		return csrpc.JobAnswer{}
	}
}

// checkKey finds the client account of the request.
func (j *jobCall) checkKey(t *csjob.Table, q *csjob.Queue) {
	j.account, j.check = t.CheckKey(q, j.request.Key)
	// Entries use the prefix only where keys are required, and only for keys that are not known.
	if t.RequiresKeys() && j.check != csjob.KeyKnown && t.Uniform(q) {
		j.uniform = q.Key.Prefix
	}
}

// owner returns the account that a submitted job belongs to. Jobs of open queues belong to none, whatever key the request has.
func (j *jobCall) owner() csmodel.AccountID {
	if j.check == csjob.KeyKnown {
		return j.account
	}
	return ""
}

func (j *jobCall) propose(c csjob.Command) csrpc.JobAnswer {
	v, err := replica{j.store}.Propose(j.ctx, c)
	switch {
	case errors.Is(err, csgroup.ErrNoLeader) || errors.Is(err, csgroup.ErrRefused):
		return csrpc.JobAnswer{Result: csrpc.ResultMoved, Leader: j.store.group.Status().Leader}
	case err != nil:
		return csrpc.JobAnswer{Result: csrpc.ResultUnknown}
	case v == csjob.Accepted:
		return csrpc.JobAnswer{Result: csrpc.ResultDone}
	case v == csjob.UnknownQueue:
		return csrpc.JobAnswer{Result: csrpc.ResultNoQueue}
	case v == csjob.UnknownJob:
		return csrpc.JobAnswer{Result: csrpc.ResultNoJob}
	case v == csjob.Unauthorized:
		return csrpc.JobAnswer{Result: csrpc.ResultUnauthorized}
	default:
		return csrpc.JobAnswer{Result: csrpc.ResultInvalid}
	}
}

// Beat takes in a heartbeat of a target and returns the IP address of the store that should get the next one: the one that
// calls the target, or the leader where that is not known.
func (s *Store) Beat(ctx context.Context, b csrun.Heartbeat) (string, error) {
	<-s.opened
	status := s.group.Status()
	if !s.acknowledges(status, b) {
		err := s.announce(ctx, status.Leader, csrpc.MethodBeat, b, func(ctx context.Context) error { return s.leader.Heartbeat(ctx, b) })
		if err != nil {
			return "", err
		}
	}
	next, known := csrpc.StoreIP(s.relay.Responsible(b.Target))
	if !known {
		next, _ = csrpc.StoreIP(status.Leader)
	}
	return next, nil
}

// acknowledges tells whether this store may acknowledge a heartbeat itself: it changes nothing in the table, and the leader,
// which gets it with the next report, has been heard from lately.
func (s *Store) acknowledges(status csgroup.Status, b csrun.Heartbeat) bool {
	if status.Leader == s.self || status.Leader == "" || s.options.Clock.Now().Sub(status.LastContact) >= leaderLease {
		return false
	}
	var recorded csjob.Target
	var known bool
	replica{s}.View(func(t *csjob.Table) { recorded, known = t.Target(b.Target.Incarnation.Target) })
	if !known || b.DiffersFrom(recorded) {
		return false
	}
	return s.relay.Sign(status.Leader, csrun.SignOfLife{Incarnation: b.Target.Incarnation, Sequence: b.Sequence})
}

// Leave takes in the end of a target.
func (s *Store) Leave(ctx context.Context, l csjob.Incarnation) error {
	<-s.opened
	return s.announce(ctx, s.group.Status().Leader, csrpc.MethodLeave, l, func(ctx context.Context) error { return s.leader.Leave(ctx, l) })
}

// announce hands an announcement of a target to the leader.
func (s *Store) announce(ctx context.Context, leader csmodel.NodeID, m csrpc.Method, v any, local func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if leader == s.self {
		return local(ctx)
	}
	if leader == "" {
		return ErrUnavailable
	}
	b, err := s.calls.Call(ctx, leader, m, csrpc.Encode(v))
	if err != nil {
		return err
	}
	a, err := csrpc.Decode[csrpc.TargetAnswer](b)
	if err != nil {
		return err
	}
	if !a.Taken {
		return ErrUnavailable
	}
	return nil
}

// Configure commits a configuration.
func (s *Store) Configure(ctx context.Context, c csjob.Config) (csjob.Verdict, error) {
	return s.change(ctx, csjob.Command{Config: &c})
}

// AddWave commits an order for maintenance.
func (s *Store) AddWave(ctx context.Context, w csjob.Wave) error {
	v, err := s.change(ctx, csjob.Command{Wave: &w})
	if err == nil && v != csjob.Accepted {
		return ErrUnavailable
	}
	return err
}

func (s *Store) change(ctx context.Context, c csjob.Command) (csjob.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	v, err := replica{s}.Propose(ctx, c)
	if errors.Is(err, csgroup.ErrNoLeader) || errors.Is(err, csgroup.ErrRefused) {
		return v, errors.Join(ErrUnavailable, err)
	}
	return v, err
}

// Configuration returns the newest configuration as the operator sent it, and nil where there is none.
func (s *Store) Configuration(ctx context.Context) ([]byte, error) {
	var document []byte
	err := s.read(ctx, func(t *csjob.Table) {
		if c := t.Config(); c != nil {
			document = c.Document
		}
	})
	return document, err
}

// Wave tells whether a wave is known and completed.
func (s *Store) Wave(ctx context.Context, id csmodel.WaveID) (known, completed bool, err error) {
	err = s.read(ctx, func(t *csjob.Table) {
		if w := t.Wave(id); w != nil {
			known, completed = true, w.Completed()
		}
	})
	return known, completed, err
}

func (s *Store) read(ctx context.Context, f func(*csjob.Table)) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := (replica{s}).Read(ctx, f); err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	return nil
}
