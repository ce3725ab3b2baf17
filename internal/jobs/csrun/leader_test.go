package csrun_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	testHeartbeatInterval = 150 * time.Millisecond
	testPool              = csmodel.PoolID("pool")
	testLimit             = 3
)

var testKey = csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}

// cluster is a leader with simulated targets.
type cluster struct {
	t         *testing.T
	state     *state
	simulator *targetSimulator
	leader    *csrun.Leader
	system    *actor.ActorSystem
	fleet     *fleet
	stop      chan struct{}
	timing    csrun.Timing
}

// testTiming uses short durations to keep the tests fast.
var testTiming = csrun.Timing{
	Lease: 600 * time.Millisecond, LongestLease: 700 * time.Millisecond, HeartbeatInterval: testHeartbeatInterval,
	CallTimeout: 200 * time.Millisecond, MinPollInterval: 10 * time.Millisecond, PollWait: 100 * time.Millisecond,
}

func newCluster(t *testing.T, seed uint64, targets int, f faults) *cluster {
	t.Helper()
	return newClusterWithTiming(t, seed, targets, f, testTiming)
}

func newClusterWithTiming(t *testing.T, seed uint64, targets int, f faults, timing csrun.Timing) *cluster {
	t.Helper()
	i := &cluster{
		t: t, timing: timing, state: &state{}, stop: make(chan struct{}), system: actor.NewActorSystem(cslog.Actors(zap.NewNop())),
		simulator: &targetSimulator{
			random: rand.New(rand.NewPCG(seed, 1)), faults: f, targets: map[string]*simulatedTarget{}, maxAttempts: testLimit,
			jobs: map[csjob.ID]csjob.Submission{},
		},
	}
	i.state.onChange = func() {}
	i.fleet = &fleet{held: csmodel.NewSet[csjob.Incarnation]()}
	i.leader = i.newLeader(1)
	config := csjob.Config{
		Version: 1, Pools: []csjob.Pool{{ID: testPool}},
		Queues: []csjob.Queue{{Key: testKey, Name: "q", Pool: testPool, Attempts: testLimit, Stretch: 2, Objective: time.Second, Timeout: time.Second}},
	}
	i.propose(csjob.Command{Config: &config})
	for n := range targets {
		id := csjob.TargetID(fmt.Sprint(n + 1))
		i.simulator.targets[addressOf(id)] = newSimulatedTarget(id, csjob.Resources{CPU: 8000, Memory: 8000})
	}
	go i.sendHeartbeats()
	t.Cleanup(func() {
		close(i.stop)
		i.leader.Follow()
	})
	return i
}

// newLeader starts a new leader in the given term.
func (i *cluster) newLeader(term csmodel.Term) *csrun.Leader {
	l := csrun.New(csrun.Options{
		State: i.state, Workers: i.simulator, Clock: clockwork.NewRealClock(), Log: zap.NewNop(),
		Metrics: csrun.NewMetrics(prometheus.NewRegistry()), Spawner: i.system.Root, Fleet: i.fleet,
		Timing: i.timing,
	})
	i.state.onChange = l.Changed
	i.state.set(func() { i.state.term = term })
	l.Lead(term)
	return l
}

// beginTerm makes the existing leader begin a later term.
func (i *cluster) beginTerm(term csmodel.Term) {
	i.state.set(func() { i.state.term = term })
	i.leader.Lead(term)
}

// fleet is a fake csrun.Fleet that reports the incarnations set by the test as evicting or evicting soon.
type fleet struct {
	mu           sync.Mutex
	held         csmodel.Set[csjob.Incarnation]
	evictingSoon csmodel.Set[csjob.Incarnation]
	due          csmodel.Set[csjob.Incarnation]
}

func (f *fleet) Round(csrun.Round) {}

func (f *fleet) Reset() {}

func (f *fleet) EvictingSoon() csmodel.Set[csjob.Incarnation] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.evictingSoon)
}

// setEvictingSoon sets the incarnations whose VMs will be reclaimed soon.
func (f *fleet) setEvictingSoon(incarnations ...csjob.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictingSoon = csmodel.NewSet(incarnations...)
}

func (f *fleet) MaintenanceDue() csmodel.Set[csjob.Incarnation] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.due)
}

// setMaintenanceDue sets the incarnations whose VMs have to begin their maintenance now.
func (f *fleet) setMaintenanceDue(incarnations ...csjob.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due = csmodel.NewSet(incarnations...)
}

func (f *fleet) Ended(csjob.Incarnation) bool { return false }

func (f *fleet) Evicting() csmodel.Set[csjob.Incarnation] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.held)
}

// setHeld sets the incarnations whose VMs are about to be reclaimed.
func (f *fleet) setHeld(incarnations ...csjob.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = csmodel.NewSet(incarnations...)
}

func (i *cluster) propose(c csjob.Command) csjob.Verdict {
	i.t.Helper()
	v, err := i.state.Propose(context.Background(), c)
	if err != nil {
		i.t.Fatal(err)
	}
	return v
}

