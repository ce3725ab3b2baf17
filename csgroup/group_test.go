package csgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// TestLeaderKilled guards against a group that does not form, does not serve its learners or takes 2 s or more to elect a
// leader after the previous one was killed.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, 2)
	c.awaitLeader()
	total := uint64(0)
	for _, id := range []csmodel.NodeID{"a", "b", "c", "l0", "l1"} {
		total++
		c.mustPropose(c.nodes[id].group, total)
		for _, reader := range []csmodel.NodeID{"a", "b", "c", "l0"} {
			if got, err := c.read(c.nodes[reader].group); err != nil || got != total {
				t.Fatalf("%s: got %d %v from a read, want %d", reader, got, err, total)
			}
		}
	}
	leader := c.leader().Status()
	c.kill(leader.Self)
	took := c.waitUntil("a new leader", 5*time.Second, func() bool { return c.leader() != nil })
	t.Logf("new leader after %v", took)
	if took >= 2*time.Second {
		t.Errorf("got a new leader after %v, want less than 2 s", took)
	}
	c.mustPropose(c.nodes["l0"].group, total+1)
	c.start(leader.Self)
	c.waitUntil("all replicas equal", 10*time.Second, func() bool { return c.allReplicasAt(total + 1) })
}

// TestIsolatedLeader guards against a deposed leader that still commits or serves reads, and against reporting a proposal
// as not run although it may have been.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, 1)
	old := c.awaitLeader()
	c.mustPropose(old, 1)
	c.isolate(old.Status().Self, true)
	_, err := c.propose(old, 500*time.Millisecond)
	wantErr(t, err, ErrTimeout)
	c.waitUntil("the old leader stops", csraft.DefaultLease, func() bool { return !old.Status().Leading })
	if c.leader() != nil {
		t.Fatal("got a new leader before the lease of the old one ended")
	}
	c.waitUntil("a new leader", 3*time.Second, func() bool { return c.leader() != nil })
	c.mustPropose(c.leader(), 2)
	_, err = c.propose(old, time.Second)
	wantErr(t, err, ErrNoLeader)
	if _, err = c.read(old); !errors.Is(err, ErrNoLeader) {
		t.Errorf("got %v from a read on the isolated node, want %v", err, ErrNoLeader)
	}
	if got := view(old); got != 1 {
		t.Errorf("got %d in the isolated replica, want 1", got)
	}
	c.isolate(old.Status().Self, false)
	c.waitUntil("all replicas equal", 10*time.Second, func() bool { return c.allReplicasAt(2) })
}

// TestRestart guards against losing or repeating any of 1,000 commands when all nodes restart, including a learner that
// starts from a snapshot.
func TestRestart(t *testing.T) {
	const changes = 1000
	c := newCluster(t, 1)
	leader := c.awaitLeader()
	err := c.run(func() error { return proposeAll(c, leader, changes) })
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []csmodel.NodeID{"a", "b", "c", "l0"} {
		c.kill(id)
	}
	for _, id := range []csmodel.NodeID{"a", "b", "c", "l0"} {
		c.start(id)
	}
	c.awaitLeader()
	c.mustPropose(c.nodes["l0"].group, changes+1)
	c.waitUntil("all replicas equal", 10*time.Second, func() bool { return c.allReplicasAt(changes + 1) })
	if s := c.leader().Status(); s.First < 900 || s.LogBytes > 64*csmodel.KiB {
		t.Errorf("the log was not compacted: first entry %d, %v", s.First, s.LogBytes)
	}
}

func proposeAll(c *cluster, g *Group, n int) error {
	ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, time.Minute)
	defer cancel()
	errs := make(chan error, n)
	for range n {
		go func() {
			_, err := g.Propose(ctx, []byte("add"))
			errs <- err
		}()
	}
	var all error
	for range n {
		all = errors.Join(all, <-errs)
	}
	return all
}

// TestLostFolder guards against a vote by a node that lost its folder, and against a membership change that leaves fewer
// reachable voters than a quorum when a second voter is lost right after the first was replaced.
func TestLostFolder(t *testing.T) {
	c := newCluster(t, 0)
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	lost := c.follower()
	old, _ := member(leader, lost.id)
	c.kill(lost.id)
	lost.disk = csdisk.NewFake()
	c.mustPropose(leader, 2)
	c.start(lost.id)
	c.waitUntil("the new incarnation is a voter", 5*time.Second, func() bool {
		m, ok := member(leader, lost.id)
		return ok && m.Voter && m.Incarnation > old.Incarnation
	})
	c.waitUntil("the new incarnation has all entries", 2*time.Second, func() bool { return view(lost.group) == 2 })

	second := c.follower(lost.id)
	c.kill(second.id)
	c.advance(csraft.DefaultLease)
	err := c.change(leader, csraft.Change{Member: csraft.Member{Node: lost.id}, Remove: true})
	wantErr(t, err, ErrRefused)
	wantErr(t, err, ErrRefused)
	c.mustPropose(leader, 3)
	err = c.change(leader, csraft.Change{Member: csraft.Member{Node: second.id}, Remove: true})
	if err != nil {
		t.Errorf("remove the lost voter: %v", err)
	}
}

