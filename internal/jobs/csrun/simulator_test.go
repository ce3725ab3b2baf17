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

// heldStart is a start that is carried out when the test releases it. Its answer is lost.
type heldStart struct {
	target csjob.Target
	order  csrun.StartOrder
}

// faults sets the faults that are injected into calls and runs. lostAnswers, lateOrders and failedRuns are probabilities.
type faults struct {
	lostAnswers float64       // an answer is lost
	lateOrders  float64       // an order is carried out with a delay and its answer is lost
	failedRuns  float64       // a run fails
	hang        bool          // a call whose answer is lost returns at its timeout, not immediately
	pollDelay   time.Duration // delay of the answers to polls
}

// targetSimulator simulates targets according to the platform's documentation, and records their runs and violations of the rules.
type targetSimulator struct {
	mu          sync.Mutex
	random      *rand.Rand
	faults      faults
	targets     map[string]*simulatedTarget // by address
	jobs        map[csjob.ID]csjob.Submission
	maxAttempts int // maximum attempts of a task
	runs        []*observedRun
	// firstRunTime is the run time of the first run; zero is the declared one, as for all others.
	firstRunTime time.Duration
	violations   []string
	hold         func(csjob.Target, csrun.StartOrder) bool // selects the starts to hold; nil selects none
	held         []heldStart
	// lapseVoidsEnds permits another run of a task whose end was not acknowledged before the lease expired, as the
	// platform's rules do.
	lapseVoidsEnds bool
	pollGate       chan struct{} // blocks the next poll until it is closed, if not nil
}

// releaseHeldStarts carries out the held starts. They reach the target that now has the address.
func (w *targetSimulator) releaseHeldStarts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.held {
		w.start(h.target, h.order)
	}
	w.held = nil
}

// simulatedTarget is a simulated target.
type simulatedTarget struct {
	incarnation      csjob.Incarnation
	resources        csjob.Resources
	started          time.Time
	running          map[csjob.TaskKey]*observedRun
	highestEnded     map[csjob.TaskKey]csjob.Attempt // highest attempt that was stopped or has ended
	ended            []csrun.RunEnd
	lastEndNumber    int64
	acknowledged     int64
	leaseEnd         time.Duration
	endAdded         chan struct{}
	failsRuns        bool          // all its runs fail
	unreachable      bool          // unreachable, and its heartbeats are lost
	noHeartbeats     bool          // sends no heartbeats
	dropsCalls       bool          // sends heartbeats, but calls don't reach it
	unhealthy        bool          // refuses all calls as unhealthy
	fence            csmodel.Fence // highest fence received
	resetConnections int           // number of polls whose connection was closed by the restart
	clockDrift       float64       // fraction by which the clock is slower than real time
	lastLapse        time.Duration // end of the last expired lease
}

type observedRun struct {
	task      csjob.TaskKey
	attempt   csjob.Attempt
	target    *simulatedTarget
	startedAt time.Time
	outcome   csjob.Outcome
	finished  bool
	number    int64
	endedAt   time.Duration // on the clock of its target
	endVoid   bool          // the lease expired before the end was acknowledged
}

func (w *targetSimulator) violationf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (k *simulatedTarget) clock() time.Duration {
	return time.Duration((1 - k.clockDrift) * float64(time.Since(k.started)))
}

func newSimulatedTarget(id csjob.TargetID, resources csjob.Resources) *simulatedTarget {
	now := time.Now()
	return &simulatedTarget{
		incarnation: csjob.Incarnation{Target: id, StartedAtMs: now.UnixMilli()}, resources: resources, started: now, endAdded: make(chan struct{}, 1),
		running: map[csjob.TaskKey]*observedRun{}, highestEnded: map[csjob.TaskKey]csjob.Attempt{},
	}
}

// loseAnswer returns the error of a call whose answer is lost. With faults.hang it first waits for the caller's timeout.
func (w *targetSimulator) loseAnswer(ctx context.Context) error {
	if w.faults.hang {
		<-ctx.Done()
	}
	return csrun.ErrNoAnswer
}

