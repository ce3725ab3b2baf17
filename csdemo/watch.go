package csdemo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
)

// watcher checks during the run what can be seen from the replicas of the nodes.
type watcher struct {
	cluster *Cluster
	end     chan struct{}
	done    sync.WaitGroup

	mutex     sync.Mutex
	breaches  []string
	revisions map[csmodel.NodeID]csmodel.Revision
	fences    map[csmodel.VMID]ownership
	moves     map[ownership]bool
	idle      []float64
}

// ownership is the pool of a VM under a fence.
type ownership struct {
	vm    csmodel.VMID
	fence csmodel.Fence
	pool  csmodel.PoolID
}

const watchInterval = 50 * time.Millisecond

func newWatcher(c *Cluster) *watcher {
	w := &watcher{
		cluster: c, end: make(chan struct{}), revisions: map[csmodel.NodeID]csmodel.Revision{},
		fences: map[csmodel.VMID]ownership{}, moves: map[ownership]bool{},
	}
	w.done.Go(w.loop)
	return w
}

func (w *watcher) stop() {
	select {
	case <-w.end:
	default:
		close(w.end)
	}
	w.done.Wait()
}

func (w *watcher) loop() {
	for {
		select {
		case <-w.end:
			return
		case <-time.After(watchInterval):
			w.look()
		}
	}
}

func (w *watcher) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, n := range w.cluster.Running() {
		id := n.ID()
		revision := n.Active().Revision
		// A node without a disk has no active configuration right after a start.
		if revision != 0 && revision < w.revisions[id] {
			w.breachf("node %s went from revision %d back to %d", id, w.revisions[id], revision)
		}
		w.revisions[id] = max(revision, w.revisions[id])
		n.ViewFleet(w.checkFleet)
	}
	idle, slots := 0, 0
	for _, t := range w.cluster.Targets() {
		if !t.Down() {
			slots += targetSlots
			idle += targetSlots - t.Busy()
		}
	}
	if slots > 0 {
		w.idle = append(w.idle, float64(idle)/targetSlots)
	}
}

const targetSlots = 8

func (w *watcher) breachf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(w.breaches, text) {
		w.breaches = append(w.breaches, text)
	}
}

// checkFleet checks one replica: planned absences within each budget, and one pool for each VM under each fence on all
// replicas.
func (w *watcher) checkFleet(m *csfleet.Machine) {
	planned := map[csmodel.PoolID]int{}
	for _, vm := range m.VMs() {
		if vm.State != csfleet.Lost && (vm.Step != csfleet.StepNone || vm.Lent()) {
			planned[vm.Home]++
		}
		o := ownership{vm.ID, vm.Fence, vm.Pool}
		old, ok := w.fences[vm.ID]
		if ok && old.fence > o.fence {
			continue // a replica that is behind
		}
		if ok && old.pool != o.pool {
			w.moves[o] = true
		}
		w.fences[vm.ID] = o
	}
	for _, p := range m.Pools() {
		if planned[p.Name] > p.Budget {
			w.breachf("pool %s has %d VMs in planned absence, budget %d", p.Name, planned[p.Name], p.Budget)
		}
	}
}

func servingVMs(c *Cluster) int {
	count := 0
	for _, n := range c.Running() {
		n.ViewFleet(func(m *csfleet.Machine) {
			serving := 0
			for _, vm := range m.VMs() {
				if vm.State == csfleet.Serving {
					serving++
				}
			}
			count = max(count, serving)
		})
	}
	return count
}

// rollouts measures how long revisions take until they are active on the reachable nodes.
type rollouts struct {
	cluster *Cluster

	mutex    sync.Mutex
	excluded csmodel.Set[csmodel.NodeID]
	took     []time.Duration
	missed   int
}

func newRollouts(c *Cluster) *rollouts {
	return &rollouts{cluster: c, excluded: csmodel.NewSet[csmodel.NodeID]()}
}

// exclude leaves out the nodes of a zone that is cut off. They are checked at the end.
func (r *rollouts) exclude(zone csmodel.AvailabilityZone) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range r.cluster.Nodes() {
		if node.Zone == zone {
			r.excluded.Add(node.Name)
		}
	}
}

func (r *rollouts) pause(node csmodel.NodeID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.excluded.Add(node)
}

// rolloutLimit is the time in which a revision must be active everywhere.
const rolloutLimit = 6 * time.Second

func (r *rollouts) measure(ctx context.Context, revision csmodel.Revision, from time.Time) {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	for _, node := range r.cluster.Nodes() {
		err := Wait(ctx, func() bool {
			n := r.cluster.Node(node.Name)
			return r.skip(node.Name) || n != nil && n.Active().Revision >= revision
		})
		if err != nil {
			r.missed++
			continue
		}
		if !r.skip(node.Name) {
			r.took = append(r.took, time.Since(from))
		}
	}
}

func (r *rollouts) skip(node csmodel.NodeID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.excluded.Has(node)
}
