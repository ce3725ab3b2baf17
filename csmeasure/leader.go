package csmeasure

import (
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
	"cowslipstream.example/cowslipstream/cstask"
)

// lossLease is the silence after which the planner reports a VM as lost, as in csnode.
const lossLease = 8 * time.Second

// leader is the region's leader with the replicated state. It stays on the first node.
type leader struct {
	w         *world
	machine   *csfleet.Machine
	planner   *csfleet.Planner
	scheduler *cstask.Scheduler
	policy    cscapacity.Policy
	active    csfleet.ActiveConfiguration
	seen      map[csmodel.VMID]csfleet.Observation
	slots     map[csmodel.VMID]cstarget.Target
	loads     map[*node][]csrequest.Load
	heard     map[*node]time.Duration
	arrivals  map[csmodel.PoolID]uint64
}

func newLeader(w *world, policy cscapacity.Policy, c csconfig.Configuration) *leader {
	l := &leader{
		w: w, machine: csfleet.New(csfleet.Options{}), planner: csfleet.NewPlanner(csfleet.PlannerOptions{Lease: lossLease}),
		scheduler: cstask.NewScheduler(), policy: policy,
		active: csfleet.ActiveConfiguration{Region: region, Revision: 1, Configuration: c},
		seen:   map[csmodel.VMID]csfleet.Observation{}, slots: map[csmodel.VMID]cstarget.Target{},
		loads: map[*node][]csrequest.Load{}, heard: map[*node]time.Duration{}, arrivals: map[csmodel.PoolID]uint64{},
	}
	l.scheduler.Configure(c.Jobs)
	w.every(leaderTick, leaderTick, l.tick)
	return l
}

// report takes the state of a home node.
func (l *leader) report(from *node, targets []cstarget.Target, loads []csrequest.Load) {
	for i, load := range loads {
		if old := l.loads[from]; i < len(old) && old[i].Pool == load.Pool {
			l.arrivals[load.Pool] += load.Arrivals - old[i].Arrivals
		}
	}
	l.loads[from] = loads
	l.heard[from] = l.w.at
	for _, t := range targets {
		v := l.w.byID[t.ID]
		l.slots[t.ID] = t
		l.seen[t.ID] = csfleet.Observation{
			VM: t.ID, Incarnation: t.Incarnation, LastAnnounced: l.w.now(), Zone: t.Zone, Rack: t.Rack, Pool: t.Prepared, CPU: t.Cores,
			Memory: t.Memory, Fence: t.Fence, Drained: v.drained == t.Fence && t.Fence > 0 && !t.Usable, Attempts: t.Running,
		}
	}
}

func (l *leader) tick() {
	w := l.w
	now := w.now()
	loads := l.poolLoads()
	plan := l.policy.Step(now, loads)
	var wanted []csfleet.WantedMoves
	for _, m := range plan.Moves {
		wanted = append(wanted, csfleet.WantedMoves{From: m.From, To: m.To, Count: m.VMs})
	}
	var o csfleet.Observations
	for _, v := range w.vms {
		if ob, ok := l.seen[v.id]; ok {
			o.VMs = append(o.VMs, ob)
		}
	}
	o.Zones = l.zones()
	decided := l.planner.Plan(l.machine, l.active, o, wanted, now)
	actions := l.scheduler.Tick(l.machine.Tasks(), l.workers(plan.DeferredLimits, loads), now)
	w.after(commitTime, func() { l.commit(decided.Commands, actions) })
	w.work.drain(decided.Instructions)
	w.work.yield(plan.DeferredLimits)
	w.sample()
}

// commit applies what the leader proposed. Home nodes read the changed records when their targets announce.
func (l *leader) commit(commands []csfleet.Command, actions []cstask.Action) {
	for _, c := range commands {
		result := l.machine.Do(c, l.w.now())
		if _, ok := c.(csfleet.StartMove); ok && result.Status == csfleet.OK {
			l.w.sums.moves++
		}
	}
	if len(commands) > 0 {
		l.replicate()
	}
	l.w.work.act(actions)
}

// replicate passes the records of the VMs to their home nodes.
func (l *leader) replicate() {
	for _, v := range l.w.vms {
		if record, ok := l.machine.VM(v.id); ok && l.w.reaches(v.zone, l.w.nodes[0].zone) {
			v.node.own(record)
		}
	}
}

