package csfleet

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// Default times of a planner.
const (
	DefaultLease        = 3 * time.Second
	DefaultDrainLimit   = 10 * time.Minute
	DefaultPrepareLimit = time.Minute
	DefaultRebootLimit  = 10 * time.Minute
	pendingTime         = 5 * time.Second // how long a started step may take to be committed before it is planned anew
)

// PlannerOptions configure a Planner. Zero fields get defaults.
type PlannerOptions struct {
	// Lease is the target lease: a VM that was not heard for this long is lost.
	Lease time.Duration
	// DrainLimit is how long a drain may take before the step is undone.
	DrainLimit time.Duration
	// PrepareLimit and RebootLimit are how long a VM may be silent while it prepares for a pool or reboots.
	PrepareLimit, RebootLimit time.Duration
}

func (o PlannerOptions) defaults() PlannerOptions {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.DrainLimit = cmp.Or(o.DrainLimit, DefaultDrainLimit)
	o.PrepareLimit = cmp.Or(o.PrepareLimit, DefaultPrepareLimit)
	o.RebootLimit = cmp.Or(o.RebootLimit, DefaultRebootLimit)
	return o
}

// Planner decides what the leader proposes. It can be replaced by a new one at any time. Create one with NewPlanner.
type Planner struct {
	options PlannerOptions
	since   time.Time // start of the observation
	last    time.Time // last tick
	zones   map[csmodel.AvailabilityZone]reach
	pending map[csmodel.VMID]start
	retry   map[csmodel.VMID]time.Time // when a VM whose drain took too long may be drained for a reboot again
}

// reach is the observed reachability of a zone and when it last changed.
type reach struct {
	ok    bool
	since time.Time
}

// start is a voluntary step that has been proposed and may not be committed yet.
type start struct {
	fence    csmodel.Fence
	step     Step
	from, to csmodel.PoolID
	until    time.Time
}

// NewPlanner returns a planner that observes for one target lease before it reports a VM as lost.
func NewPlanner(o PlannerOptions) *Planner {
	return &Planner{
		options: o.defaults(),
		zones:   make(map[csmodel.AvailabilityZone]reach),
		pending: make(map[csmodel.VMID]start),
		retry:   make(map[csmodel.VMID]time.Time),
	}
}

// Plan decides for the current state. The commands may be proposed in any order and repeated; the machine refuses those
// that no longer apply.
func (p *Planner) Plan(m *Machine, a Active, o Observations, wanted []Wanted, now time.Time) Plan {
	p.observe(m, o, now)
	t := newTick(p, m, o, now)
	t.configure(a)
	t.reportZones(o.Zones)
	for _, v := range m.order {
		t.follow(v)
	}
	t.register()
	t.replace(o.Replaced)
	t.move(wanted)
	for _, w := range a.Configuration.Waves {
		t.wave(w)
	}
	return t.plan
}

// observe restarts the observation after a pause, in which the planner may have missed announcements.
func (p *Planner) observe(m *Machine, o Observations, now time.Time) {
	if p.last.IsZero() || now.Sub(p.last) > p.options.Lease {
		p.since = now
	}
	p.last = now
	for _, z := range o.Zones {
		if r, ok := p.zones[z.Name]; !ok || r.ok != z.Reachable {
			p.zones[z.Name] = reach{ok: z.Reachable, since: now}
		}
	}
	for id, s := range p.pending {
		v, ok := m.vms[id]
		if !ok || v.Fence != s.fence || now.After(s.until) {
			delete(p.pending, id)
		}
	}
	for id, until := range p.retry {
		if now.After(until) {
			delete(p.retry, id)
		}
	}
}

// tick is the working state of one call of Plan.
type tick struct {
	*Planner
	m       *Machine
	now     time.Time
	seen    map[csmodel.VMID]*Observation
	fresh   []*Observation // of VMs without a record
	homes   map[csmodel.PoolID][]*VM
	started map[account]int // voluntary steps of this tick and VMs that the machine does not count yet
	plan    Plan
}

