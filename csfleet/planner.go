package csfleet

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// Defaults of PlannerOptions.
const (
	DefaultLease        = 3 * time.Second
	DefaultDrainLimit   = 10 * time.Minute
	DefaultPrepareLimit = time.Minute
	DefaultRebootLimit  = 10 * time.Minute
	pendingTimeout      = 5 * time.Second // a step that is not committed within this time is planned again
)

// PlannerOptions configures a Planner. Zero fields take the defaults.
type PlannerOptions struct {
	// Lease is the target lease: a VM that has not announced for this long is lost.
	Lease time.Duration
	// DrainLimit is the longest time that a drain may take before its step is undone.
	DrainLimit time.Duration
	// PrepareLimit and RebootLimit are the longest times for which a VM may send no announcement while it prepares for
	// a pool and while it reboots.
	PrepareLimit, RebootLimit time.Duration
}

func (o PlannerOptions) defaults() PlannerOptions {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.DrainLimit = cmp.Or(o.DrainLimit, DefaultDrainLimit)
	o.PrepareLimit = cmp.Or(o.PrepareLimit, DefaultPrepareLimit)
	o.RebootLimit = cmp.Or(o.RebootLimit, DefaultRebootLimit)
	return o
}

// Planner decides which commands the leader proposes. It holds no replicated state, so a new Planner can replace it at
// any time. Create one with NewPlanner.
type Planner struct {
	options        PlannerOptions
	observingSince time.Time // start of the observation without gaps
	lastTick       time.Time
	zones          map[csmodel.AvailabilityZone]reachability
	pending        map[csmodel.VMID]pendingStep
	retryDrainAt   map[csmodel.VMID]time.Time // when a VM whose drain exceeded DrainLimit may be drained for a reboot again
}

// reachability is the observed reachability of a zone and the time of its last change.
type reachability struct {
	reachable bool
	since     time.Time
}

// pendingStep is a voluntary step that has been proposed and may not be committed yet.
type pendingStep struct {
	fence    csmodel.Fence
	step     Step
	from, to csmodel.PoolID
	expiry   time.Time
}

// NewPlanner returns a planner that observes for one target lease before it reports a VM as lost.
func NewPlanner(o PlannerOptions) *Planner {
	return &Planner{
		options:      o.defaults(),
		zones:        make(map[csmodel.AvailabilityZone]reachability),
		pending:      make(map[csmodel.VMID]pendingStep),
		retryDrainAt: make(map[csmodel.VMID]time.Time),
	}
}

// Plan returns the commands, the instructions and the progress of the waves for the current state. The commands may be
// proposed in any order and more than once; the machine refuses those that no longer apply.
func (p *Planner) Plan(m *Machine, a ActiveConfiguration, o Observations, wanted []WantedMoves, now time.Time) Plan {
	p.observe(m, o, now)
	t := newTick(p, m, o, now)
	t.proposeConfiguration(a)
	t.reportZones(o.Zones)
	for _, v := range m.sortedVMs {
		t.advance(v)
	}
	t.register()
	t.removeReplaced(o.Replaced)
	t.planMoves(wanted)
	for _, w := range a.Configuration.Waves {
		t.planWave(w)
	}
	return t.plan
}

// observe records the reachability of the zones and drops expired entries. It restarts the observation after a gap of
// more than a target lease between ticks, in which the planner may have missed announcements.
func (p *Planner) observe(m *Machine, o Observations, now time.Time) {
	if p.lastTick.IsZero() || now.Sub(p.lastTick) > p.options.Lease {
		p.observingSince = now
	}
	p.lastTick = now
	for _, z := range o.Zones {
		if r, ok := p.zones[z.Name]; !ok || r.reachable != z.Reachable {
			p.zones[z.Name] = reachability{reachable: z.Reachable, since: now}
		}
	}
	for id, s := range p.pending {
		v, ok := m.vms[id]
		if !ok || v.Fence != s.fence || now.After(s.expiry) {
			delete(p.pending, id)
		}
	}
	for id, until := range p.retryDrainAt {
		if now.After(until) {
			delete(p.retryDrainAt, id)
		}
	}
}

