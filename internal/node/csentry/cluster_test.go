package csentry_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cowslipstream.example/cowslipstream/internal/base/csclock"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
	"cowslipstream.example/cowslipstream/internal/node/csentry"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
	"cowslipstream.example/cowslipstream/internal/node/csstore"
)

// workers are targets that end each run at once.
type workers struct {
	mu    sync.Mutex
	start time.Time
	ended map[csjob.TargetID][]csrun.RunEnd
	runs  map[csjob.TaskKey]int
}

func (w *workers) Start(_ context.Context, t csjob.Target, o csrun.StartOrder) (csrun.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := t.Incarnation.Target
	for _, e := range w.ended[id] {
		if e.Task == o.Task && e.Attempt == o.Attempt {
			return csrun.Reply{Clock: time.Since(w.start), Refusal: csrun.RefusedStaleAttempt}, nil
		}
	}
	w.runs[o.Task]++
	w.ended[id] = append(w.ended[id], csrun.RunEnd{Number: int64(len(w.ended[id]) + 1), Task: o.Task, Attempt: o.Attempt})
	return csrun.Reply{Clock: time.Since(w.start)}, nil
}

func (w *workers) Stop(context.Context, csjob.Target, csrun.StopOrder) (csrun.Reply, error) {
	return csrun.Reply{Clock: time.Since(w.start)}, nil
}

func (w *workers) Poll(_ context.Context, t csjob.Target, o csrun.PollRequest) (csrun.PollResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	look := csrun.PollResponse{Reply: csrun.Reply{Clock: time.Since(w.start)}, StartedAtMs: t.Incarnation.StartedAtMs}
	for _, e := range w.ended[t.Incarnation.Target] {
		if e.Number > o.Acknowledged {
			look.Ended = append(look.Ended, e)
		}
	}
	return look, nil
}

// cluster is three stores and an entry on loopback addresses.
type cluster struct {
	t      *testing.T
	port   int
	ips    []string
	stores map[string]*csstore.Store
	entry  *csentry.Entry
	work   *workers
	lines  *observer.ObservedLogs // of the stores
}