// zones tells which availability zones have a node that reports.
func (l *leader) zones() []csfleet.ZoneReachability {
	reachable := map[csmodel.AvailabilityZone]bool{}
	for _, n := range l.w.nodes {
		at, ok := l.heard[n]
		reachable[n.zone] = reachable[n.zone] || ok && l.w.at-at < 3*time.Second
	}
	var zones []csfleet.ZoneReachability
	for _, z := range l.w.zones {
		zones = append(zones, csfleet.ZoneReachability{Name: z, Reachable: reachable[z]})
	}
	return zones
}

type poolCount struct {
	own                int
	borrowed, arriving map[csmodel.PoolID]int
}

// poolLoads sums the reports as csnode does.
func (l *leader) poolLoads() []cscapacity.Load {
	pools := l.machine.Pools()
	loads := make([]cscapacity.Load, len(pools))
	counts := make([]poolCount, len(pools))
	index := make(map[csmodel.PoolID]int, len(pools))
	for i, p := range pools {
		index[p.Name] = i
		loads[i] = cscapacity.Load{
			Pool: p.Name, Spare: p.Spare, Late: l.scheduler.HasLateTask(p.Name), Arrivals: l.arrivals[p.Name],
		}
		counts[i] = poolCount{borrowed: map[csmodel.PoolID]int{}, arriving: map[csmodel.PoolID]int{}}
	}
	for _, n := range l.w.nodes {
		for _, load := range l.loads[n] {
			if i, ok := index[load.Pool]; ok {
				loads[i].Queued += load.Queued
				loads[i].Busy += load.Busy
			}
		}
	}
	for _, record := range l.machine.VMs() {
		if i, ok := index[record.To]; ok && record.InMove() {
			counts[i].arriving[record.From]++
		}
		if i, ok := index[record.Pool]; ok && record.State == csfleet.Serving {
			l.addVM(&loads[i], &counts[i], record)
		}
	}
	for i, p := range pools {
		loads[i].Lendable = max(0, min(p.Budget-l.machine.Unavailable(p.Name), counts[i].own))
		loads[i].Borrowed = listed(counts[i].borrowed)
		loads[i].Arriving = listed(counts[i].arriving)
	}
	return loads
}

func (l *leader) addVM(load *cscapacity.Load, c *poolCount, record csfleet.VM) {
	load.VMs++
	load.Slots += l.slots[record.ID].Slots
	for _, t := range l.w.byID[record.ID].tasks {
		load.Deferred += t.slots
	}
	if record.Home == load.Pool {
		c.own++
		return
	}
	c.borrowed[record.Home]++
}

func listed(counts map[csmodel.PoolID]int) []cscapacity.Borrowed {
	var list []cscapacity.Borrowed
	for _, home := range csmodel.SortedKeys(counts) {
		list = append(list, cscapacity.Borrowed{Home: home, VMs: counts[home]})
	}
	return list
}

// workers describes the VMs to the scheduler, without the reserved slots.
func (l *leader) workers(limits []cscapacity.DeferredLimit, loads []cscapacity.Load) []cstask.Worker {
	part := map[csmodel.PoolID]float64{}
	i := 0
	for _, s := range limits {
		for loads[i].Pool != s.Pool {
			i++
		}
		if loads[i].Slots > 0 {
			part[s.Pool] = float64(s.Reserved) / float64(loads[i].Slots)
		}
	}
	var workers []cstask.Worker
	for _, record := range l.machine.VMs() {
		seen, ok := l.seen[record.ID]
		w := cstask.Worker{
			VM: record.ID, Pool: record.Pool, Zone: record.Zone, Rack: record.Rack, CPU: record.CPU, Memory: record.Memory,
			Serving: record.State == csfleet.Serving && ok, Quarantined: l.slots[record.ID].Quarantined, ReportedAt: seen.LastAnnounced,
			FreeCPU:    record.CPU - csmodel.MilliCPU(part[record.Pool]*float64(record.CPU)),
			FreeMemory: record.Memory,
		}
		for _, t := range l.w.byID[record.ID].tasks {
			used := t.usage()
			w.FreeCPU -= used.CPU
			w.FreeMemory -= used.Memory
			w.Running = append(w.Running, cstask.Running{Task: t.id, Fence: t.fence, Used: used})
		}
		workers = append(workers, w)
	}
	return workers
}
