package csgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// counter is a state machine that counts its commands, which reveals lost and duplicate ones.
type counter struct {
	total     uint64
	panicNext bool // the next command panics
}

func (c *counter) Apply(csraft.Entry) []byte {
	if c.panicNext {
		c.panicNext = false
		panic("machine panic")
	}
	c.total++
	return binary.BigEndian.AppendUint64(nil, c.total)
}

func (c *counter) Snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, c.total), nil }

func (c *counter) Restore(b []byte) error {
	c.total = binary.BigEndian.Uint64(b)
	return nil
}

// cluster runs groups with a fake clock and in-memory links. Time advances only in step, which then waits until all actors are
// idle.
type cluster struct {
	t               testing.TB
	clock           *clockwork.FakeClock
	mu              sync.Mutex
	nodes           map[csmodel.NodeID]*node
	blocked         map[[2]csmodel.NodeID]bool
	lossPercent     int
	random          *rand.Rand
	sent            int
	snapshotEntries int // Options.SnapshotEntries
	noLeaderTimeout time.Duration
	members         []csraft.Member
}

type node struct {
	id      csmodel.NodeID
	disk    *csdisk.Fake // nil for a node without a disk
	machine *counter
	group   *Group // nil while it is down
	errs    []error
}

func newCluster(t testing.TB, learners int) *cluster {
	c := &cluster{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), nodes: map[csmodel.NodeID]*node{},
		blocked: map[[2]csmodel.NodeID]bool{}, random: rand.New(rand.NewPCG(1, 1)), snapshotEntries: 100,
	}
	for _, id := range []csmodel.NodeID{"a", "b", "c"} {
		c.members = append(c.members, csraft.Member{Node: id, Voter: true})
		c.nodes[id] = &node{id: id, disk: csdisk.NewFake()}
	}
	for i := range learners {
		id := csmodel.NodeID(fmt.Sprintf("l%d", i))
		c.nodes[id] = &node{id: id}
	}
	for _, id := range csmodel.SortedKeys(c.nodes) {
		c.start(id)
	}
	t.Cleanup(func() {
		for _, id := range csmodel.SortedKeys(c.nodes) {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) start(id csmodel.NodeID) {
	c.t.Helper()
	n := c.nodes[id]
	machine := &counter{}
	o := Options{
		Config:  csraft.Config{Group: "g", Self: id, Members: c.members, Seed: 1, TrailingEntries: 20},
		Machine: machine, Clock: c.clock, manualTicks: true, SnapshotEntries: c.snapshotEntries, GiveUp: c.noLeaderTimeout,
		Send: func(to csmodel.NodeID, m csraft.Message) { c.deliver(id, to, m) },
		Observe: Observe{Error: func(err error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			n.errs = append(n.errs, err)
		}},
	}
	if n.disk != nil {
		o.Disk = n.disk
	}
	g, err := New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.machine, n.group = machine, g
}

// kill stops a node without transferring the leadership. Its disk loses unsynced data.
func (c *cluster) kill(id csmodel.NodeID) {
	n := c.nodes[id]
	c.mu.Lock()
	g := n.group
	n.group = nil
	c.mu.Unlock()
	if g == nil {
		return
	}
	g.stopActor()
	if n.disk != nil {
		n.disk = n.disk.Crash(c.random)
	}
}

func (c *cluster) deliver(from, to csmodel.NodeID, m csraft.Message) {
	b, err := csraft.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	n := c.nodes[to]
	drop := n == nil || n.group == nil || c.blocked[[2]csmodel.NodeID{from, to}] || c.random.IntN(100) < c.lossPercent
	var g *Group
	if !drop {
		g = n.group
		c.sent++
	}
	c.mu.Unlock()
	if drop {
		return
	}
	if m, err = csraft.DecodeMessage(b); err != nil {
		panic(err)
	}
	g.Receive(from, m)
}

func (c *cluster) isolate(id csmodel.NodeID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.nodes {
		c.blocked[[2]csmodel.NodeID{id, other}] = isolated
		c.blocked[[2]csmodel.NodeID{other, id}] = isolated
	}
}

func (c *cluster) groups() (out []*Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range csmodel.SortedKeys(c.nodes) {
		if g := c.nodes[id].group; g != nil {
			out = append(out, g)
		}
	}
	return out
}

// settle waits until no actor has a message to process.
func (c *cluster) settle() {
	for quiet := 0; quiet < 2; {
		c.mu.Lock()
		before := c.sent
		c.mu.Unlock()
		for _, g := range c.groups() {
			done := make(chan struct{})
			g.root.Send(g.pid, func() { close(done) })
			select {
			case <-done:
			case <-g.stop:
			}
		}
		c.mu.Lock()
		if quiet++; c.sent != before {
			quiet = 0
		}
		c.mu.Unlock()
	}
}

func (c *cluster) step() {
	c.clock.Advance(10 * time.Millisecond)
	for _, g := range c.groups() {
		g.root.Send(g.pid, &tick{done: func() {}})
	}
	c.settle()
}

// waitUntil advances the clock until the condition holds and returns the elapsed time. It fails the test after limit.
func (c *cluster) waitUntil(what string, limit time.Duration, ok func() bool) time.Duration {
	c.t.Helper()
	start := c.clock.Now()
	for c.clock.Since(start) < limit {
		if ok() {
			return c.clock.Since(start)
		}
		c.step()
	}
	for _, g := range c.groups() {
		c.t.Logf("%+v", g.Status())
	}
	c.t.Fatalf("condition not met within %v: %s", limit, what)
	return 0
}

func (c *cluster) advance(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.step()
	}
}

func (c *cluster) leader() *Group {
	for _, g := range c.groups() {
		if g.Status().Leading {
			return g
		}
	}
	return nil
}

func (c *cluster) awaitLeader() *Group {
	c.t.Helper()
	c.waitUntil("a leader", 10*time.Second, func() bool { return c.leader() != nil })
	return c.leader()
}

// run calls f while the clock advances. It sleeps before each step to let f run: on a busy host the clock would otherwise
// advance before f has started, and the time would be attributed to the group.
func (c *cluster) run(f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	for {
		select {
		case err := <-done:
			c.settle() // nodes may still send messages that the call caused
			return err
		case <-time.After(time.Millisecond):
			c.step()
		}
	}
}

func (c *cluster) propose(g *Group, limit time.Duration) (uint64, error) {
	var total uint64
	err := c.run(func() error {
		ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, limit)
		defer cancel()
		b, err := g.Propose(ctx, []byte("add"))
		if err == nil {
			total = binary.BigEndian.Uint64(b)
		}
		return err
	})
	return total, err
}

