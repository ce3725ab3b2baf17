package csrun

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Parameters of a simulated deployment: four pools that are busy in turn, and long-running tasks beside them.
const (
	simTargets        = 349
	simPools          = 4
	simJobsPerTarget  = 90.0 / simTargets // per second
	simBusyPhase      = 5 * time.Second   // busy phase of one pool
	simBusyShare      = 0.7               // fraction of the jobs that go to the busy pool
	simTick           = 2 * time.Millisecond
	simCommitTime     = 8 * time.Millisecond
	simSurveyInterval = 100 * time.Millisecond
	simTerm           = 1
)

var simTiming = Timing{
	Lease: 5 * time.Second, LongestLease: 5 * time.Second, HeartbeatInterval: time.Second, CallTimeout: 5 * time.Second,
	MinPollInterval: 100 * time.Millisecond, PollWait: time.Second,
}

// simulation drives a runner in simulated time, with in-memory targets and an in-memory consensus group. It handles the
// messages of the runner itself, so that their CPU time is measured separately from that of the simulation.
type simulation struct {
	clockwork.Clock
	now           time.Time
	size          int        // number of targets
	jobRandom     *rand.Rand // for jobs
	callRandom    *rand.Rand // for calls and commits, guarded by mu
	r             *runner
	messages      chan any
	timers        []simTimer
	table         csjob.Table
	index         csmodel.Index
	jobs          int
	jobsDue       float64
	lastHeartbeat time.Time
	held          csmodel.Set[csjob.Incarnation]
	surveyedAt    time.Time
	roundTime     time.Duration // simulated duration of a round
	fleetRounds   int           // rounds
	noArrivals    bool          // true if no jobs arrive
	heldTargets   int           // number of targets whose VM is about to be reclaimed; a different set each second
	runTimeSigma  float64       // standard deviation of the logarithm of a run time
	commitTime    time.Duration // from a proposal until its commit
	refusalRate   float64       // probability that decisions are not committed
	speculative   float64       // share of the steps that allow copies
	// unevenRunTime changes the run time of a run. It may be nil.
	unevenRunTime func(csjob.Target, StartOrder, time.Duration) time.Duration
	accounts      int // number of client accounts, to which jobs belong in turn; zero for none

	mu           sync.Mutex
	targets      map[csjob.TargetID]*simTarget
	order        []*simTarget
	commits      []*simProposal
	waitingPolls int // polls that wait for a run to end

	handlingTime time.Duration // CPU time of handling messages
	applyTime    time.Duration // CPU time of encoding and applying commands
	rounds       int
	starts       int
	ends         int
}

func newSimulation(log *zap.Logger) *simulation { return newSimulationOf(simTargets, log) }

// newSimulationOf returns a simulation with the given number of targets, and with jobs in proportion.
func newSimulationOf(size int, log *zap.Logger) *simulation {
	sim := &simulation{
		size: size, Clock: clockwork.NewRealClock(), now: time.Unix(1_800_000_000, 0).UTC(), jobRandom: rand.New(rand.NewPCG(1, 1)), callRandom: rand.New(rand.NewPCG(2, 1)),
		messages: make(chan any, 1<<16), targets: map[csjob.TargetID]*simTarget{}, held: csmodel.NewSet[csjob.Incarnation](),
		runTimeSigma: 0.2, commitTime: simCommitTime,
	}
	system := actor.NewActorSystem(cslog.Actors(zap.NewNop()))
	leader := &Leader{root: system.Root, options: Options{
		State: sim, Workers: sim, Clock: sim, Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Timing: simTiming, Fleet: sim,
	}}
	leader.demand.Store(&demandSnapshot{})
	leader.pid = system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *roundDue, *replicaReady, *pollResult, *orderResult, *commitResult, *restartFenced:
			sim.messages <- m
		}
	}))
	sim.r = newRunner(leader)
	sim.populate()
	sim.r.beginTerm(simTerm)
	return sim
}

func newSimulationLog() *zap.Logger {
	log, err := cslog.New("info", io.Discard)
	if err != nil {
		panic(err) // the level is constant
	}
	return log
}

func poolName(n int) csmodel.PoolID { return csmodel.PoolID(fmt.Sprintf("pool-%d", n)) }

// queueKey returns the key of a pool's queue for one kind of job: 0 for short batch tasks, 1 for long
// batch tasks, 2 for long-running tasks.
func queueKey(pool, kind int) csjob.QueueKey {
	return csjob.QueueKey{Host: fmt.Sprintf("queue-%d.example.org", pool), Prefix: fmt.Sprintf("/kind-%d/jobs/", kind)}
}

