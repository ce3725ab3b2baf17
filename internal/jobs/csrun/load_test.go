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

// The load of a deployment of grown size: four pools that are busy by turns, and tasks that last beside them.
const (
	loadTargets = 349
	loadPools   = 4
	loadJobs    = 90 // a second
	loadTurn    = 5 * time.Second
	loadShare   = 0.7 // of the jobs that belong to the pool whose turn it is
	loadTick    = 2 * time.Millisecond
	loadCommit  = 8 * time.Millisecond
	loadSurvey  = 100 * time.Millisecond
	loadTerm    = 1
)

var loadTiming = Timing{
	Lease: 5 * time.Second, LongestLease: 5 * time.Second, Beat: time.Second, CallTimeout: 5 * time.Second,
	LookSpacing: 100 * time.Millisecond, LookWait: time.Second,
}

// load drives a runner on simulated time with targets and a group in memory. It handles the messages of the runner
// itself, so that their processor time can be told from that of the simulation.
type load struct {
	clockwork.Clock
	now     time.Time
	random  *rand.Rand // of the jobs
	luck    *rand.Rand // of the calls and commits, under mu
	r       *runner
	mail    chan any
	timers  []loadTimer
	table   csjob.Table
	index   csmodel.Index
	jobs    int
	due     float64
	beatAt  time.Time
	held    csmodel.Set[csjob.Life]
	decided time.Time
	slow    time.Duration // simulated time that a round takes
	visits  int           // rounds
	quiet   bool          // no jobs arrive
	holds   int           // targets that are about to be taken away, other ones each second
	noise   float64       // standard deviation of the logarithm of a run time
	refusal float64       // probability that decisions are not committed

	mu      sync.Mutex
	workers map[csjob.TargetID]*loadWorker
	order   []*loadWorker
	commits []*loadCommitment
	blocked int // looks that wait for an end

	handled  time.Duration // processor time of the messages
	replayed time.Duration // of coding and applying commands
	rounds   int
	starts   int
	ends     int
}

type loadTimer struct {
	at time.Time
	f  func()
}

type loadCommitment struct {
	at    time.Time
	data  []byte
	coded time.Duration // time that its coding took
	done  chan csjob.Verdict
}

func newLoad(log *zap.Logger) *load {
	l := &load{
		Clock: clockwork.NewRealClock(), now: time.Unix(1_800_000_000, 0).UTC(), random: rand.New(rand.NewPCG(1, 1)), luck: rand.New(rand.NewPCG(2, 1)),
		mail: make(chan any, 1<<16), workers: map[csjob.TargetID]*loadWorker{}, held: csmodel.NewSet[csjob.Life](),
		noise: 0.2,
	}
	system := actor.NewActorSystem(cslog.Actors(zap.NewNop()))
	leader := &Leader{root: system.Root, options: Options{
		State: l, Workers: l, Clock: l, Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Timing: loadTiming, Fleet: l,
	}}
	leader.outlook.Store(&outlook{})
	leader.pid = system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *pulse, *caught, *looked, *ordered, *committed, *fenced:
			l.mail <- m
		}
	}))
	l.r = newRunner(leader)
	l.populate()
	l.r.begin(loadTerm)
	return l
}

func newLoadLog() *zap.Logger {
	log, err := cslog.New("info", io.Discard)
	if err != nil {
		panic(err) // the level is constant
	}
	return log
}

func poolName(n int) csmodel.PoolID { return csmodel.PoolID(fmt.Sprintf("pool-%d", n)) }

// queueKey names the queue of a pool for jobs of a kind: 0 for short tasks, 1 for long ones, 2 for tasks that last.
func queueKey(pool, kind int) csjob.QueueKey {
	return csjob.QueueKey{Host: fmt.Sprintf("queue-%d.example.org", pool), Prefix: fmt.Sprintf("/kind-%d/jobs/", kind)}
}