// sendHeartbeats sends heartbeats for all targets until the test ends.
func (i *cluster) sendHeartbeats() {
	for n := int64(1); ; n++ {
		i.simulator.mu.Lock()
		var heartbeats []csrun.Heartbeat
		for address, k := range i.simulator.targets {
			if k.unreachable || k.noHeartbeats {
				continue
			}
			heartbeats = append(heartbeats, csrun.Heartbeat{
				Sequence: n, Clock: k.clock(),
				Target: csjob.Target{Incarnation: k.incarnation, Pool: testPool, Address: address, Resources: k.resources},
			})
		}
		i.simulator.mu.Unlock()
		for _, b := range heartbeats {
			ctx, cancel := context.WithTimeout(context.Background(), testHeartbeatInterval)
			_ = i.leader.Heartbeat(ctx, b) // retried with the next heartbeat
			cancel()
		}
		select {
		case <-i.stop:
			return
		case <-time.After(testHeartbeatInterval):
		}
	}
}

// submit submits a job with the given steps.
func (i *cluster) submit(id csjob.ID, steps ...csjob.Step) {
	i.t.Helper()
	s := csjob.Submission{ID: id, Queue: testKey, Steps: steps}
	i.simulator.mu.Lock()
	i.simulator.jobs[id] = s
	i.simulator.mu.Unlock()
	if got := i.propose(csjob.Command{Submit: &s}); got != csjob.Accepted {
		i.t.Fatalf("submission of %s: got verdict %d, want accepted", id, got)
	}
}

func (i *cluster) jobState(id csjob.ID) csjob.State {
	var s csjob.State
	i.state.View(func(t *csjob.Table) { s = t.Job(id).State })
	return s
}

// awaitAllJobs waits until all jobs have ended, and fails the test if some have not within the limit.
func (i *cluster) awaitAllJobs(limit time.Duration) {
	i.t.Helper()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		open := 0
		i.state.View(func(t *csjob.Table) { open = len(t.Active()) })
		if open == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	i.state.View(func(t *csjob.Table) {
		for _, j := range t.Active() {
			i.t.Errorf("job %s is in state %d with %d open runs after %s", j.Submission.ID, j.State, j.OpenRuns, limit)
		}
	})
}

// checkInvariants reports the violations that the simulated targets have recorded.
func (i *cluster) checkInvariants() {
	i.t.Helper()
	i.simulator.mu.Lock()
	defer i.simulator.mu.Unlock()
	for _, violation := range i.simulator.violations {
		i.t.Error(violation)
	}
}

func step(tasks int, cpu csmodel.MilliCPU, d time.Duration, after ...int) csjob.Step {
	return csjob.Step{Tasks: tasks, Resources: csjob.Resources{CPU: cpu, Memory: 100}, Estimate: d, After: after}
}

// Pattern: answers are lost and orders arrive late while targets are fully used. Guards against violations of the run
// invariants, such as two concurrent runs of a task or a target over its resources.
func TestRunInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		seed   uint64
		faults faults
	}{
		{"no faults", 1, faults{}},
		{"lost answers", 2, faults{lostAnswers: 0.1}},
		{"late orders", 3, faults{lateOrders: 0.1}},
		{"failing runs", 4, faults{failedRuns: 0.2}},
		{"all faults", 5, faults{lostAnswers: 0.05, lateOrders: 0.05, failedRuns: 0.1}},
		{"all faults, second seed", 6, faults{lostAnswers: 0.05, lateOrders: 0.05, failedRuns: 0.1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := newCluster(t, c.seed, 4, c.faults)
			random := rand.New(rand.NewPCG(c.seed, 2))
			for n := range 40 {
				d := time.Duration(10+random.IntN(60)) * time.Millisecond
				id := csjob.ID(fmt.Sprintf("%016x", n))
				i.submit(id, step(1+random.IntN(6), csmodel.MilliCPU(500+random.IntN(3000)), d), step(1+random.IntN(4), 1000, d, 0))
				if random.IntN(10) == 0 {
					i.propose(csjob.Command{Cancel: &csjob.JobRef{Queue: testKey, ID: id}})
				}
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			i.awaitAllJobs(20 * time.Second)
			i.checkInvariants()
		})
	}
}

// Pattern: 6 % of all calls, both starts and polls, get no answer while jobs of several tasks arrive. A lost answer must not
// use up the slack of a job: nine of ten jobs have to meet the objective of their queue.
func TestLostAnswersLeaveJobsOnTime(t *testing.T) {
	t.Parallel()
	const jobs, duration = 40, 300 * time.Millisecond
	timing := testTiming
	timing.Lease, timing.LongestLease, timing.PollWait = 5*time.Second, 6*time.Second, time.Second
	i := newClusterWithTiming(t, 13, 6, faults{lostAnswers: 0.06, hang: true}, timing)
	time.Sleep(3 * testHeartbeatInterval)
	for n := range jobs {
		i.submit(csjob.ID(fmt.Sprintf("%016x", n)), step(6, 1000, duration))
		time.Sleep(60 * time.Millisecond)
	}
	i.awaitAllJobs(20 * time.Second)
	i.checkInvariants()
	onTime := 0
	i.state.View(func(table *csjob.Table) {
		for _, j := range table.Accepted() {
			q := table.QueueOf(j)
			if j.Ended.Sub(j.Accepted) <= q.Objective+time.Duration(q.Stretch*float64(duration)) {
				onTime++
			}
		}
	})
	if want := jobs * 9 / 10; onTime < want {
		t.Errorf("got %d of %d jobs on time, want %d", onTime, jobs, want)
	}
}