// populate commits the configuration, the targets and the long-running tasks.
func (sim *simulation) populate() {
	config := csjob.Config{Version: 1}
	for p := range simPools {
		config.Pools = append(config.Pools, csjob.Pool{ID: poolName(p)})
		for k := range 3 {
			config.Queues = append(config.Queues, csjob.Queue{
				Key: queueKey(p, k), Name: fmt.Sprintf("queue-%d-%d", p, k), Pool: poolName(p), Attempts: 3, Stretch: 1.6,
				Objective: 600 * time.Millisecond, Timeout: time.Minute,
			})
		}
	}
	sim.commit(csjob.Command{Config: &config})
	for n := range sim.size {
		id := csjob.TargetID(fmt.Sprintf("target-%04d", n))
		w := &simTarget{running: map[csjob.TaskKey]simRun{}, record: csjob.Target{
			Incarnation: csjob.Incarnation{Target: id, StartedAtMs: 1}, Pool: poolName(n % simPools), Address: fmt.Sprintf("10.1.%d.%d:8080", n/250, n%250),
			Zone: csmodel.AvailabilityZone(fmt.Sprintf("zone-%d", n/simPools%4)), Rack: fmt.Sprintf("rack-%d", n/12),
			Resources: csjob.Resources{CPU: 16000, Memory: 65536},
		}}
		sim.targets[id] = w
		sim.order = append(sim.order, w)
		sim.commit(csjob.Command{Targets: []csjob.TargetEvent{{Target: w.record}}})
	}
	for p := range simPools {
		sim.submit(queueKey(p, 2), csjob.Step{
			Tasks: 24, Resources: csjob.Resources{CPU: 1000, Memory: 4096}, MaxPerTarget: 3, LongRunning: true, MaxUnavailable: 3,
		})
	}
}

func (sim *simulation) submit(q csjob.QueueKey, steps ...csjob.Step) {
	sim.jobs++
	id := csjob.ID(fmt.Sprintf("%016x", sim.jobs))
	sim.commit(csjob.Command{Submit: &csjob.Submission{ID: id, Queue: q, Spec: "spec of a job", Steps: steps, Account: sim.accountOf(sim.jobs)}})
}

// submitArrivals submits the jobs that arrive in one tick.
func (sim *simulation) submitArrivals() {
	for sim.jobsDue += simJobsPerTarget * float64(sim.size) * simTick.Seconds(); sim.jobsDue >= 1; sim.jobsDue-- {
		pool := int(sim.now.Unix()/int64(simBusyPhase.Seconds())) % simPools
		if sim.jobRandom.Float64() > simBusyShare {
			pool = sim.jobRandom.IntN(simPools)
		}
		kind, s := 0, csjob.Step{Tasks: 8, Resources: csjob.Resources{CPU: 2000, Memory: 2048}, Estimate: 800 * time.Millisecond}
		count := 1 + sim.jobRandom.IntN(5)/2
		if sim.jobRandom.IntN(8) == 0 {
			kind, count = 1, 2
			s.Resources.CPU, s.Estimate = 4400, 2100*time.Millisecond
		}
		s.Estimate = time.Duration(float64(s.Estimate) * (0.7 + 0.6*sim.jobRandom.Float64()))
		s.Speculative = sim.speculative > 0 && sim.jobRandom.Float64() < sim.speculative
		steps := []csjob.Step{s}
		for n := 1; n < count; n++ {
			s.After = []int{n - 1}
			steps = append(steps, s)
		}
		sim.submit(queueKey(pool, kind), steps...)
	}
}

// Now and AfterFunc implement the clock of the runner.
func (sim *simulation) Now() time.Time {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.now
}

func (sim *simulation) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.timers = append(sim.timers, simTimer{sim.now.Add(d), f})
	return nil
}

// encode returns an encoded command and the CPU time of encoding it.
func encode(c csjob.Command) ([]byte, time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	startedAt := threadTime()
	b, err := c.Encode()
	if err != nil {
		panic(err) // every command can be encoded
	}
	return b, threadTime() - startedAt
}

// threadTime returns the CPU time of this thread. Unlike wall-clock time it excludes time used by other processes.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}

func (sim *simulation) commit(c csjob.Command) csjob.Verdict {
	b, encodeTime := encode(c)
	return sim.apply(b, encodeTime)
}

