package csnode

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstarget"
)

const (
	// ticks of targetsTick between two summaries for the other nodes and reports for the leader.
	summaryTicks = 3
	reportTicks  = 5
	// reportRefresh is the interval of full reports, which repair what a lost message or a new leader misses.
	reportRefresh = 10 * time.Second
	// summaryRefresh is the interval in which unchanged summaries are repeated, for nodes that restarted.
	summaryRefresh = 5 * time.Second
)

// targetsActor runs the registry and the grantor of this home node.
type targetsActor struct {
	n        *Node
	registry *cstarget.Registry
	tasks    map[csmodel.VMID][]cstarget.TaskReport
	drained  map[csmodel.VMID]csmodel.Fence
	remote   map[csmodel.NodeID][]csmodel.PoolSummary
	loads    loadsChanged
	ticks    int
	scanned  time.Time // when the replica was last read
	behind   bool      // the replica has changed since
	news     bool      // a move or maintenance waits for the next report

	summary     uint64 // hash of the summaries sent last
	summarySent time.Time
	reported    map[csmodel.VMID]uint64 // hashes of the observations sent last
	refreshed   time.Time
	leader      csmodel.NodeID
}

type (
	announcement struct {
		value cstarget.Announcement
		reply chan<- cstarget.AnnounceReply
	}
	loadsChanged struct {
		loads []poolLoad
		waits []csmodel.PoolWait
	}
	nodeLeaving struct{ node csmodel.NodeID }
	acknowledge struct {
		vm  csmodel.VMID
		ack cstarget.TaskAck
	}
	readTargets struct{ reply chan<- []cstarget.Target }
)

func newTargetsActor(n *Node) *targetsActor {
	return &targetsActor{
		n: n,
		registry: cstarget.NewRegistry(cstarget.Config{
			Node: n.settings.Node, Nodes: n.failover(), Started: n.clock.Now(),
		}),
		tasks:    map[csmodel.VMID][]cstarget.TaskReport{},
		drained:  map[csmodel.VMID]csmodel.Fence{},
		remote:   map[csmodel.NodeID][]csmodel.PoolSummary{},
		reported: map[csmodel.VMID]uint64{},
	}
}

// failover lists the addresses that targets of this node announce to: this node, the others of its availability zone,
// then the other zones of the region.
func (n *Node) failover() []string {
	own := []string{}
	near := []string{}
	far := []string{}
	for _, p := range n.settings.Nodes {
		switch {
		case n.self(p.Name):
			own = append(own, p.Listen)
		case p.Region == n.settings.Region && p.Zone == n.settings.Zone:
			near = append(near, p.Listen)
		case p.Region == n.settings.Region:
			far = append(far, p.Listen)
		}
	}
	return append(append(own, near...), far...)
}

// Receive handles a message.
func (a *targetsActor) Receive(c actor.Context) {
	now := a.n.clock.Now()
	switch m := c.Message().(type) {
	case announcement:
		a.announce(now, m)
	case cstarget.SlotRequest:
		a.n.deliverGrant(m.Node, a.registry.Grantor().Request(now, m))
	case replicaChanged:
		a.behind = true
		if now.Sub(a.scanned) >= scanInterval {
			a.readReplica(now)
		}
	case summaryOf:
		a.remote[m.node] = m.pools
	case loadsChanged:
		a.loads = m
	case rehomedMessage:
		a.registry.RemoveMoved(m.VM, m.Incarnation, m.Sequence)
	case nodeLeaving:
		a.registry.Grantor().Release(m.node)
	case peerUp:
		a.summarySent = time.Time{}
	case acknowledge:
		a.registry.Acknowledge(m.vm, m.ack)
	case readTargets:
		m.reply <- a.registry.Targets()
	case tick:
		a.tick(now)
	}
}

func (a *targetsActor) announce(now time.Time, m announcement) {
	id := m.value.ID
	a.n.viewFleet(func(f *csfleet.Machine) {
		if vm, ok := f.VM(id); ok {
			a.own(now, vm)
		}
	})
	reply, events := a.registry.Announce(now, m.value)
	m.reply <- reply
	a.handle(events)
	a.tasks[id] = m.value.Tasks
	if m.value.Moved {
		rehomed := encode(rehomedMessage{VM: id, Incarnation: m.value.Incarnation, Sequence: m.value.Sequence})
		a.n.broadcast(kindRehomed, rehomed, "")
	}
	a.n.send(a.n.tree.deferred, taskReports{
		machine:  Machine{VM: id, Address: m.value.Address, Incarnation: m.value.Incarnation},
		sequence: m.value.Sequence,
		reports:  m.value.Tasks,
	})
}

func (a *targetsActor) own(now time.Time, vm csfleet.VM) {
	a.handle(a.registry.SetOwnership(now, cstarget.Ownership{
		VM: vm.ID, Pool: vm.Pool, Fence: vm.Fence, Usable: vm.State == csfleet.Serving,
	}))
}