func startCluster(t *testing.T, changes ...func(*csstore.Options)) *cluster {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	c := &cluster{
		t: t, lines: lines, ips: []string{"127.0.7.1", "127.0.7.2", "127.0.7.3"}, stores: map[string]*csstore.Store{},
		work: &workers{start: time.Now(), ended: map[csjob.TargetID][]csrun.RunEnd{}, runs: map[csjob.TaskKey]int{}},
	}
	entryLink := c.listen("127.0.7.9:0")
	c.port = entryLink.Addr().(*net.TCPAddr).Port
	for _, ip := range c.ips {
		options := csstore.Options{
			IP: ip, Seeds: c.ips, First: true, Folder: t.TempDir(), Losses: 1, Listener: c.listen(c.address(ip)), PeerAddress: c.address,
			Timing: csrun.Timing{
				Lease: 5 * time.Second, LongestLease: 6 * time.Second, HeartbeatInterval: 300 * time.Millisecond, CallTimeout: 400 * time.Millisecond,
				MinPollInterval: 20 * time.Millisecond, PollWait: 100 * time.Millisecond,
			},
			Workers: c.work, Clock: csclock.NewBoot(), Log: zap.New(core), Registry: prometheus.NewRegistry(),
		}
		for _, change := range changes {
			change(&options)
		}
		store, err := csstore.New(options)
		if err != nil {
			t.Fatal(err)
		}
		c.stores[ip] = store
	}
	entry, err := csentry.New(csentry.Options{
		IP: "127.0.7.9", Seeds: c.ips, Listener: entryLink, PeerAddress: c.address, Clock: csclock.NewBoot(), Log: zap.NewNop(),
		Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	c.entry = entry
	t.Cleanup(func() {
		entry.Close()
		for _, s := range c.stores {
			s.Close()
		}
	})
	return c
}

func (c *cluster) address(ip string) string { return fmt.Sprintf("%s:%d", ip, c.port) }

func (c *cluster) listen(address string) net.Listener {
	c.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

// beat announces a target to every store that runs and returns the address of the leader, which is empty where there is none
// or none of the stores answered.
func (c *cluster) beat() (leader string) {
	answered := false
	for ip, s := range c.stores {
		if _, err := s.Beat(context.Background(), c.heartbeat()); err == nil {
			answered = true
		}
		if s.Leading() {
			leader = ip
		}
	}
	if !answered {
		return ""
	}
	return leader
}

func (c *cluster) heartbeat() csrun.Heartbeat {
	return csrun.Heartbeat{
		Sequence: time.Now().UnixMilli(), Clock: time.Since(c.work.start),
		Target: csjob.Target{Incarnation: csjob.Incarnation{Target: "t", StartedAtMs: 1}, Pool: "p", Address: "t", Resources: csjob.Resources{CPU: 9000, Memory: 9000}},
	}
}

// eventually repeats a call until it succeeds. The limit covers an election on a busy machine and is not what is tested.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
		c.beat()
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("not reached: %s", what)
}

func (c *cluster) do(action csrpc.JobAction, id string) csrpc.JobAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r := csrpc.JobRequest{Action: action, Host: "q.example", Path: "/jobs/" + id}
	if action == csrpc.ActionSubmit {
		r.Job = &csjob.Submission{Spec: "s", Steps: []csjob.Step{
			{Tasks: 3, Resources: csjob.Resources{CPU: 100, Memory: 1}}, {Tasks: 2, Resources: csjob.Resources{CPU: 100, Memory: 1}, After: []int{0}},
		}}
	}
	return c.entry.Do(ctx, r)
}

func (c *cluster) runJob(id string) {
	c.t.Helper()
	c.eventually("submission of "+id, func() bool { return c.do(csrpc.ActionSubmit, id).Result == csrpc.ResultDone })
	c.eventually("completion of "+id, func() bool {
		a := c.do(csrpc.ActionState, id)
		return a.Result == csrpc.ResultDone && a.State == csjob.Completed
	})
}

func (c *cluster) configure() {
	c.t.Helper()
	config := csjob.Config{
		Version: 1, Document: []byte("{}"), Pools: []csjob.Pool{{ID: "p"}},
		Queues: []csjob.Queue{{Key: csjob.QueueKey{Host: "q.example", Prefix: "/jobs/"}, Pool: "p", Attempts: 1, Timeout: time.Second}},
	}
	c.eventually("configuration", func() bool {
		v, err := c.stores[c.ips[0]].Configure(context.Background(), config)
		return err == nil && v == csjob.Accepted
	})
}

// Pattern: 349 targets send their heartbeats to the stores that call them, which are not the leader. A target that no other
// sign comes from stays in use, and a store that has lost the leader acknowledges none.
func TestHeartbeatsAtOtherStores(t *testing.T) {
	c := startCluster(t)
	c.configure()
	c.runJob("00000000000000aa")
	var leader string
	for n := 0; ; n++ {
		c.eventually("a leader", func() bool { leader = c.beat(); return leader != "" })
		steady := c.watch(leader)
		err := c.beatElsewhere(leader, fmt.Sprintf("%016x", 0xbb+n))
		if steady() {
			if err != nil {
				t.Fatal(err)
			}
			break
		}
		if n == mostTurns {
			t.Fatalf("the stores were disturbed in each turn, last: %v", err)
		}
		t.Logf("the stores were disturbed: %v", err)
	}
	others := slices.DeleteFunc(slices.Clone(c.ips), func(ip string) bool { return ip == leader })
	for _, ip := range []string{leader, others[0]} {
		c.stores[ip].Close()
		delete(c.stores, ip)
	}
	time.Sleep(time.Second) // the lease of the leader is over, and one store of three elects none
	for ip, s := range c.stores {
		if _, err := s.Beat(context.Background(), c.heartbeat()); err == nil {
			t.Errorf("%s acknowledged a heartbeat without a leader", ip)
		}
	}
}

// mostTurns bounds the turns of a test that counts only while the stores hear each other. On a busy machine a store may stand still
// for longer than the lease of 650 ms, and is then refused or left out as it should be.
const mostTurns = 10

// watch returns a function that ends the watch and tells whether the leader has held its lease all the time and no store has
// lost the leader, a link, or its part in the calls.
func (c *cluster) watch(leader string) (steady func() bool) {
	c.lines.TakeAll()
	store, end, lost := c.stores[leader], make(chan struct{}), make(chan bool, 1)
	go func() {
		held := store.Leading()
		for {
			select {
			case <-end:
				lost <- !held
				return
			case <-time.After(10 * time.Millisecond):
				held = held && store.Leading()
			}
		}
	}()
	return func() bool {
		close(end)
		disturbed := <-lost
		for _, what := range []string{"leader changed", "link down", "store relays nothing", "store refuses orders"} {
			disturbed = disturbed || c.lines.FilterMessage(what).Len() > 0
		}
		return !disturbed
	}
}

// beatElsewhere sends heartbeats to the stores that do not lead, and runs a job meanwhile. Silence of 2.5 intervals of 300 ms keeps
// tasks away from the target; the leader gets no heartbeat itself for 4 s before the job.
func (c *cluster) beatElsewhere(leader, id string) error {
	for ip, s := range c.stores {
		if ip == leader {
			continue
		}
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			next, err := s.Beat(context.Background(), c.heartbeat())
			if err != nil {
				return fmt.Errorf("heartbeat at %s: %w", ip, err)
			}
			if next == leader || c.stores[next] == nil {
				return fmt.Errorf("got next store %q at %s, want a store that does not lead", next, ip)
			}
		}
	}
	for action := csrpc.ActionSubmit; ; action = csrpc.ActionState {
		a := c.do(action, id)
		if a.Result != csrpc.ResultDone {
			return fmt.Errorf("got result %d, want %d", a.Result, csrpc.ResultDone)
		}
		if a.State == csjob.Completed {
			return nil
		}
		for ip, s := range c.stores {
			if ip != leader {
				_, _ = s.Beat(context.Background(), c.heartbeat())
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Jobs go from an entry through the leader to a target and back, before and after the leader is lost; each task runs once.
func TestJobsSurviveTheLeader(t *testing.T) {
	c := startCluster(t)
	c.configure()
	c.runJob("00000000000000aa")
	leader := c.beat()
	if leader == "" {
		t.Fatal("no store leads")
	}
	c.stores[leader].Close()
	delete(c.stores, leader)
	c.eventually("state after the loss of the leader", func() bool {
		a := c.do(csrpc.ActionState, "00000000000000aa")
		return a.Result == csrpc.ResultDone && a.State == csjob.Completed
	})
	c.runJob("00000000000000bb")
	for key, n := range c.work.runs {
		if n != 1 {
			t.Errorf("task %s ran %d times, want once", key, n)
		}
	}
	if got, want := len(c.work.runs), 10; got != want {
		t.Errorf("got %d tasks, want %d", got, want)
	}
	if got := c.do(csrpc.ActionState, "00000000000000cc").Result; got != csrpc.ResultNoJob {
		t.Errorf("got result %d for an unknown job, want %d", got, csrpc.ResultNoJob)
	}
}