// TestSecondFolderLost guards against a group that continues with one voter when a second voter loses its folder before
// the first one is a voter again: the entries of the remaining voter may be on no other node.
func TestSecondFolderLost(t *testing.T) {
	c := newCluster(t, 0)
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	first := c.follower()
	second := c.follower(first.id)
	c.kill(first.id)
	first.disk = csdisk.NewFake()
	c.start(first.id)
	c.waitUntil("the first node is a learner", 5*time.Second, func() bool {
		m, ok := member(leader, first.id)
		return ok && !m.Voter
	})
	c.kill(second.id)
	second.disk = csdisk.NewFake()
	c.start(second.id)
	c.advance(10 * time.Second)
	for _, g := range c.groups() {
		if s := g.Status(); s.Leading {
			t.Errorf("%s leads with members %+v, want no leader", s.Self, s.Members)
		}
	}
	if got := view(leader); got != 1 {
		t.Errorf("got %d, want 1", got)
	}
}

// TestDamagedFolder guards against using a folder with a flipped bit in its log.
func TestDamagedFolder(t *testing.T) {
	c := newCluster(t, 0)
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	n := c.follower()
	c.kill(n.id)
	names, err := n.disk.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if len(name) > 4 && name[:4] == "log-" {
			if err := n.disk.FlipBit(name, 200); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.start(n.id)
	c.waitUntil("the node votes again", 10*time.Second, func() bool {
		m, _ := member(leader, n.id)
		return m.Voter && m.Incarnation == n.group.Status().Incarnation
	})
	if s := n.group.Status(); s.Damaged != 1 || view(n.group) != 1 {
		t.Errorf("got %+v, want one damaged folder", s)
	}
}

// TestDiskError guards against a node that votes or leads with a failed disk, stops serving or does not become a voter
// again after the disk recovers.
func TestDiskError(t *testing.T) {
	c := newCluster(t, 0)
	syncErr := errors.New("sync failed")
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	n := c.nodes[leader.Status().Self]
	n.disk.FailSync(syncErr)
	if got, err := c.propose(leader, 20*time.Second); err != nil || got != 2 {
		t.Fatalf("got %d %v from the node with the failed disk, want 2 by the next leader", got, err)
	}
	s := leader.Status()
	if s.Leading || !errors.Is(s.Err, syncErr) || len(n.errs) == 0 {
		t.Errorf("got %+v, want a node that reports the disk error", s)
	}
	c.waitUntil("the node follows", 5*time.Second, func() bool { return view(leader) == 2 })
	n.disk.FailSync(nil)
	c.waitUntil("the node votes again", 15*time.Second, func() bool { return leader.Status().Err == nil })
	c.kill(c.follower(n.id).id)
	c.mustPropose(c.awaitLeader(), 3)
}

// TestReaderDoesNotDelayTheGroup guards against a leader that is deposed during a long read of its state machine: heartbeats
// must not wait behind entries that wait for the reader.
func TestReaderDoesNotDelayTheGroup(t *testing.T) {
	c := newCluster(t, 0)
	leader := c.awaitLeader()
	term := leader.Status().Term
	held, release := make(chan struct{}), make(chan struct{})
	go leader.View(func(csraft.Machine) {
		close(held)
		<-release
	})
	<-held
	done := make(chan error, 1)
	go func() {
		_, err := leader.Propose(context.Background(), []byte("add"))
		done <- err
	}()
	c.waitUntil("the others apply it", 5*time.Second, func() bool { return view(c.follower(leader.Status().Self).group) == 1 })
	c.advance(2 * csraft.DefaultElectionTimeout)
	if s := leader.Status(); !s.Leading || s.Term != term {
		t.Errorf("got leading %t in term %d, want a leader in term %d", s.Leading, s.Term, term)
	}
	select {
	case err := <-done:
		t.Errorf("got the outcome %v before the entry was applied", err)
	default:
	}
	reading := make(chan uint64, 1)
	go func() {
		n, err := uint64(0), leader.Read(context.Background(), func(m csraft.Machine) {
			if k, ok := m.(*counter); ok {
				reading <- k.total
			}
		})
		if err != nil {
			reading <- n
		}
	}()
	close(release)
	c.waitUntil("the outcome", 5*time.Second, func() bool { return len(done) == 1 && len(reading) == 1 })
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got, want := <-reading, uint64(1); got != want {
		t.Errorf("got %d from a read after the proposal, want %d", got, want)
	}
	if got, want := view(leader), uint64(1); got != want {
		t.Errorf("got %d applied commands, want %d", got, want)
	}
}

// TestPanic guards against a panic of one state machine that ends the process or leaves a partly modified replica.
func TestPanic(t *testing.T) {
	c := newCluster(t, 1)
	leader := c.awaitLeader()
	for _, id := range []csmodel.NodeID{c.follower().id, "l0"} {
		n := c.nodes[id]
		n.group.replica.mu.Lock()
		n.machine.panicNext = true
		n.group.replica.mu.Unlock()
		c.mustPropose(leader, view(leader)+1)
		c.waitUntil("the panic is reported", 5*time.Second, func() bool { return errors.Is(n.group.Status().Err, errPanic) })
		c.waitUntil("the replica is rebuilt", 10*time.Second, func() bool {
			return n.group.Status().Err == nil && view(n.group) == view(leader)
		})
	}
}

// TestLoss guards against proposals that are lost, applied twice or resolved with the result of another one during message
// loss and leader changes.
func TestLoss(t *testing.T) {
	c := newCluster(t, 2)
	c.awaitLeader()
	c.lossPercent = 20
	const each = 150
	var mu sync.Mutex
	seen := map[uint64]bool{}
	var wg sync.WaitGroup
	for _, g := range c.groups() {
		for range each {
			wg.Go(func() {
				b, err := g.Propose(context.Background(), []byte("add"))
				mu.Lock()
				defer mu.Unlock()
				if err != nil || seen[binary.BigEndian.Uint64(b)] {
					t.Errorf("got %v %v, want a new result", b, err)
					return
				}
				seen[binary.BigEndian.Uint64(b)] = true
			})
		}
	}
	old := c.leader().options.Config.Self
	c.advance(300 * time.Millisecond)
	c.isolate(old, true)
	c.advance(3 * time.Second)
	c.isolate(old, false)
	_ = c.run(func() error {
		wg.Wait()
		return nil
	})
	c.lossPercent = 0
	c.waitUntil("all replicas equal", 20*time.Second, func() bool { return c.allReplicasAt(uint64(len(seen))) })
	if len(seen) != 5*each {
		t.Errorf("got %d results, want %d", len(seen), 5*each)
	}
}

// TestClose guards against a planned stop that waits for an election timeout, leaked goroutines and calls that never
// return. It uses the real clock and file system.
func TestClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	disk, err := csdisk.OpenOS(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	var g *Group
	o := Options{
		Config:  csraft.Config{Self: "a", Members: []csraft.Member{{Node: "a", Voter: true}}},
		Machine: &counter{}, Disk: disk, Send: func(csmodel.NodeID, csraft.Message) {},
	}
	for want := range uint64(2) {
		o.Machine = &counter{}
		if g, err = New(o); err != nil {
			t.Fatal(err)
		}
		b, err := g.Propose(t.Context(), nil)
		if err != nil || binary.BigEndian.Uint64(b) != want+1 {
			t.Fatalf("got %v %v, want %d", b, err, want+1)
		}
		if err := g.Close(); err != nil {
			t.Fatal(err)
		}
	}
	_, err = g.Propose(t.Context(), nil)
	wantErr(t, err, ErrClosed)
}

// TestTransfer guards against a planned stop of the leader after which the others wait for an election timeout.
func TestTransfer(t *testing.T) {
	c := newCluster(t, 0)
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	start := c.clock.Now()
	if err := c.run(leader.Close); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	c.nodes[leader.options.Config.Self].group = nil
	c.mu.Unlock()
	c.mustPropose(c.awaitLeader(), 2)
	if took := c.clock.Since(start); took > 500*time.Millisecond {
		t.Errorf("the next leader took %v, want no election timeout", took)
	}
}

// TestFormation guards against forming a second group: nodes with empty disks must not form one while a configured voter
// that is down may have a log.
func TestFormation(t *testing.T) {
	c := newCluster(t, 0)
	c.kill("c")
	c.nodes["c"].disk = csdisk.NewFake()
	c.advance(10 * time.Second)
	if c.leader() != nil {
		t.Fatal("a group was formed without all configured voters")
	}
	c.start("c")
	c.mustPropose(c.awaitLeader(), 1)
	c.kill("b")
	c.kill("c")
	c.kill("a")
	c.nodes["a"].disk = csdisk.NewFake()
	c.nodes["b"].disk = csdisk.NewFake()
	c.start("a")
	c.start("b")
	c.advance(10 * time.Second)
	if c.leader() != nil {
		t.Error("a second group was formed while a voter with a log was down")
	}
}

// TestBrokenLink guards against a node that depends on its direct link to the leader.
func TestBrokenLink(t *testing.T) {
	c := newCluster(t, 1)
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	c.waitUntil("all replicas equal", 5*time.Second, func() bool { return c.allReplicasAt(1) })
	self := leader.Status().Self
	for _, id := range []csmodel.NodeID{"l0", c.follower().id} {
		c.blocked[[2]csmodel.NodeID{self, id}] = true
		c.blocked[[2]csmodel.NodeID{id, self}] = true
	}
	c.advance(3 * time.Second)
	c.mustPropose(c.nodes["l0"].group, 2)
	c.waitUntil("all replicas equal", 5*time.Second, func() bool { return c.allReplicasAt(2) })
	if !leader.Status().Leading {
		t.Error("the leader was replaced because of a link that a quorum does not need")
	}
}

// TestQueuedEntriesShareSync guards against a voter that syncs its disk for each message of the leader: under load the
// messages queue up in its mailbox and delay the commits of the group.
func TestQueuedEntriesShareSync(t *testing.T) {
	const messages = 20
	c := newCluster(t, 0)
	c.snapshotEntries = 10_000
	leader := c.awaitLeader()
	c.mustPropose(leader, 1)
	follower := c.follower()
	c.isolate(leader.Status().Self, true)
	before, from := follower.group.Status(), leader.Status()
	syncs := follower.disk.Syncs()
	blocked, release := make(chan struct{}), make(chan struct{})
	follower.group.root.Send(follower.group.pid, func() { close(blocked); <-release })
	<-blocked
	for i := range messages {
		last := before.Last + csmodel.Index(i)
		follower.group.Receive(from.Self, csraft.Message{
			Kind: csraft.MessageAppend, Incarnation: from.Incarnation, Term: from.Term, Index: last, LogTerm: from.Term,
			Commit: before.Commit, Round: uint64(i + 1),
			Entries: []csraft.Entry{{Term: from.Term, Index: last + 1, Data: []byte("add")}},
		})
	}
	close(release)
	c.settle()
	if got, want := follower.group.Status().Last, before.Last+messages; got != want {
		t.Errorf("got last entry %d, want %d", got, want)
	}
	if got := follower.disk.Syncs() - syncs; got > 2 {
		t.Errorf("got %d syncs for %d messages, want at most 2", got, messages)
	}
}

// TestReadAfterADiskErrorWaits guards against a read that misses a command committed before it: both are queued behind a
// long read when the disk fails, and only the entries are dropped.
func TestReadAfterADiskErrorWaits(t *testing.T) {
	c := newCluster(t, 0)
	leader := c.awaitLeader()
	n := c.nodes[leader.Status().Self]
	held, release := make(chan struct{}), make(chan struct{})
	go leader.View(func(csraft.Machine) {
		close(held)
		<-release
	})
	<-held
	propose := func() { _, _ = leader.Propose(context.Background(), []byte("add")) }
	for want := range uint64(2) {
		go propose()
		c.waitUntil("the others apply it", 5*time.Second, func() bool { return view(c.follower(n.id).group) == want+1 })
	}
	reading := make(chan uint64, 1)
	go func() {
		err := leader.Read(context.Background(), func(m csraft.Machine) {
			if k, ok := m.(*counter); ok {
				reading <- k.total
			}
		})
		if err != nil {
			t.Error(err)
		}
	}()
	c.advance(200 * time.Millisecond) // a majority answers the read
	n.disk.FailSync(errors.New("sync failed"))
	go propose()
	for failed := false; !failed; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		failed = len(n.errs) > 0
		c.mu.Unlock()
	}
	n.disk.FailSync(nil)
	close(release)
	// A node with a failed disk sends no read requests until it reopens its folder.
	c.waitUntil("the read", 2*reopenDelay, func() bool { return len(reading) == 1 })
	if got := <-reading; got < 2 {
		t.Errorf("got %d from a read after two committed commands, want at least 2", got)
	}
}