// deliver carries out a call immediately, with a delay or without an answer, according to the faults. A delayed call is lost
// if its target restarts.
func (w *targetSimulator) deliver(ctx context.Context, t csjob.Target, f func() csrun.Reply) (csrun.Reply, error) {
	reply, answered := w.execute(t, f)
	if !answered {
		return csrun.Reply{}, w.loseAnswer(ctx)
	}
	return reply, nil
}

func (w *targetSimulator) execute(t csjob.Target, f func() csrun.Reply) (reply csrun.Reply, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	draw := w.random.Float64()
	receiver := w.targets[t.Address]
	if receiver != nil && (receiver.unreachable || receiver.dropsCalls) {
		return csrun.Reply{}, false
	}
	switch {
	case draw < w.faults.lateOrders:
		delay := time.Duration(w.random.IntN(400)) * time.Millisecond
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.targets[t.Address] == receiver {
				f()
			}
		})
		return csrun.Reply{}, false
	case draw < w.faults.lateOrders+w.faults.lostAnswers:
		f()
		return csrun.Reply{}, false
	default:
		return f(), true
	}
}

// targetAt returns the target that an order reaches, or nil if the address belongs to another target.
func (w *targetSimulator) targetAt(t csjob.Target) *simulatedTarget {
	k := w.targets[t.Address]
	if k == nil || k.incarnation.Target != t.Incarnation.Target {
		return nil
	}
	return k
}

// Start implements csrun.TargetClient.
func (w *targetSimulator) Start(ctx context.Context, t csjob.Target, o csrun.StartOrder) (csrun.Reply, error) {
	w.mu.Lock()
	hold := w.hold != nil && w.hold(t, o)
	if hold {
		w.held = append(w.held, heldStart{t, o})
	}
	w.mu.Unlock()
	if hold {
		return csrun.Reply{}, csrun.ErrNoAnswer
	}
	return w.deliver(ctx, t, func() csrun.Reply { return w.start(t, o) })
}

// admit returns the target that a call reaches, and the reply with the reason for a refusal, if any.
func (w *targetSimulator) admit(t csjob.Target, f csmodel.Fence) (*simulatedTarget, csrun.Reply) {
	k := w.targetAt(t)
	if k == nil {
		return nil, csrun.Reply{Refusal: csrun.RefusedWrongTarget}
	}
	reply := csrun.Reply{Clock: k.clock()}
	switch {
	case k.unhealthy:
		reply.Refusal = csrun.RefusedUnhealthy
	case f < k.fence:
		reply.Refusal = csrun.RefusedFence
	default:
		k.fence = f
	}
	return k, reply
}

// start carries out a start. The lease of a target covers all its runs, so a start is refused as late only if no newer order
// has extended the lease.
func (w *targetSimulator) start(t csjob.Target, o csrun.StartOrder) csrun.Reply {
	k, reply := w.admit(t, o.Fence)
	if reply.Refusal != csrun.NotRefused {
		return reply
	}
	w.expireLease(k)
	if r := k.running[o.Task]; r != nil && r.attempt == o.Attempt {
		return reply
	}
	if o.Attempt <= k.highestEnded[o.Task] || k.running[o.Task] != nil {
		reply.Refusal = csrun.RefusedStaleAttempt
		return reply
	}
	k.leaseEnd = max(k.leaseEnd, o.LeaseEnd)
	if k.leaseEnd <= k.clock() {
		reply.Refusal = csrun.RefusedLeaseExpired
		return reply
	}
	w.beginRun(k, o)
	return reply
}