func (c *cluster) mustPropose(g *Group, want uint64) {
	c.t.Helper()
	got, err := c.propose(g, 10*time.Second)
	if err != nil || got != want {
		c.t.Fatalf("got %d %v, want %d", got, err, want)
	}
}

func (c *cluster) read(g *Group) (total uint64, err error) {
	err = c.run(func() error {
		ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, 5*time.Second)
		defer cancel()
		return g.Read(ctx, func(m csraft.Machine) { total = m.(*counter).total })
	})
	return total, err
}

func view(g *Group) (total uint64) {
	g.View(func(m csraft.Machine) { total = m.(*counter).total })
	return total
}

func (c *cluster) change(g *Group, o csraft.Change) error {
	return c.run(func() error {
		ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, 3*time.Second)
		defer cancel()
		return g.ChangeMember(ctx, o)
	})
}

func (c *cluster) allReplicasAt(total uint64) bool {
	for _, g := range c.groups() {
		if view(g) != total {
			return false
		}
	}
	return true
}

func member(g *Group, id csmodel.NodeID) (csraft.Member, bool) {
	for _, m := range g.Status().Members {
		if m.Node == id {
			return m.Member, true
		}
	}
	return csraft.Member{}, false
}

func (c *cluster) follower(except ...csmodel.NodeID) *node {
	for _, id := range []csmodel.NodeID{"a", "b", "c"} {
		if n := c.nodes[id]; n.group != nil && !n.group.Status().Leading && (len(except) == 0 || id != except[0]) {
			return n
		}
	}
	return nil
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
