package csrun_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// held is a start that is carried out when the test releases it. Its answer is lost.
type held struct {
	target csjob.Target
	order  csrun.StartOrder
}

// faults are the probabilities of what goes wrong in one call or run.
type faults struct {
	lost float64       // the answer is lost
	late float64       // the order is carried out later and the answer is lost
	fail float64       // a run ends as failed
	hang bool          // a call whose answer is lost lasts until the caller gives up
	slow time.Duration // answers to looks arrive that much later
}

// world holds targets as the platform's pages describe them, and records what they see.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	faults  faults
	workers map[string]*worker // by address
	jobs    map[csjob.ID]csjob.Submission
	limit   int // attempts of a task
	runs    []*seenRun
	broken  []string
	hold    func(csjob.Target, csrun.StartOrder) bool // tells which starts are held; nil is none
	held    []held
	// lapsesVoid leaves out ends whose target's lease lapsed before they were noted, as the platform's rules do.
	lapsesVoid bool
	gate       chan struct{} // the next look is on its way until it is closed; nil is none
}

// release carries out the starts that were held. They reach whoever has the address by now.
func (w *world) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.held {
		w.start(h.target, h.order)
	}
	w.held = nil
}

// worker is one target.
type worker struct {
	life    csjob.Life
	room    csjob.Room
	started time.Time
	running map[csjob.TaskKey]*seenRun
	last    map[csjob.TaskKey]csjob.Attempt // highest attempt that was stopped or has ended
	ended   []csrun.Ended
	next    int64
	noted   int64
	until   time.Duration
	wake    chan struct{}
	dead    bool          // fails whatever it starts
	dark    bool          // neither answers nor announces itself
	mute    bool          // answers and does not announce itself
	deaf    bool          // announces itself, and no call reaches it
	ill     bool          // refuses all calls as unhealthy
	fence   csmodel.Fence // the highest one that was seen
	reset   int           // looks that find their connection closed by the restart
	drift   float64       // how much slower than real time the clock runs
	lapse   time.Duration // end of the last lease that lapsed
}

type seenRun struct {
	task    csjob.TaskKey
	attempt csjob.Attempt
	worker  *worker
	from    time.Time
	outcome csjob.Outcome
	over    bool
	number  int64
	ended   time.Duration // on the clock of its target
	void    bool          // the lease lapsed before the end was noted
}

func (w *world) reportf(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (k *worker) clock() time.Duration {
	return time.Duration((1 - k.drift) * float64(time.Since(k.started)))
}

func newWorker(id csjob.TargetID, room csjob.Room) *worker {
	now := time.Now()
	return &worker{
		life: csjob.Life{Target: id, Born: now.UnixMilli()}, room: room, started: now, wake: make(chan struct{}, 1),
		running: map[csjob.TaskKey]*seenRun{}, last: map[csjob.TaskKey]csjob.Attempt{},
	}
}

// unanswered waits as a caller does whose answer is lost.
func (w *world) unanswered(ctx context.Context) error {
	if w.faults.hang {
		<-ctx.Done()
	}
	return csrun.ErrNoAnswer
}

// deliver calls f at once, or later or without an answer as the faults say. What a target has received and not carried
// out yet is lost with it.
func (w *world) deliver(ctx context.Context, t csjob.Target, f func() csrun.Reply) (csrun.Reply, error) {
	reply, answered := w.carryOut(t, f)
	if !answered {
		return csrun.Reply{}, w.unanswered(ctx)
	}
	return reply, nil
}

func (w *world) carryOut(t csjob.Target, f func() csrun.Reply) (reply csrun.Reply, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	dice := w.random.Float64()
	receiver := w.workers[t.Address]
	if receiver != nil && (receiver.dark || receiver.deaf) {
		return csrun.Reply{}, false
	}
	switch {
	case dice < w.faults.late:
		delay := time.Duration(w.random.IntN(400)) * time.Millisecond
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.workers[t.Address] == receiver {
				f()
			}
		})
		return csrun.Reply{}, false
	case dice < w.faults.late+w.faults.lost:
		f()
		return csrun.Reply{}, false
	default:
		return f(), true
	}
}

// at returns the target that an order reaches, or nil where another one has the address.
func (w *world) at(t csjob.Target) *worker {
	k := w.workers[t.Address]
	if k == nil || k.life.Target != t.Life.Target {
		return nil
	}
	return k
}