func (a *targetsActor) readReplica(now time.Time) {
	a.scanned = now
	a.behind = false
	targets := a.registry.Targets()
	a.n.viewFleet(func(f *csfleet.Machine) {
		for _, t := range targets {
			if vm, ok := f.VM(t.ID); ok {
				a.own(now, vm)
			} else {
				a.registry.RemoveOwnership(t.ID)
			}
		}
	})
}

func (a *targetsActor) handle(events []cstarget.Event) {
	for _, e := range events {
		t := e.Target
		switch e.Kind {
		case cstarget.TargetNew:
			a.n.log.Info("target announced", zap.String("vm", string(t.ID)), zap.String("address", t.Address),
				zap.Uint64("incarnation", uint64(t.Incarnation)))
		case cstarget.TargetChanged:
			a.news = true
			a.n.log.Debug("target changed", zap.String("vm", string(t.ID)))
		case cstarget.TargetLost, cstarget.TargetLeft:
			delete(a.tasks, t.ID)
			delete(a.drained, t.ID)
			a.n.send(a.n.tree.deferred, targetGone{t.ID})
			a.n.log.Warn("target lost", zap.String("vm", string(t.ID)), zap.Bool("leaving", t.Leaving))
		case cstarget.TargetDrained:
			a.drained[t.ID] = t.Fence
			a.news = true
			a.n.log.Info("target drained", zap.String("vm", string(t.ID)), zap.Uint64("fence", uint64(t.Fence)))
		}
	}
}

// shareHealth tells the quarantine how many targets of each pool other home nodes have quarantined.
func (a *targetsActor) shareHealth() {
	type share struct{ targets, quarantined int }
	total := map[csmodel.PoolID]share{}
	for _, pools := range a.remote {
		for _, p := range pools {
			s := total[p.Pool]
			s.targets += p.Targets
			s.quarantined += p.Quarantined
			total[p.Pool] = s
		}
	}
	for _, pool := range csmodel.SortedKeys(total) {
		a.registry.Health().SetRemoteCounts(pool, total[pool].targets, total[pool].quarantined)
	}
}

func (a *targetsActor) tick(now time.Time) {
	if a.behind {
		a.readReplica(now)
	}
	a.handle(a.registry.Tick(now))
	a.ticks++
	if a.ticks%summaryTicks == 0 {
		a.shareHealth()
		a.summarise(now)
	}
	if a.ticks%reportTicks == 0 || a.news {
		a.news = false
		a.report(now)
	}
}

func (a *targetsActor) summarise(now time.Time) {
	pools := a.registry.Summaries(now, a.loads.waits)
	a.n.metrics.observeSummaries(pools)
	message := encode(summaryMessage{pools})
	hash := xxhash.Sum64(message)
	a.n.send(a.n.tree.requests, summaryOf{node: a.n.settings.Node, pools: pools})
	if hash == a.summary && now.Sub(a.summarySent) < summaryRefresh {
		return
	}
	a.summary = hash
	a.summarySent = now
	a.n.broadcast(kindSummary, message, "summary")
}

// report tells the region's leader what changed since the previous report.
func (a *targetsActor) report(now time.Time) {
	leader := a.n.region.Status().Leader
	if leader == "" {
		return
	}
	full := leader != a.leader || now.Sub(a.refreshed) >= reportRefresh
	if full {
		a.leader = leader
		a.refreshed = now
		clear(a.reported)
	}
	report := reportMessage{Full: full, Loads: a.loads.loads}
	present := map[csmodel.VMID]uint64{}
	for _, t := range a.registry.Targets() {
		o := a.observe(t)
		hash := xxhash.Sum64(encode(o))
		present[t.ID] = hash
		if old, ok := a.reported[t.ID]; !ok || old != hash {
			report.VMs = append(report.VMs, o)
		}
	}
	for _, id := range csmodel.SortedKeys(a.reported) {
		if _, ok := present[id]; !ok {
			report.Gone = append(report.Gone, id)
		}
	}
	a.reported = present
	if a.n.self(leader) {
		a.n.send(a.n.tree.capacity, homeReport{from: leader, report: report})
		return
	}
	a.n.notify(leader, kindReport, encode(report), "")
}

func (a *targetsActor) observe(t cstarget.Target) observedVM {
	fence, drained := a.drained[t.ID]
	o := observedVM{
		VM: t.ID, Incarnation: t.Incarnation, Zone: t.Zone, Rack: t.Rack, Pool: t.Prepared, CPU: t.Cores,
		Memory: t.Memory, Fence: t.Fence, Drained: drained && fence == t.Fence && !t.Usable, Quarantined: t.Quarantined,
		Slots: t.Slots,
	}
	for _, r := range a.tasks[t.ID] {
		if r.State == cstarget.TaskRunning {
			o.Tasks = append(o.Tasks, observedTask{ID: r.ID, Fence: r.Fence, CPU: r.CPU, Memory: r.Memory})
		}
	}
	return o
}
