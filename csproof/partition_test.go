package csproof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// slotLease is the stated time after which a node has no slots of a home node that it cannot reach.
const slotLease = 2 * time.Second

// side is the nodes on one side of a cut under a steady load of idempotent requests.
type side struct {
	name  string
	nodes []*node
	tally *tally
	// refused is when the last request was not answered.
	mu      sync.Mutex
	refused time.Time
}

func (s *side) run(end <-chan struct{}) {
	for number := 0; ; number++ {
		id := fmt.Sprintf("%s-%d", s.name, number)
		r, err := request(s.nodes[number%len(s.nodes)], "quote", id, "")
		if s.tally.add(id, r, err) != csapi.Answer {
			s.mu.Lock()
			s.refused = time.Now()
			s.mu.Unlock()
		}
		select {
		case <-end:
			return
		case <-time.After(poll / 2):
		}
	}
}

func (s *side) lastRefused() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// watchBudget counts the VMs of a pool that are down at once. No VM goes down but by a planned reboot.
func watchBudget(t *testing.T, targets []*csfake.Target, budget int) func() {
	end := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			down := 0
			for _, target := range targets {
				if target.Down() {
					down++
				}
			}
			if down > budget {
				t.Errorf("%d VMs of the pool reboot at once, budget %d", down, budget)
			}
			select {
			case <-end:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	return func() {
		close(end)
		watcher.Wait()
	}
}

func drain(n *node, vm csmodel.VMID) (reply, error) {
	body, _ := json.Marshal(csapi.Drain{VM: vm})
	return send(n.Listen, http.MethodPost, csapi.DrainsPath, map[string]string{"Authorization": "Bearer " + token}, body)
}

// Guards against an availability zone that stops serving when it is cut off, against two sides that both decide, and
// against an isolated zone that does not catch up (I1, I4, I8, F6).
func TestZoneCut(t *testing.T) {
	c := newCluster(t, 2)
	revision := c.apply(c.nodes[0], 1)
	waitRevision(t, ample, revision, c.nodes...)
	ledger := csfake.NewLedger()
	targets := c.addTargets(ledger, 5*time.Millisecond)
	defer watchBudget(t, targets[:webSize], webBudget)()
	for _, tt := range []struct {
		name              string
		leaving, entering bool
	}{{"two-way", true, true}, {"one-way", true, false}} {
		t.Run(tt.name, func(t *testing.T) {
			leader := c.leader()
			isolated, others := c.split(leader.Zone)
			cutOff := &side{name: tt.name + "-isolated", tally: newTally(), nodes: isolated}
			rest := &side{name: tt.name + "-rest", tally: newTally(), nodes: others}
			end := make(chan struct{})
			var load sync.WaitGroup
			load.Go(func() { cutOff.run(end) })
			load.Go(func() { rest.run(end) })
			stop := sync.OnceFunc(func() {
				close(end)
				load.Wait()
			})
			defer stop() // the load must not outlive a cut that fails
			eventually(t, ample, "load", func() bool { return rest.tally.count(csapi.Answer) > 50 })
			c.cutZone(leader.Zone, tt.leaving, tt.entering)
			cut := time.Now()
			c.checkIsolated(t, cutOff, rest, targets[:webSize], revision)
			revision++
			// Both sides must have answered everything since the slots of the other side have expired.
			eventually(t, ample, "time without refusals", func() bool { return time.Since(cut) > 2*slotLease })
			for _, s := range []*side{cutOff, rest} {
				if at := s.lastRefused(); at.After(cut.Add(slotLease + 500*time.Millisecond)) {
					t.Errorf("%s: request not answered %v after the cut", s.name, at.Sub(cut))
				}
			}
			c.heal()
			waitRevision(t, rolloutTarget, revision, c.nodes...)
			t.Logf("converged %v after the cut", time.Since(cut))
			eventually(t, ample, "all VMs serve", func() bool { return cutOff.nodes[0].serving(len(targets)) })
			stop()
			for _, s := range []*side{cutOff, rest} {
				s.tally.check(t, ledger)
				t.Logf("%s: %d answers, %d not run", s.name, s.tally.count(csapi.Answer), s.tally.count(csapi.NotRun))
			}
		})
	}
	for i := range webBudget + 1 {
		eventually(t, ample, "drain after the cuts", func() bool {
			r, err := drain(c.nodes[0], csmodel.VMID(fmt.Sprintf("web-%d", i)))
			return err == nil && r.status == http.StatusOK
		})
	}
	eventually(t, ample, "reboots end", func() bool { return c.nodes[0].serving(len(targets)) })
}

// checkIsolated submits revisions, tasks and drains on both sides of a cut.
func (c *cluster) checkIsolated(t *testing.T, cutOff, rest *side, vms []*csfake.Target, revision csmodel.Revision) {
	t.Helper()
	for _, n := range cutOff.nodes {
		eventually(t, ample, "stale marks", func() bool {
			groups := n.status().Groups
			return len(groups) == 2 && groups[0].Stale && groups[1].Stale
		})
	}
	if got := c.apply(rest.nodes[0], int(revision)+1); got != revision+1 {
		t.Fatalf("accepted as revision %d, want %d", got, revision+1)
	}
	waitRevision(t, rolloutTarget, revision+1, rest.nodes...)
	task := csclient.Task{Job: "report", Deadline: time.Now().Add(time.Minute), Body: []byte("body")}
	task.ID = csmodel.TaskID(rest.name)
	if _, err := rest.nodes[0].client.Submit(t.Context(), task); err != nil {
		t.Errorf("task on the side with the quorum: %v", err)
	}
	var all sync.WaitGroup
	for _, n := range cutOff.nodes {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			task := task
			task.ID = csmodel.TaskID(cutOff.name + "-" + string(n.Name))
			if _, err := n.client.Submit(ctx, task); !errors.Is(err, csclient.ErrNotRun) {
				t.Errorf("task on isolated node %s: got %v, want not run", n.Name, err)
			}
		})
		all.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if v, err := n.client.ApplyConfiguration(ctx, configuration(50), revision); err == nil {
				t.Errorf("revision on isolated node %s: got %+v", n.Name, v)
			}
		})
	}
	for i := range vms {
		vm := csmodel.VMID(fmt.Sprintf("web-%d", i))
		for _, n := range []*node{cutOff.nodes[0], rest.nodes[0]} {
			all.Go(func() {
				if r, err := drain(n, vm); err == nil && r.status == http.StatusOK && n == cutOff.nodes[0] {
					t.Errorf("isolated node drained %s: %s", vm, r.body)
				}
			})
		}
	}
	all.Wait()
	for _, n := range cutOff.nodes {
		if got := n.metric("configuration_revision"); got != float64(revision) {
			t.Errorf("isolated node %s is at revision %v, want %d", n.Name, got, revision)
		}
	}
}