// populate commits the configuration, the targets and the tasks that last.
func (l *load) populate() {
	config := csjob.Config{Version: 1}
	for p := range loadPools {
		config.Pools = append(config.Pools, csjob.Pool{ID: poolName(p)})
		for k := range 3 {
			config.Queues = append(config.Queues, csjob.Queue{
				Key: queueKey(p, k), Name: fmt.Sprintf("queue-%d-%d", p, k), Pool: poolName(p), Attempts: 3, Stretch: 1.6,
				Objective: 600 * time.Millisecond, Timeout: time.Minute,
			})
		}
	}
	l.commit(csjob.Command{Config: &config})
	for n := range loadTargets {
		id := csjob.TargetID(fmt.Sprintf("target-%04d", n))
		w := &loadWorker{running: map[csjob.TaskKey]loadRun{}, record: csjob.Target{
			Life: csjob.Life{Target: id, Born: 1}, Pool: poolName(n % loadPools), Address: fmt.Sprintf("10.1.%d.%d:8080", n/250, n%250),
			Zone: csmodel.AvailabilityZone(fmt.Sprintf("zone-%d", n/loadPools%4)), Rack: fmt.Sprintf("rack-%d", n/12),
			Room: csjob.Room{CPU: 16000, Memory: 65536},
		}}
		l.workers[id] = w
		l.order = append(l.order, w)
		l.commit(csjob.Command{Targets: []csjob.TargetEvent{{Target: w.record}}})
	}
	for p := range loadPools {
		l.submit(queueKey(p, 2), csjob.Step{
			Tasks: 24, Room: csjob.Room{CPU: 1000, Memory: 4096}, Spread: 3, Lasting: true, Absent: 3,
		})
	}
}

func (l *load) submit(q csjob.QueueKey, steps ...csjob.Step) {
	l.jobs++
	id := csjob.ID(fmt.Sprintf("%016x", l.jobs))
	l.commit(csjob.Command{Submit: &csjob.Submission{ID: id, Queue: q, Spec: "spec of a job", Steps: steps}})
}

// arrive submits the jobs of a tick.
func (l *load) arrive() {
	for l.due += loadJobs * loadTick.Seconds(); l.due >= 1; l.due-- {
		pool := int(l.now.Unix()/int64(loadTurn.Seconds())) % loadPools
		if l.random.Float64() > loadShare {
			pool = l.random.IntN(loadPools)
		}
		kind, s := 0, csjob.Step{Tasks: 8, Room: csjob.Room{CPU: 2000, Memory: 2048}, Estimate: 800 * time.Millisecond}
		count := 1 + l.random.IntN(5)/2
		if l.random.IntN(8) == 0 {
			kind, count = 1, 2
			s.Room.CPU, s.Estimate = 4400, 2100*time.Millisecond
		}
		s.Estimate = time.Duration(float64(s.Estimate) * (0.7 + 0.6*l.random.Float64()))
		steps := []csjob.Step{s}
		for n := 1; n < count; n++ {
			s.After = []int{n - 1}
			steps = append(steps, s)
		}
		l.submit(queueKey(pool, kind), steps...)
	}
}

// Now and AfterFunc are the clock of the runner.
func (l *load) Now() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

func (l *load) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timers = append(l.timers, loadTimer{l.now.Add(d), f})
	return nil
}

// encode returns a command for the log and the processor time that this takes.
func encode(c csjob.Command) ([]byte, time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	b, err := c.Encode()
	if err != nil {
		panic(err) // every command can be encoded
	}
	return b, threadTime() - began
}

// threadTime is the processor time of this thread: the time that passes also holds what other processes take.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}

func (l *load) commit(c csjob.Command) csjob.Verdict {
	b, coded := encode(c)
	return l.apply(b, coded)
}

