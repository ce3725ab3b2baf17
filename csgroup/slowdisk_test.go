package csgroup

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// slowDisk takes a fixed time for each sync.
type slowDisk struct {
	*csdisk.Fake
	delay time.Duration
}

// Sync implements csdisk.Disk.
func (d slowDisk) Sync(name string) error {
	time.Sleep(d.delay)
	return d.Fake.Sync(name)
}

// slowGroups are the members of a group in virtual time, with the timing of the stores and links that take a millisecond.
type slowGroups struct {
	mu     sync.Mutex
	groups map[csmodel.NodeID]*Group
}

func startSlowGroups(t *testing.T, delay time.Duration) *slowGroups {
	t.Helper()
	s := &slowGroups{groups: map[csmodel.NodeID]*Group{}}
	ids := []csmodel.NodeID{"a", "b", "c"}
	var members []csraft.Member
	for _, id := range ids {
		members = append(members, csraft.Member{Node: id, Voter: true})
	}
	for i, id := range ids {
		g, err := New(Options{
			Config: csraft.Config{
				Group: "g", Self: id, Members: members, Seed: uint64(i + 1), Election: 700 * time.Millisecond, Jitter: 250 * time.Millisecond,
				Lease: 650 * time.Millisecond, Heartbeat: 150 * time.Millisecond,
			},
			Machine: &counter{}, Clock: clockwork.NewRealClock(), Disk: slowDisk{csdisk.NewFake(), delay},
			Send: func(to csmodel.NodeID, m csraft.Message) {
				time.AfterFunc(time.Millisecond, func() { s.deliver(id, to, m) })
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		s.groups[id] = g
		s.mu.Unlock()
	}
	return s
}

func (s *slowGroups) deliver(from, to csmodel.NodeID, m csraft.Message) {
	s.mu.Lock()
	g := s.groups[to]
	s.mu.Unlock()
	if g != nil {
		g.Receive(from, m)
	}
}

// propose proposes commands from 20 callers until the channel is closed, and counts those that were committed.
func (s *slowGroups) propose(stop chan struct{}, committed *atomic.Int64) *sync.WaitGroup {
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
				if _, err := s.groups["a"].Propose(ctx, []byte("x")); err == nil {
					committed.Add(1)
				}
				cancel()
			}
		})
	}
	return &all
}

// leading reports whether a member leads with a valid lease.
func (s *slowGroups) leading() bool {
	for _, g := range s.groups {
		if g.Status().Leading {
			return true
		}
	}
	return false
}

// Pattern: the disks of all stores are slow, for example because they share a busy one. Guards against elections that are all replaced
// before their votes arrive, so that there is no leader for as long as the disks are slow (rules LOST, CONFIG and UNASKED).
func TestLeaderIsElectedOnSlowDisks(t *testing.T) {
	const (
		recoverIn = 12 * time.Second // in which requests have to be served again
		observed  = 30 * time.Second
		interval  = 10 * time.Millisecond
	)
	for _, ms := range []int{5, 50, 100, 150, 200, 300, 400} {
		delay := time.Duration(ms) * time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSlowGroups(t, delay)
				stop, committed := make(chan struct{}), atomic.Int64{}
				callers := s.propose(stop, &committed)
				led, first := time.Duration(0), time.Duration(0)
				for at := time.Duration(0); at < observed; at += interval {
					time.Sleep(interval)
					if s.leading() {
						led += interval
						if first == 0 {
							first = at
						}
					}
				}
				close(stop)
				callers.Wait()
				t.Logf("leader after %s, for %s of %s, %d commands committed", first, led, observed, committed.Load())
				if led == 0 || first > recoverIn {
					t.Errorf("got the first leader after %s, want one within %s", first, recoverIn)
				}
				if led < (observed-recoverIn)/2 || committed.Load() == 0 {
					t.Errorf("got a leader for %s and %d commands committed, want more than half of %s", led, committed.Load(), observed-recoverIn)
				}
				for _, g := range s.groups {
					g.stopActor()
				}
			})
		})
	}
}
