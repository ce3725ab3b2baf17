package csfleet

import (
	"slices"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// pool is the configuration of a pool and the counts of the VMs whose home it is.
type pool struct {
	config      csconfig.Pool
	configured  bool // in the active configuration
	homeVMs     int
	leaving     int // home VMs in a permanent move
	lost        int
	unavailable int
	zones       map[csmodel.AvailabilityZone]zoneCount
}

type zoneCount struct{ homeVMs, unavailable int }

// accepts reports whether VMs of the zone may belong to the pool.
func (p *pool) accepts(z csmodel.AvailabilityZone) bool {
	return len(p.config.Zones) == 0 || slices.Contains(p.config.Zones, z)
}

// canRemoveLostVM reports whether a lost home VM may be removed without a replacement. Without this check, removals
// could shrink a pool below its size while its budget looks unused.
func (p *pool) canRemoveLostVM() bool { return !p.configured || p.homeVMs-p.leaving-1 >= p.config.Size }

// canReleaseHomeVM reports whether a home VM may move away permanently. Lost VMs do not count towards the size that
// must remain.
func (p *pool) canReleaseHomeVM() bool {
	return !p.configured || p.homeVMs-p.leaving-p.lost-1 >= p.config.Size
}

func (m *Machine) pool(id csmodel.PoolID) *pool {
	p, ok := m.pools[id]
	if !ok {
		p = &pool{zones: make(map[csmodel.AvailabilityZone]zoneCount)}
		m.pools[id] = p
	}
	return p
}

// adjustCounts adds a VM to the counts of its home pool (delta 1) or removes it (delta -1).
func (m *Machine) adjustCounts(v *VM, delta int) {
	p := m.pool(v.Home)
	z := p.zones[v.Zone]
	p.homeVMs += delta
	z.homeVMs += delta
	if v.Step == StepMove && v.Permanent {
		p.leaving += delta
	}
	if v.State == Lost {
		p.lost += delta
	}
	if !m.available(v) {
		p.unavailable += delta
		z.unavailable += delta
	}
	p.zones[v.Zone] = z
	if z == (zoneCount{}) {
		delete(p.zones, v.Zone)
	}
	if p.homeVMs == 0 && !p.configured {
		delete(m.pools, v.Home)
	}
}

// available reports whether a VM serves its home pool in a reachable zone.
func (m *Machine) available(v *VM) bool {
	return v.State == Serving && v.Pool == v.Home && !m.budget.zoneUnavailable(m, v.Zone)
}

// account identifies the budget that a voluntary step is charged to: that of a pool, or its share in a zone.
type account struct {
	pool csmodel.PoolID
	zone csmodel.AvailabilityZone
}

// budgetRule limits the number of VMs that may be unavailable when a voluntary step starts.
type budgetRule interface {
	// account returns the account of a VM, the number of unavailable VMs in it and the limit.
	account(m *Machine, v *VM) (a account, used, limit int)
	// zoneUnavailable reports whether the VMs of a zone count as unavailable and start no voluntary step.
	zoneUnavailable(m *Machine, z csmodel.AvailabilityZone) bool
}

// poolBudget checks the undivided budget of a pool. It needs the quorum, which an isolated zone does not have.
type poolBudget struct{}

func (poolBudget) account(m *Machine, v *VM) (a account, used, limit int) {
	p := m.pool(v.Home)
	return account{pool: v.Home}, p.unavailable, p.config.Budget
}

func (poolBudget) zoneUnavailable(m *Machine, z csmodel.AvailabilityZone) bool {
	return m.zones[z].Unreachable
}

// checkBudget returns OK if a voluntary step of a VM keeps the budget of its home pool, and otherwise ZoneUnreachable
// or OverBudget. The budget never prevents the return of a lent VM, because that does not raise the number of
// unavailable VMs and lowers it in the end.
func (m *Machine) checkBudget(v *VM, to csmodel.PoolID) Status {
	if m.budget.zoneUnavailable(m, v.Zone) {
		return ZoneUnreachable
	}
	if v.Lent() && to == v.Home || !m.pool(v.Home).configured {
		return OK
	}
	_, used, limit := m.budget.account(m, v)
	if m.available(v) {
		used++
	}
	if used > limit {
		return OverBudget
	}
	return OK
}
