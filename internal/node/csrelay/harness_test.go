package csrelay_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
	"cowslipstream.example/cowslipstream/internal/node/csrelay"
)

// skewed is a clock that can be set forward, as the clock of a machine that wakes from a suspension.
type skewed struct {
	clockwork.Clock
	ahead atomic.Int64
	stop  atomic.Pointer[time.Time] // the clock stands still at this time
	idle  clockwork.Clock           // of the tickers; nil is the clock itself
}

func newSkewed() *skewed { return &skewed{Clock: clockwork.NewRealClock()} }

// NewTicker implements clockwork.Clock.
func (c *skewed) NewTicker(d time.Duration) clockwork.Ticker {
	if c.idle != nil {
		return c.idle.NewTicker(d)
	}
	return c.Clock.NewTicker(d)
}

func (c *skewed) Now() time.Time {
	now := c.Clock.Now()
	if at := c.stop.Load(); at != nil {
		now = *at
	}
	return now.Add(time.Duration(c.ahead.Load()))
}

// calls records the calls of one store to targets.
type calls struct {
	mu      sync.Mutex
	seen    []string
	targets map[csjob.TargetID]int
	starts  []csrun.StartOrder
	look    csrun.PollResponse
	reply   csrun.Reply
	err     error
	gate    chan struct{} // calls wait until it is closed; nil lets them pass
}

func (c *calls) note(kind string, t csjob.Target) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, kind+" "+string(t.Incarnation.Target)+" "+t.Address)
	if c.targets == nil {
		c.targets = map[csjob.TargetID]int{}
	}
	c.targets[t.Incarnation.Target]++
	return c.err
}

func (c *calls) pause() {
	if c.gate != nil {
		<-c.gate
	}
}

func (c *calls) Start(_ context.Context, t csjob.Target, o csrun.StartOrder) (csrun.Reply, error) {
	c.pause()
	err := c.note("start", t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, o)
	return c.reply, err
}

func (c *calls) Stop(_ context.Context, t csjob.Target, _ csrun.StopOrder) (csrun.Reply, error) {
	c.pause()
	return c.reply, c.note("stop", t)
}

func (c *calls) Poll(_ context.Context, t csjob.Target, _ csrun.PollRequest) (csrun.PollResponse, error) {
	c.pause()
	return c.look, c.note("look", t)
}

func (c *calls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen)
}

func (c *calls) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

// node is one store of a world.
type node struct {
	relay *csrelay.Relay
	calls *calls
	clock *skewed
	world *world
	signs chan []csrun.SignOfLife
	name  csmodel.NodeID
}

// parcel is a message between two nodes.
type parcel struct {
	from, to csmodel.NodeID
	kind     cslink.Kind
	payload  []byte
}

// world connects stores. The first one leads.
type world struct {
	t     *testing.T
	nodes map[csmodel.NodeID]*node
	queue chan parcel

	mu   sync.Mutex
	lose map[csmodel.NodeID]bool // receivers that get nothing
	hold map[csmodel.NodeID]bool // receivers whose messages wait
	held []parcel
	sent map[cslink.Kind]int
}

const leader csmodel.NodeID = "store/1"

// newWorld starts a store for each availability zone named. The first one leads.
func newWorld(t *testing.T, zones ...csmodel.AvailabilityZone) *world {
	t.Helper()
	return newWorldOn(t, newSkewed, zones...)
}

// newVirtualWorld is newWorld in the time of a fake clock. Stores report when the test asks them to.
func newVirtualWorld(t *testing.T, zones ...csmodel.AvailabilityZone) (*world, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	return newWorldOn(t, func() *skewed { return &skewed{Clock: clock, idle: clockwork.NewFakeClock()} }, zones...), clock
}

func newWorldOn(t *testing.T, clock func() *skewed, zones ...csmodel.AvailabilityZone) *world {
	t.Helper()
	w := &world{
		t: t, nodes: map[csmodel.NodeID]*node{}, queue: make(chan parcel, 1<<16), lose: map[csmodel.NodeID]bool{},
		hold: map[csmodel.NodeID]bool{}, sent: map[cslink.Kind]int{},
	}
	for i, zone := range zones {
		n := &node{calls: &calls{}, clock: clock(), world: w, name: csmodel.NodeID(fmt.Sprintf("store/%d", i+1)),
			signs: make(chan []csrun.SignOfLife, 1<<10)}
		n.relay = csrelay.New(csrelay.Options{
			Self: n.name, Zone: zone, Sender: n, Workers: n.calls, Clock: n.clock, Log: zap.NewNop(),
			Metrics: csrelay.NewMetrics(prometheus.NewRegistry()), Leader: func() csmodel.NodeID { return leader },
			Signs: func(s []csrun.SignOfLife) {
				if len(s) > 0 {
					n.signs <- s
				}
			},
		})
		w.nodes[n.name] = n
		t.Cleanup(n.relay.Close)
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case p := <-w.queue:
				w.pass(p)
			}
		}
	}()
	return w
}

func (n *node) Send(to csmodel.NodeID, _ cslink.Channel, kind cslink.Kind, payload []byte, _ string) error {
	n.world.queue <- parcel{n.name, to, kind, payload}
	return nil
}

func (w *world) pass(p parcel) {
	w.mu.Lock()
	w.sent[p.kind]++
	lose := w.lose[p.to]
	hold := w.hold[p.to]
	if hold {
		w.held = append(w.held, p)
	}
	w.mu.Unlock()
	if lose || hold {
		return
	}
	if taken, err := w.nodes[p.to].relay.Receive(p.from, p.kind, p.payload); !taken || err != nil {
		w.t.Errorf("got taken %v, error %v for a message of kind %d", taken, err, p.kind)
	}
}

// deliver hands over the messages that were held.
func (w *world) deliver() {
	w.mu.Lock()
	held := w.held
	w.held, w.hold = nil, map[csmodel.NodeID]bool{}
	w.mu.Unlock()
	for _, p := range held {
		w.queue <- p
	}
}

func (w *world) set(m map[csmodel.NodeID]bool, n csmodel.NodeID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m[n] = true
}

func (w *world) messages(k cslink.Kind) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[k]
}

// ready waits until a call of the leader is relayed by a store.
func (w *world) ready(n int) {
	w.t.Helper()
	w.until("reports of all stores", func() bool { return w.messages(csrelay.KindReport) >= n })
	w.until("delivery", func() bool { return len(w.queue) == 0 })
	time.Sleep(20 * time.Millisecond)
}

func (w *world) until(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("not reached: %s", what)
}

// await waits until a number of timers run on the clock.
func (w *world) await(clock *clockwork.FakeClock, timers int) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := clock.BlockUntilContext(ctx, timers); err != nil {
		w.t.Fatalf("not reached: %d timers", timers)
	}
}

// holding returns the number of messages that wait.
func (w *world) holding() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}

// stopClocks makes ages independent of how busy the test's machine is.
func (w *world) stopClocks() {
	now := time.Now()
	for _, n := range w.nodes {
		n.clock.stop.Store(&now)
	}
}

func target(id csjob.TargetID, zone csmodel.AvailabilityZone) csjob.Target {
	return csjob.Target{Incarnation: csjob.Incarnation{Target: id, StartedAtMs: 7}, Address: "a-" + string(id), Zone: zone}
}

// start sends a start from the leader with the time that csrun gives a call.
func (w *world) start(id csjob.TargetID, zone csmodel.AvailabilityZone) error {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := w.nodes[leader].relay.Start(ctx, target(id, zone), csrun.StartOrder{Spec: "s", Attempt: 1})
	return err
}