// Start implements csrun.Workers.
func (w *world) Start(ctx context.Context, t csjob.Target, o csrun.StartOrder) (csrun.Reply, error) {
	w.mu.Lock()
	hold := w.hold != nil && w.hold(t, o)
	if hold {
		w.held = append(w.held, held{t, o})
	}
	w.mu.Unlock()
	if hold {
		return csrun.Reply{}, csrun.ErrNoAnswer
	}
	return w.deliver(ctx, t, func() csrun.Reply { return w.start(t, o) })
}

// admit returns the target that an order reaches, and why it refuses the order.
func (w *world) admit(t csjob.Target, f csmodel.Fence) (*worker, csrun.Reply) {
	k := w.at(t)
	if k == nil {
		return nil, csrun.Reply{Refusal: csrun.RefusedLife}
	}
	reply := csrun.Reply{Clock: k.clock()}
	switch {
	case k.ill:
		reply.Refusal = csrun.RefusedUnhealthy
	case f < k.fence:
		reply.Refusal = csrun.RefusedFence
	default:
		k.fence = f
	}
	return k, reply
}

// start carries out a start. The lease of a target covers all that runs there, so a start is late only where no newer
// order has extended the lease.
func (w *world) start(t csjob.Target, o csrun.StartOrder) csrun.Reply {
	k, reply := w.admit(t, o.Fence)
	if reply.Refusal != csrun.RefusedNot {
		return reply
	}
	w.expire(k)
	if r := k.running[o.Task]; r != nil && r.attempt == o.Attempt {
		return reply
	}
	if o.Attempt <= k.last[o.Task] || k.running[o.Task] != nil {
		reply.Refusal = csrun.RefusedOld
		return reply
	}
	k.until = max(k.until, o.Until)
	if k.until <= k.clock() {
		reply.Refusal = csrun.RefusedLate
		return reply
	}
	w.begin(k, o)
	return reply
}

// begin starts a run and checks the rules that a start can break.
func (w *world) begin(k *worker, o csrun.StartOrder) {
	r := &seenRun{task: o.Task, attempt: o.Attempt, worker: k, from: time.Now()}
	w.check(r)
	k.running[o.Task] = r
	w.runs = append(w.runs, r)
	used := csjob.Room{}
	for key := range k.running {
		used = used.Add(w.jobs[key.Job].Steps[key.Step].Needs())
	}
	if !k.room.Fits(used) {
		w.reportf("%s over its room: %+v", k.life.Target, used)
	}
	step := w.jobs[o.Task.Job].Steps[o.Task.Step]
	if step.Lasting {
		return
	}
	time.AfterFunc(step.Estimate, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire(k)
		outcome := csjob.OutcomeDone
		if k.dead || w.random.Float64() < w.faults.fail {
			outcome = csjob.OutcomeFailed
		}
		w.finish(k, r, outcome)
	})
}

func (w *world) check(r *seenRun) {
	failed := 0
	for _, k := range w.workers {
		w.expire(k)
	}
	for _, o := range w.runs {
		if o.task != r.task {
			continue
		}
		switch {
		case !o.over && w.workers[addressOf(o.worker.life.Target)] == o.worker:
			w.reportf("%s: two runs at the same time", r.task)
		case o.over && o.outcome == csjob.OutcomeDone && w.lost(o):
			// It ended on a target that has crashed before anyone could note it.
		case o.over && o.outcome == csjob.OutcomeDone && w.lapsesVoid && w.voided(o):
		case o.over && o.outcome == csjob.OutcomeDone:
			w.reportf("%s: started after it was done", r.task)
		case o.over && o.outcome == csjob.OutcomeFailed && !w.lost(o):
			failed++
		}
	}
	if failed >= w.limit && !w.jobs[r.task.Job].Steps[r.task.Step].Lasting {
		w.reportf("%s: started after %d failures", r.task, failed)
	}
	for _, before := range w.jobs[r.task.Job].Steps[r.task.Step].After {
		if !w.stepDone(r.task, before) {
			w.reportf("%s: started before step %d was done", r.task, before)
		}
	}
}

// voided tells whether the lease of a run's target lapsed between its end and the noting of it.
func (w *world) voided(r *seenRun) bool {
	r.void = r.void || (r.number > r.worker.noted && r.worker.lapse >= r.ended)
	return r.void
}

// lost tells whether the end of a run was not noted before its target crashed.
func (w *world) lost(r *seenRun) bool {
	return w.workers[addressOf(r.worker.life.Target)] != r.worker && r.number > r.worker.noted
}

