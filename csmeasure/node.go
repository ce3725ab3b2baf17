package csmeasure

import (
	"fmt"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
)

// Ticks of a node between two of its messages, as in csnode.
const (
	shareTicks   = 10 // of requestsTick
	summaryTicks = 3  // of targetsTick
	reportTicks  = 5  // of targetsTick
)

// node is an entry node: router, slot holder and target registry.
type node struct {
	w        *world
	id       csmodel.NodeID
	zone     csmodel.AvailabilityZone
	router   *csrequest.Router
	holder   *cstarget.Holder
	registry *cstarget.Registry
	ticks    int
	beats    int
	requests map[csrequest.RequestID]*request
	next     csrequest.RequestID
	remote   map[csmodel.NodeID][]csmodel.PoolSummary
	summed   []csmodel.PoolSummary // sent last
	summedAt time.Duration
}

// request is a request of a caller.
type request struct {
	arrived  time.Duration
	measured bool
	started  bool
}

func newNode(w *world, i int, c csconfig.Configuration) *node {
	n := &node{
		w: w, id: csmodel.NodeID(fmt.Sprintf("node%02d", i)), zone: w.zones[i%len(w.zones)],
		requests: map[csrequest.RequestID]*request{}, remote: map[csmodel.NodeID][]csmodel.PoolSummary{},
	}
	n.router = csrequest.NewRouter(csrequest.Config{
		Node: n.id, Incarnation: 1, Zone: n.zone,
		Keys: csrequest.NewKeys(csrequest.KeysConfig{Node: n.id, Incarnation: 1}),
	})
	n.holder = cstarget.NewHolder(cstarget.HolderConfig{Node: n.id, Incarnation: 1, Zone: n.zone})
	n.registry = cstarget.NewRegistry(cstarget.Config{Node: n.id, Started: epoch})
	n.router.Step(epoch, csrequest.Configure{Configuration: c, Share: 1 / float64(w.profile.Nodes)})
	w.every(time.Duration(i)*time.Millisecond, requestsTick, n.tickRequests)
	w.every(time.Duration(i)*time.Millisecond, targetsTick, n.tickTargets)
	return n
}

func (n *node) step(e csrequest.Event) {
	for _, command := range n.router.Step(n.w.now(), e) {
		switch c := command.(type) {
		case csrequest.Dispatch:
			n.dispatch(c)
		case csrequest.Reply:
			n.reply(c)
		case csrequest.Demand:
			n.holder.SetDemand(c.SlotDemand)
		}
	}
}

// arrive takes a request of a caller.
func (n *node) arrive(pool csmodel.PoolID) {
	n.next++
	id := n.next
	n.requests[id] = &request{arrived: n.w.at, measured: n.w.measured()}
	if n.w.measured() {
		n.w.sums.requests++
	}
	n.step(csrequest.RequestArrived{ID: id, Job: urgentJob(pool), Team: "team", Idempotent: true})
	if n.w.canceled > 0 && n.w.rng.Float64() < n.w.canceled {
		n.w.after(cancelDelay, func() { n.step(csrequest.Cancelled{ID: id}) })
	}
}

func (n *node) reply(c csrequest.Reply) {
	r := n.requests[c.ID]
	delete(n.requests, c.ID)
	if !r.measured {
		return
	}
	s := &n.w.sums
	switch c.Outcome {
	case csrequest.Answered:
		s.answered++
		latency := n.w.at - r.arrived + 2*n.w.profile.Caller
		_ = s.latency.RecordValue(int64(latency / time.Microsecond)) // a request ends within its timeout
	case csrequest.NotRun:
		s.refused++
	default:
		s.unknown++
	}
}

// dispatch sends an attempt to its target and reports what came of it.
func (n *node) dispatch(d csrequest.Dispatch) {
	if r, ok := n.requests[d.Request]; ok && !r.started {
		r.started = true
		if r.measured && n.w.at-r.arrived <= startLimit {
			n.w.sums.started++
		}
	}
	v := n.w.byID[d.Target]
	if !n.w.reaches(n.zone, v.zone) || v.lost {
		n.w.after(min(silence, d.Limit), func() { n.step(csrequest.AttemptFailed{Attempt: d.Attempt}) })
		return
	}
	n.w.send(n.zone, v.zone, func() { v.attempt(n, d) })
}

func (n *node) tickRequests() {
	w := n.w
	now := w.now()
	n.step(csrequest.Tick{})
	var uses []cstarget.TargetUse
	for _, u := range n.router.TargetUsage() {
		uses = append(uses, cstarget.TargetUse{
			Target: u.Target, Incarnation: u.Incarnation, InFlight: u.InFlight, Succeeded: u.Succeeded, Failed: u.Failed,
		})
	}
	n.holder.UpdateUses(uses)
	for _, r := range n.holder.Requests(now) {
		home := w.node(r.Home)
		w.send(n.zone, home.zone, func() {
			grant := home.registry.Grantor().Request(w.now(), r.Request)
			w.send(home.zone, n.zone, func() { n.granted(grant) })
		})
	}
	n.ticks++
	if n.ticks%shareTicks == 0 {
		n.step(csrequest.SlotsChanged{Leases: n.holder.Leases(now)})
	}
}

func (n *node) granted(g cstarget.SlotGrant) {
	if n.holder.ApplyGrant(g) {
		n.step(csrequest.SlotsChanged{Leases: n.holder.Leases(n.w.now())})
	}
}

func (n *node) tickTargets() {
	w := n.w
	now := w.now()
	n.handle(n.registry.Tick(now))
	n.beats++
	if n.beats%summaryTicks == 0 {
		n.summarise(now)
	}
	if n.beats%reportTicks == 0 {
		targets := n.registry.Targets()
		loads := n.router.Loads(now)
		w.send(n.zone, w.nodes[0].zone, func() { w.leader.report(n, targets, loads) })
	}
}

// summarise sends the summaries where they changed or were not sent for a second, as csnode does.
func (n *node) summarise(now time.Time) {
	w := n.w
	pools := n.registry.Summaries(now, n.router.Waits(now))
	if slices.Equal(pools, n.summed) && w.at-n.summedAt < time.Second {
		return
	}
	n.summed = pools
	n.summedAt = w.at
	for _, to := range w.nodes {
		w.send(n.zone, to.zone, func() { to.summary(n, pools) })
	}
}

func (n *node) summary(from *node, pools []csmodel.PoolSummary) {
	n.holder.SetSummaries(from.id, pools)
	if from == n {
		return
	}
	n.step(csrequest.SummariesChanged{Node: from.id, Pools: pools})
	n.remote[from.id] = pools
	targets := map[csmodel.PoolID]int{}
	quarantined := map[csmodel.PoolID]int{}
	for _, list := range n.remote {
		for _, p := range list {
			targets[p.Pool] += p.Targets
			quarantined[p.Pool] += p.Quarantined
		}
	}
	for _, pool := range csmodel.SortedKeys(targets) {
		n.registry.Health().SetRemoteCounts(pool, targets[pool], quarantined[pool])
	}
}

// own reads the record of a VM from the node's replica.
func (n *node) own(v csfleet.VM) {
	n.handle(n.registry.SetOwnership(n.w.now(), cstarget.Ownership{
		VM: v.ID, Pool: v.Pool, Fence: v.Fence, Usable: v.State == csfleet.Serving,
	}))
}

func (n *node) handle(events []cstarget.Event) {
	for _, e := range events {
		if e.Kind == cstarget.TargetDrained {
			n.w.byID[e.Target.ID].drained = e.Target.Fence
		}
	}
}

func (w *world) node(id csmodel.NodeID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