// beginRun starts a run and checks the rules that the start can violate.
func (w *targetSimulator) beginRun(k *simulatedTarget, o csrun.StartOrder) {
	r := &observedRun{task: o.Task, attempt: o.Attempt, target: k, startedAt: time.Now()}
	w.checkStart(r)
	k.running[o.Task] = r
	w.runs = append(w.runs, r)
	used := csjob.Resources{}
	for key := range k.running {
		used = used.Add(w.jobs[key.Job].Steps[key.Step].Needs())
	}
	if !k.resources.Fits(used) {
		w.violationf("%s: runs exceed the resources of the target: %+v", k.incarnation.Target, used)
	}
	step := w.jobs[o.Task.Job].Steps[o.Task.Step]
	if step.LongRunning {
		return
	}
	runTime := step.Estimate
	if len(w.runs) == 1 && w.firstRunTime > 0 {
		runTime = w.firstRunTime
	}
	time.AfterFunc(runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLease(k)
		outcome := csjob.OutcomeDone
		if k.failsRuns || w.random.Float64() < w.faults.failedRuns {
			outcome = csjob.OutcomeFailed
		}
		w.endRun(k, r, outcome)
	})
}

func (w *targetSimulator) checkStart(r *observedRun) {
	failed := 0
	for _, k := range w.targets {
		w.expireLease(k)
	}
	for _, o := range w.runs {
		if o.task != r.task {
			continue
		}
		switch {
		case !o.finished && w.targets[addressOf(o.target.incarnation.Target)] == o.target:
			w.violationf("%s: two concurrent runs", r.task)
		case o.finished && o.outcome == csjob.OutcomeDone && w.endLost(o):
			// It ended on a target that has crashed before the end was acknowledged.
		case o.finished && o.outcome == csjob.OutcomeDone && w.lapseVoidsEnds && w.endVoided(o):
		case o.finished && o.outcome == csjob.OutcomeDone:
			w.violationf("%s: started again after it was done", r.task)
		case o.finished && o.outcome == csjob.OutcomeFailed && !w.endLost(o):
			failed++
		}
	}
	if failed >= w.maxAttempts && !w.jobs[r.task.Job].Steps[r.task.Step].LongRunning {
		w.violationf("%s: started after %d failures", r.task, failed)
	}
	for _, before := range w.jobs[r.task.Job].Steps[r.task.Step].After {
		if !w.stepDone(r.task, before) {
			w.violationf("%s: started before step %d was done", r.task, before)
		}
	}
}

// endVoided reports whether the lease of a run's target expired between the end of the run and its acknowledgement.
func (w *targetSimulator) endVoided(r *observedRun) bool {
	r.endVoid = r.endVoid || (r.number > r.target.acknowledged && r.target.lastLapse >= r.endedAt)
	return r.endVoid
}

// endLost reports whether the target crashed before the end of a run was acknowledged.
func (w *targetSimulator) endLost(r *observedRun) bool {
	return w.targets[addressOf(r.target.incarnation.Target)] != r.target && r.number > r.target.acknowledged
}

func (w *targetSimulator) stepDone(k csjob.TaskKey, step int) bool {
	done := map[int]bool{}
	for _, o := range w.runs {
		if o.task.Job == k.Job && o.task.Step == step && o.finished && o.outcome == csjob.OutcomeDone {
			done[o.task.Index] = true
		}
	}
	return len(done) == w.jobs[k.Job].Steps[step].Tasks
}

func (w *targetSimulator) endRun(k *simulatedTarget, r *observedRun, outcome csjob.Outcome) {
	if k.running[r.task] != r {
		return
	}
	delete(k.running, r.task)
	r.finished, r.outcome = true, outcome
	k.highestEnded[r.task] = max(k.highestEnded[r.task], r.attempt)
	k.lastEndNumber++
	r.number, r.endedAt = k.lastEndNumber, k.clock()
	k.ended = append(k.ended, csrun.RunEnd{Number: k.lastEndNumber, Task: r.task, Attempt: r.attempt, Outcome: outcome})
	select {
	case k.endAdded <- struct{}{}:
	default:
	}
}