// tick is the working state of one call of Plan.
type tick struct {
	*Planner
	m            *Machine
	now          time.Time
	observed     map[csmodel.VMID]*Observation
	unregistered []*Observation // of VMs without a record
	vmsByHome    map[csmodel.PoolID][]*VM
	uncounted    map[account]int // unavailable VMs that the machine does not count yet, with the steps of this tick
	plan         Plan
}

func newTick(p *Planner, m *Machine, o Observations, now time.Time) *tick {
	t := &tick{
		Planner:   p,
		m:         m,
		now:       now,
		observed:  make(map[csmodel.VMID]*Observation, len(o.VMs)),
		vmsByHome: make(map[csmodel.PoolID][]*VM, len(m.pools)),
		uncounted: make(map[account]int),
	}
	for i := range o.VMs {
		ob := &o.VMs[i]
		if other, ok := t.observed[ob.VM]; ok && !ob.newer(other) {
			continue
		}
		t.observed[ob.VM] = ob
	}
	for _, v := range m.sortedVMs {
		t.vmsByHome[v.Home] = append(t.vmsByHome[v.Home], v)
		t.countUnrecorded(v)
	}
	return t
}

// newer reports whether o replaces the observation of the same VM by another home node: the later incarnation wins,
// then the later announcement.
func (o *Observation) newer(other *Observation) bool {
	return cmp.Or(cmp.Compare(o.Incarnation, other.Incarnation), o.LastAnnounced.Compare(other.LastAnnounced)) > 0
}

// countUnrecorded charges a VM that the machine still counts as available although its zone is observed as unreachable
// or a step of it is waiting to be committed.
func (t *tick) countUnrecorded(v *VM) {
	_, pending := t.pending[v.ID]
	if t.m.available(v) && (pending || t.zoneUnavailable(v.Zone)) {
		a, _, _ := t.m.budget.account(t.m, v)
		t.uncounted[a]++
	}
}

// zoneUnavailable reports whether a zone is recorded or observed as unreachable. It is false for every zone with
// escrow, where the budget does not depend on reachability.
func (t *tick) zoneUnavailable(z csmodel.AvailabilityZone) bool {
	if t.m.options.Escrow {
		return false
	}
	r, ok := t.zones[z]
	return t.m.zones[z].Unreachable || ok && !r.reachable
}

func (t *tick) propose(c Command) { t.plan.Commands = append(t.plan.Commands, c) }

func (t *tick) instruct(i Instruction) { t.plan.Instructions = append(t.plan.Instructions, i) }

func (t *tick) proposeConfiguration(a ActiveConfiguration) {
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

func (t *tick) reportZones(zones []ZoneReachability) {
	for _, z := range zones {
		ok, version := t.m.Reachable(z.Name)
		if ok != z.Reachable {
			t.propose(ReportZone{Zone: z.Name, Version: version, Reachable: z.Reachable})
		}
	}
}

// register proposes the registration of VMs that announce for the first time.
func (t *tick) register() {
	for id, ob := range t.observed {
		if _, ok := t.m.vms[id]; !ok {
			t.unregistered = append(t.unregistered, ob)
		}
	}
	slices.SortFunc(t.unregistered, func(a, b *Observation) int { return cmp.Compare(a.VM, b.VM) })
	for _, ob := range t.unregistered {
		p, ok := t.m.pools[ob.Pool]
		if !ok || !p.configured || !p.accepts(ob.Zone) || t.now.Sub(ob.LastAnnounced) > t.options.Lease {
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

func (t *tick) removeReplaced(replaced []Replacement) {
	for _, r := range replaced {
		v, ok := t.m.vms[r.Old]
		if !ok || v.State != Lost {
			continue
		}
		c := RemoveVM{VM: v.ID, Fence: v.Fence}
		if ob, ok := t.observed[r.New]; ok {
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