// Pattern: a target restarts under its name while orders for its previous incarnation are in flight.
func TestRestartedTarget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		i := newCluster(t, 7, 3, faults{lateOrders: 0.15})
		for n := range 30 {
			i.submit(csjob.ID(fmt.Sprintf("%016x", n)), step(4, 1500, 60*time.Millisecond))
			if n%5 == 4 {
				i.simulator.mu.Lock()
				id := csjob.TargetID("2")
				i.simulator.targets[addressOf(id)] = newSimulatedTarget(id, csjob.Resources{CPU: 8000, Memory: 8000})
				i.simulator.targets[addressOf(id)].resetConnections = 2
				i.simulator.mu.Unlock()
			}
			time.Sleep(30 * time.Millisecond)
		}
		i.awaitAllJobs(20 * time.Second)
		i.checkInvariants()
	})
}

// Pattern: the leader changes while runs are open and starts are in flight.
func TestLeaderChange(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 8, 3, faults{lostAnswers: 0.05, lateOrders: 0.05})
	for n := range 30 {
		i.submit(csjob.ID(fmt.Sprintf("%016x", n)), step(4, 1500, 60*time.Millisecond), step(2, 1000, 20*time.Millisecond, 0))
		if n%8 == 7 {
			i.leader.Follow()
			time.Sleep(50 * time.Millisecond)
			i.beginTerm(csmodel.Term(n))
		}
		time.Sleep(20 * time.Millisecond)
	}
	i.awaitAllJobs(20 * time.Second)
	i.checkInvariants()
}

// Pattern: every run on one target fails. Jobs must not use up their attempts there.
func TestFailingTargetIsQuarantined(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 9, 4, faults{})
	i.simulator.mu.Lock()
	i.simulator.targets[addressOf("1")].failsRuns = true
	i.simulator.mu.Unlock()
	time.Sleep(2 * testHeartbeatInterval)
	for n := range 40 {
		i.submit(csjob.ID(fmt.Sprintf("%016x", n)), step(2, 1000, 20*time.Millisecond))
		time.Sleep(20 * time.Millisecond)
	}
	i.awaitAllJobs(20 * time.Second)
	i.checkInvariants()
	failed := 0
	for n := range 40 {
		if i.jobState(csjob.ID(fmt.Sprintf("%016x", n))) == csjob.Failed {
			failed++
		}
	}
	if got, want := failed, 0; got != want {
		t.Errorf("got %d failed jobs, want %d", got, want)
	}
}

// Pattern: many jobs are cancelled right after they were accepted.
func TestCancelledJobsEnd(t *testing.T) {
	t.Parallel()
	i := newCluster(t, 10, 2, faults{})
	longRunning := csjob.Step{Tasks: 4, Resources: csjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true}
	for n := range 50 {
		id := csjob.ID(fmt.Sprintf("%016x", n))
		i.submit(id, longRunning)
		time.Sleep(5 * time.Millisecond)
		if got := i.propose(csjob.Command{Cancel: &csjob.JobRef{Queue: testKey, ID: id}}); got != csjob.Accepted {
			t.Fatalf("got verdict %d, want accepted", got)
		}
	}
	i.awaitAllJobs(10 * time.Second)
	i.checkInvariants()
}

// Pattern: targets go silent with all their runs. Their tasks run elsewhere once the lease has expired, however often the
// leader tries to reach the targets in the meantime.
func TestSilentTargetsAreGivenUp(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		i := newCluster(t, 12, 4, faults{})
		time.Sleep(3 * testHeartbeatInterval)
		longRunning := csjob.Step{Tasks: 8, Resources: csjob.Resources{CPU: 1000, Memory: 100}, LongRunning: true, MaxPerTarget: 2}
		i.submit("00000000000000aa", longRunning)
		time.Sleep(300 * time.Millisecond)
		i.simulator.mu.Lock()
		for _, id := range []csjob.TargetID{"1", "2"} {
			i.simulator.targets[addressOf(id)].unreachable = true
		}
		i.simulator.mu.Unlock()
		time.Sleep(2 * time.Second)
		i.simulator.mu.Lock()
		got := len(i.simulator.targets[addressOf("3")].running) + len(i.simulator.targets[addressOf("4")].running)
		i.simulator.mu.Unlock()
		if want := 4; got != want {
			t.Errorf("got %d tasks on the two remaining targets, want %d", got, want)
		}
		open := 0
		i.state.View(func(t *csjob.Table) { open = t.Job("00000000000000aa").OpenRuns })
		if want := 4; open != want {
			t.Errorf("got %d open runs, want %d: those on silent targets have ended", open, want)
		}
		i.checkInvariants()
	})
}