// expireLease ends all runs of a target if its lease has expired.
func (w *targetSimulator) expireLease(k *simulatedTarget) {
	if k.leaseEnd > k.clock() {
		return
	}
	k.lastLapse = k.leaseEnd
	for _, r := range k.running {
		w.endRun(k, r, csjob.OutcomeLost)
	}
}

// Stop implements csrun.TargetClient.
func (w *targetSimulator) Stop(ctx context.Context, t csjob.Target, o csrun.StopOrder) (csrun.Reply, error) {
	return w.deliver(ctx, t, func() csrun.Reply {
		k, reply := w.admit(t, o.Fence)
		if reply.Refusal != csrun.NotRefused {
			return reply
		}
		k.highestEnded[o.Task] = max(k.highestEnded[o.Task], o.Attempt)
		if r := k.running[o.Task]; r != nil && r.attempt <= o.Attempt {
			w.checkAvailability(r)
			w.endRun(k, r, csjob.OutcomeStopped)
		}
		return reply
	})
}

// checkAvailability checks that enough tasks of a long-running step remain after a stop.
func (w *targetSimulator) checkAvailability(r *observedRun) {
	step := w.jobs[r.task.Job].Steps[r.task.Step]
	if step.MaxUnavailable == 0 {
		return
	}
	running := 0
	for _, k := range w.targets {
		for key := range k.running {
			if key.Job == r.task.Job && key.Step == r.task.Step && key != r.task {
				running++
			}
		}
	}
	if unavailable := step.Tasks - 1 - running; unavailable >= step.MaxUnavailable {
		w.violationf("%s: stopped while %d other tasks of its step are unavailable", r.task, unavailable)
	}
}

// Poll implements csrun.TargetClient.
func (w *targetSimulator) Poll(ctx context.Context, t csjob.Target, o csrun.PollRequest) (csrun.PollResponse, error) {
	w.mu.Lock()
	if gate := w.pollGate; gate != nil {
		w.pollGate = nil
		w.mu.Unlock()
		<-gate
		w.mu.Lock()
	}
	k := w.targetAt(t)
	lost := w.random.Float64() < w.faults.lostAnswers
	if k != nil && (k.resetConnections > 0 || k.unreachable || k.dropsCalls) {
		k.resetConnections--
		w.mu.Unlock()
		return csrun.PollResponse{}, csrun.ErrNoAnswer
	}
	if k != nil {
		if _, reply := w.admit(t, o.Fence); reply.Refusal != csrun.NotRefused {
			w.mu.Unlock()
			return csrun.PollResponse{Reply: reply}, nil
		}
		w.expireLease(k)
		for _, r := range w.runs {
			if r.target == k {
				w.endVoided(r)
			}
		}
		k.leaseEnd = max(k.leaseEnd, o.LeaseEnd)
		k.acknowledged = max(k.acknowledged, o.Acknowledged)
		k.ended = slices.DeleteFunc(k.ended, func(e csrun.RunEnd) bool { return e.Number <= o.Acknowledged })
	}
	wait, delay := k != nil && len(k.ended) == 0 && o.Wait > 0, w.faults.pollDelay
	w.mu.Unlock()
	if k == nil {
		return csrun.PollResponse{Reply: csrun.Reply{Refusal: csrun.RefusedWrongTarget}}, nil
	}
	if wait {
		select {
		case <-k.endAdded:
		case <-time.After(o.Wait):
		case <-ctx.Done():
		}
	}
	if lost {
		return csrun.PollResponse{}, w.loseAnswer(ctx)
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return csrun.PollResponse{}, csrun.ErrNoAnswer
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	response := csrun.PollResponse{Reply: csrun.Reply{Clock: k.clock()}, StartedAtMs: k.incarnation.StartedAtMs, Ended: slices.Clone(k.ended)}
	for key, r := range k.running {
		response.Running = append(response.Running, csrun.Progress{Task: key, Attempt: r.attempt, Percent: 100})
	}
	return response, nil
}

func addressOf(id csjob.TargetID) string { return "10.0.0." + string(id) }