// apply applies an encoded command. coded is the time that its coding took.
func (l *load) apply(b []byte, coded time.Duration) csjob.Verdict {
	if l.r != nil {
		defer l.r.leader.Changed()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	began := threadTime()
	l.index++
	v := csjob.ParseVerdict(l.table.Apply(csraft.Entry{Index: l.index, Term: loadTerm, At: l.now, Data: b}))
	l.replayed += coded + threadTime() - began
	return v
}

// View, Read, Propose and Leading are the state of the runner.
func (l *load) View(f func(*csjob.Table)) { f(&l.table) }

func (l *load) Read(context.Context, func(*csjob.Table)) error { return nil }

func (l *load) Leading() bool { return true }

func (l *load) Propose(_ context.Context, c csjob.Command) (csjob.Verdict, error) {
	p := &loadCommitment{done: make(chan csjob.Verdict)}
	p.data, p.coded = encode(c)
	l.mu.Lock()
	p.at = l.now.Add(loadCommit)
	refused := l.luck.Float64() < l.refusal
	if !refused {
		l.commits = append(l.commits, p)
	}
	l.mu.Unlock()
	if refused {
		return csjob.Refused, ErrNotLeading
	}
	return <-p.done, nil
}

// Round, Held, Due, Dead and Reset are the fleet of the runner: it asks what a fleet asks that moves nothing.
func (l *load) Round(r Round) {
	l.mu.Lock()
	l.now = l.now.Add(l.slow)
	l.mu.Unlock()
	l.visits++
	if r.Now.Sub(l.decided) < loadSurvey {
		return
	}
	l.decided = r.Now
	l.held = csmodel.NewSet[csjob.Life]()
	for n := range l.holds {
		l.held.Add(l.order[(int(r.Now.Unix())*l.holds+n)%len(l.order)].record.Life)
	}
	for _, w := range l.order {
		if r.Usable(w.record.Life) && r.Busy(w.record.Life) {
			r.Load(w.record.Life)
		}
	}
}

func (l *load) Held() csmodel.Set[csjob.Life] { return l.held }

func (l *load) Due() csmodel.Set[csjob.Life] { return nil }

func (l *load) Dead(csjob.Life) bool { return false }

func (l *load) Reset() {}

// pass lets simulated time pass.
func (l *load) pass(d time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for end := l.now.Add(d); l.now.Before(end); {
		l.mu.Lock()
		l.now = l.now.Add(loadTick)
		l.advance()
		l.mu.Unlock()
		if !l.quiet {
			l.arrive()
		}
		l.beat()
		for _, f := range l.ripe() {
			f()
		}
		l.settle()
	}
}

// advance ends runs and waits that are due.
func (l *load) advance() {
	for _, w := range l.order {
		for k, run := range w.running {
			if !run.ends.IsZero() && !run.ends.After(l.now) {
				w.end(k, csjob.OutcomeDone)
				l.ends++
			}
		}
		if w.waits != nil && (len(w.ended) > 0 || !w.till.After(l.now)) {
			close(w.waits)
			w.waits = nil
			l.blocked--
		}
	}
}

// ripe returns the timers and commits that are due.
func (l *load) ripe() (out []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timers := l.timers
	l.timers = nil
	for _, t := range timers {
		if t.at.After(l.now) {
			l.timers = append(l.timers, t)
			continue
		}
		out = append(out, t.f)
	}
	commits := l.commits
	l.commits = nil
	for _, p := range commits {
		if p.at.After(l.now) {
			l.commits = append(l.commits, p)
			continue
		}
		out = append(out, func() { p.done <- l.apply(p.data, p.coded) })
	}
	return out
}

// beat announces all targets once per interval.
func (l *load) beat() {
	if l.now.Sub(l.beatAt) < loadTiming.Beat {
		return
	}
	l.beatAt = l.now
	for _, w := range l.order {
		l.handle(&beaten{beat: Beat{Target: w.record, Sequence: l.now.UnixMilli(), Clock: l.clock()}, done: make(chan error, 1)})
	}
}

// settle handles messages until only waits are left.
func (l *load) settle() {
	for idle := 0; idle < 3; {
		select {
		case m := <-l.mail:
			l.handle(m)
			idle = 0
		default:
			l.mu.Lock()
			waits := l.blocked
			l.mu.Unlock()
			if l.r.work.inFlight <= waits {
				idle++
			}
			runtime.Gosched()
		}
	}
}

func (l *load) handle(m any) {
	began := threadTime()
	before := l.r.work.rounds
	l.r.handle(m)
	l.handled += threadTime() - began
	l.rounds += max(0, l.r.work.rounds-before)
}