func (w *world) stepDone(k csjob.TaskKey, step int) bool {
	done := map[int]bool{}
	for _, o := range w.runs {
		if o.task.Job == k.Job && o.task.Step == step && o.over && o.outcome == csjob.OutcomeDone {
			done[o.task.Index] = true
		}
	}
	return len(done) == w.jobs[k.Job].Steps[step].Tasks
}

func (w *world) finish(k *worker, r *seenRun, outcome csjob.Outcome) {
	if k.running[r.task] != r {
		return
	}
	delete(k.running, r.task)
	r.over, r.outcome = true, outcome
	k.last[r.task] = max(k.last[r.task], r.attempt)
	k.next++
	r.number, r.ended = k.next, k.clock()
	k.ended = append(k.ended, csrun.Ended{Number: k.next, Task: r.task, Attempt: r.attempt, Outcome: outcome})
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// expire ends all runs where the lease is over.
func (w *world) expire(k *worker) {
	if k.until > k.clock() {
		return
	}
	k.lapse = k.until
	for _, r := range k.running {
		w.finish(k, r, csjob.OutcomeLapsed)
	}
}

// Stop implements csrun.Workers.
func (w *world) Stop(ctx context.Context, t csjob.Target, o csrun.StopOrder) (csrun.Reply, error) {
	return w.deliver(ctx, t, func() csrun.Reply {
		k, reply := w.admit(t, o.Fence)
		if reply.Refusal != csrun.RefusedNot {
			return reply
		}
		k.last[o.Task] = max(k.last[o.Task], o.Attempt)
		if r := k.running[o.Task]; r != nil && r.attempt <= o.Attempt {
			w.checkAbsent(r)
			w.finish(k, r, csjob.OutcomeStopped)
		}
		return reply
	})
}

// checkAbsent checks that a stop leaves enough tasks of a step that lasts.
func (w *world) checkAbsent(r *seenRun) {
	step := w.jobs[r.task.Job].Steps[r.task.Step]
	if step.Absent == 0 {
		return
	}
	here := 0
	for _, k := range w.workers {
		for key := range k.running {
			if key.Job == r.task.Job && key.Step == r.task.Step && key != r.task {
				here++
			}
		}
	}
	if away := step.Tasks - 1 - here; away >= step.Absent {
		w.reportf("%s: stopped while %d others are away", r.task, away)
	}
}

// Look implements csrun.Workers.
func (w *world) Look(ctx context.Context, t csjob.Target, o csrun.LookOrder) (csrun.Look, error) {
	w.mu.Lock()
	if gate := w.gate; gate != nil {
		w.gate = nil
		w.mu.Unlock()
		<-gate
		w.mu.Lock()
	}
	k := w.at(t)
	lost := w.random.Float64() < w.faults.lost
	if k != nil && (k.reset > 0 || k.dark || k.deaf) {
		k.reset--
		w.mu.Unlock()
		return csrun.Look{}, csrun.ErrNoAnswer
	}
	if k != nil {
		if _, reply := w.admit(t, o.Fence); reply.Refusal != csrun.RefusedNot {
			w.mu.Unlock()
			return csrun.Look{Reply: reply}, nil
		}
		w.expire(k)
		for _, r := range w.runs {
			if r.worker == k {
				w.voided(r)
			}
		}
		k.until = max(k.until, o.Until)
		k.noted = max(k.noted, o.Noted)
		k.ended = slices.DeleteFunc(k.ended, func(e csrun.Ended) bool { return e.Number <= o.Noted })
	}
	wait, slow := k != nil && len(k.ended) == 0 && o.Wait > 0, w.faults.slow
	w.mu.Unlock()
	if k == nil {
		return csrun.Look{Reply: csrun.Reply{Refusal: csrun.RefusedLife}}, nil
	}
	if wait {
		select {
		case <-k.wake:
		case <-time.After(o.Wait):
		case <-ctx.Done():
		}
	}
	if lost {
		return csrun.Look{}, w.unanswered(ctx)
	}
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return csrun.Look{}, csrun.ErrNoAnswer
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	look := csrun.Look{Reply: csrun.Reply{Clock: k.clock()}, Born: k.life.Born, Ended: slices.Clone(k.ended)}
	for key, r := range k.running {
		look.Running = append(look.Running, csrun.Progress{Task: key, Attempt: r.attempt, Percent: 100})
	}
	return look, nil
}

func addressOf(id csjob.TargetID) string { return "10.0.0." + string(id) }