// apply applies an encoded command. encodeTime is the CPU time of its encoding.
func (sim *simulation) apply(b []byte, encodeTime time.Duration) csjob.Verdict {
	if sim.r != nil {
		defer sim.r.leader.Changed()
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	startedAt := threadTime()
	sim.index++
	v := csjob.ParseVerdict(sim.table.Apply(csraft.Entry{Index: sim.index, Term: simTerm, At: sim.now, Data: b}))
	sim.applyTime += encodeTime + threadTime() - startedAt
	return v
}

// View, Read, Propose and Leading implement State.
func (sim *simulation) View(f func(*csjob.Table)) { f(&sim.table) }

func (sim *simulation) Read(context.Context, func(*csjob.Table)) error { return nil }

func (sim *simulation) Leading() bool { return true }

func (sim *simulation) Propose(_ context.Context, c csjob.Command) (csjob.Verdict, error) {
	p := &simProposal{done: make(chan csjob.Verdict)}
	p.data, p.encodeTime = encode(c)
	sim.mu.Lock()
	p.at = sim.now.Add(sim.commitTime)
	refused := sim.callRandom.Float64() < sim.refusalRate
	if !refused {
		sim.commits = append(sim.commits, p)
	}
	sim.mu.Unlock()
	if refused {
		return csjob.Refused, ErrNotLeading
	}
	return <-p.done, nil
}

// Round, Evicting, EvictingSoon, MaintenanceDue, Ended and Reset implement Fleet. Round makes the queries of a fleet that moves no VMs.
func (sim *simulation) Round(r Round) {
	sim.mu.Lock()
	sim.now = sim.now.Add(sim.roundTime)
	sim.mu.Unlock()
	sim.fleetRounds++
	if r.Now.Sub(sim.surveyedAt) < simSurveyInterval {
		return
	}
	sim.surveyedAt = r.Now
	sim.held = csmodel.NewSet[csjob.Incarnation]()
	for n := range sim.heldTargets {
		sim.held.Add(sim.order[(int(r.Now.Unix())*sim.heldTargets+n)%len(sim.order)].record.Incarnation)
	}
	for _, w := range sim.order {
		if r.Usable(w.record.Incarnation) && r.Busy(w.record.Incarnation) {
			r.Load(w.record.Incarnation)
		}
	}
}

func (sim *simulation) Evicting() csmodel.Set[csjob.Incarnation] { return sim.held }

func (sim *simulation) EvictingSoon() csmodel.Set[csjob.Incarnation] { return nil }

func (sim *simulation) MaintenanceDue() csmodel.Set[csjob.Incarnation] { return nil }

func (sim *simulation) Ended(csjob.Incarnation) bool { return false }

func (sim *simulation) Reset() {}

// advance advances simulated time.
func (sim *simulation) advance(d time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.mu.Lock()
		sim.now = sim.now.Add(simTick)
		sim.endDueRuns()
		sim.mu.Unlock()
		if !sim.noArrivals {
			sim.submitArrivals()
		}
		sim.sendHeartbeats()
		for _, f := range sim.dueCallbacks() {
			f()
		}
		sim.handleMessages()
	}
}

// endDueRuns ends the runs and waits that are due.
func (sim *simulation) endDueRuns() {
	for _, w := range sim.order {
		for k, run := range w.running {
			if !run.ends.IsZero() && !run.ends.After(sim.now) {
				w.endRun(k, csjob.OutcomeDone)
				sim.ends++
			}
		}
		if w.pollWait != nil && (len(w.ended) > 0 || !w.pollWaitEnd.After(sim.now)) {
			close(w.pollWait)
			w.pollWait = nil
			sim.waitingPolls--
		}
	}
}

// dueCallbacks returns the callbacks of the timers and commits that are due.
func (sim *simulation) dueCallbacks() (out []func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	timers := sim.timers
	sim.timers = nil
	for _, t := range timers {
		if t.at.After(sim.now) {
			sim.timers = append(sim.timers, t)
			continue
		}
		out = append(out, t.f)
	}
	commits := sim.commits
	sim.commits = nil
	for _, p := range commits {
		if p.at.After(sim.now) {
			sim.commits = append(sim.commits, p)
			continue
		}
		out = append(out, func() { p.done <- sim.apply(p.data, p.encodeTime) })
	}
	return out
}

// sendHeartbeats sends the heartbeats of all targets once per interval.
func (sim *simulation) sendHeartbeats() {
	if sim.now.Sub(sim.lastHeartbeat) < simTiming.HeartbeatInterval {
		return
	}
	sim.lastHeartbeat = sim.now
	for _, w := range sim.order {
		sim.handle(&heartbeatReceived{heartbeat: Heartbeat{Target: w.record, Sequence: sim.now.UnixMilli(), Clock: sim.clock()}, done: make(chan error, 1)})
	}
}

// handleMessages handles messages until the only calls in flight are waiting polls.
func (sim *simulation) handleMessages() {
	for idle := 0; idle < 3; {
		select {
		case m := <-sim.messages:
			sim.handle(m)
			idle = 0
		default:
			sim.mu.Lock()
			waits := sim.waitingPolls
			sim.mu.Unlock()
			if sim.r.stats.inFlight <= waits {
				idle++
			}
			runtime.Gosched()
		}
	}
}

func (sim *simulation) handle(m any) {
	startedAt := threadTime()
	before := sim.r.stats.rounds
	sim.r.handle(m)
	sim.handlingTime += threadTime() - startedAt
	sim.rounds += max(0, sim.r.stats.rounds-before)
}