func newTick(p *Planner, m *Machine, o Observations, now time.Time) *tick {
	t := &tick{
		Planner: p,
		m:       m,
		now:     now,
		seen:    make(map[csmodel.VMID]*Observation, len(o.VMs)),
		homes:   make(map[csmodel.PoolID][]*VM, len(m.pools)),
		started: make(map[account]int),
	}
	for i := range o.VMs {
		ob := &o.VMs[i]
		if other, ok := t.seen[ob.VM]; ok && !ob.newer(other) {
			continue
		}
		t.seen[ob.VM] = ob
	}
	for _, v := range m.order {
		t.homes[v.Home] = append(t.homes[v.Home], v)
		t.countUnrecorded(v)
	}
	return t
}

// newer prefers the later incarnation and then the later report, when two home nodes report the same VM.
func (o *Observation) newer(other *Observation) bool {
	return cmp.Or(cmp.Compare(o.Incarnation, other.Incarnation), o.Heard.Compare(other.Heard)) > 0
}

// countUnrecorded charges a VM that the machine still counts as available: its zone is observed as unreachable, or a
// step of it is about to be committed.
func (t *tick) countUnrecorded(v *VM) {
	_, pending := t.pending[v.ID]
	if t.m.available(v) && (pending || t.cut(v.Zone)) {
		a, _, _ := t.m.budget.account(t.m, v)
		t.started[a]++
	}
}

// cut tells whether a zone is recorded or observed as unreachable, where the budget rule depends on that.
func (t *tick) cut(z csmodel.AvailabilityZone) bool {
	if t.m.options.Escrow {
		return false
	}
	r, ok := t.zones[z]
	return t.m.zones[z].Cut || ok && !r.ok
}

func (t *tick) propose(c Command) { t.plan.Commands = append(t.plan.Commands, c) }

func (t *tick) instruct(i Instruction) { t.plan.Instructions = append(t.plan.Instructions, i) }

func (t *tick) configure(a Active) {
	if a.Revision <= t.m.revision {
		return
	}
	c := Configure{Revision: a.Revision}
	for _, p := range a.Configuration.Pools {
		if p.Region == a.Region {
			c.Pools = append(c.Pools, p)
		}
	}
	for _, tm := range a.Configuration.Teams {
		if tm.Tasks > 0 {
			c.Teams = append(c.Teams, cstask.TeamLimit{Team: tm.Name, Tasks: tm.Tasks})
		}
	}
	t.propose(c)
}

func (t *tick) reportZones(zones []Zone) {
	for _, z := range zones {
		ok, version := t.m.Reachable(z.Name)
		if ok != z.Reachable {
			t.propose(ReportZone{Zone: z.Name, Version: version, Reachable: z.Reachable})
		}
	}
}

// register adds the VMs that announce themselves for the first time.
func (t *tick) register() {
	for id, ob := range t.seen {
		if _, ok := t.m.vms[id]; !ok {
			t.fresh = append(t.fresh, ob)
		}
	}
	slices.SortFunc(t.fresh, func(a, b *Observation) int { return cmp.Compare(a.VM, b.VM) })
	for _, ob := range t.fresh {
		p, ok := t.m.pools[ob.Pool]
		if !ok || !p.configured || !p.accepts(ob.Zone) || t.now.Sub(ob.Heard) > t.options.Lease {
			continue
		}
		t.propose(ob.registration())
	}
}

func (o *Observation) registration() RegisterVM {
	return RegisterVM{
		VM: o.VM, Home: o.Pool, Zone: o.Zone, Rack: o.Rack, Incarnation: o.Incarnation, CPU: o.CPU, Memory: o.Memory,
	}
}

func (t *tick) replace(replaced []Replacement) {
	for _, r := range replaced {
		v, ok := t.m.vms[r.Old]
		if !ok || v.State != Lost {
			continue
		}
		c := RemoveVM{VM: v.ID, Fence: v.Fence}
		if ob, ok := t.seen[r.New]; ok {
			n := ob.registration()
			n.Home = v.Home
			c.Replacement = &n
		}
		t.propose(c)
	}
}

// wavePools returns the pools of a wave that exist, without duplicates.
func (t *tick) wavePools(w csconfig.Wave) []csmodel.PoolID {
	var pools []csmodel.PoolID
	for _, id := range w.Pools {
		if p, ok := t.m.pools[id]; ok && p.configured && !slices.Contains(pools, id) {
			pools = append(pools, id)
		}
	}
	return pools
}
