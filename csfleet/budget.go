package csfleet

import (
	"slices"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// pool is a pool with the counts of the VMs whose home it is.
type pool struct {
	config      csconfig.Pool
	configured  bool // in the active configuration
	homes       int
	leaving     int // homes in a permanent move
	lost        int
	unavailable int
	zones       map[csmodel.AvailabilityZone]zoneCount
}

type zoneCount struct{ homes, unavailable int }

// accepts tells whether VMs of the zone may belong to the pool.
func (p *pool) accepts(z csmodel.AvailabilityZone) bool {
	return len(p.config.Zones) == 0 || slices.Contains(p.config.Zones, z)
}

// canRemove tells whether a lost home VM may be removed without a replacement. Otherwise removals could shrink a pool
// below its size while its budget looks unused.
func (p *pool) canRemove() bool { return !p.configured || p.homes-p.leaving-1 >= p.config.Size }

// canGiveUp tells whether a home VM may leave for good. Lost VMs do not make up for it.
func (p *pool) canGiveUp() bool { return !p.configured || p.homes-p.leaving-p.lost-1 >= p.config.Size }

func (m *Machine) pool(id csmodel.PoolID) *pool {
	p, ok := m.pools[id]
	if !ok {
		p = &pool{zones: make(map[csmodel.AvailabilityZone]zoneCount)}
		m.pools[id] = p
	}
	return p
}

// count adds a VM to the counts of its home pool, or removes it.
func (m *Machine) count(v *VM, delta int) {
	p := m.pool(v.Home)
	z := p.zones[v.Zone]
	p.homes += delta
	z.homes += delta
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
	if p.homes == 0 && !p.configured {
		delete(m.pools, v.Home)
	}
}

// available tells whether a VM serves its home pool in a reachable zone.
func (m *Machine) available(v *VM) bool {
	return v.State == Serving && v.Pool == v.Home && !m.budget.cut(m, v.Zone)
}

// account is what a voluntary step is charged to: a pool, or its share in a zone.
type account struct {
	pool csmodel.PoolID
	zone csmodel.AvailabilityZone
}

// budget is a rule that limits voluntary steps. The set is sealed.
type budget interface {
	// account returns the account of a VM, the number of unavailable VMs in it and the limit.
	account(m *Machine, v *VM) (a account, used, limit int)
	// cut tells whether the VMs of a zone count as unavailable and start no voluntary step.
	cut(m *Machine, z csmodel.AvailabilityZone) bool
}

// whole checks the budget of a pool as one number. It needs the quorum, which an isolated zone does not have.
type whole struct{}

func (whole) account(m *Machine, v *VM) (a account, used, limit int) {
	p := m.pool(v.Home)
	return account{pool: v.Home}, p.unavailable, p.config.Budget
}

func (whole) cut(m *Machine, z csmodel.AvailabilityZone) bool { return m.zones[z].Cut }

// allows tells whether a voluntary step of a VM keeps the budget of its home pool. The return of a lent VM is always
// allowed, because it does not raise the number of unavailable VMs and ends in lowering it.
func (m *Machine) allows(v *VM, to csmodel.PoolID) Status {
	if m.budget.cut(m, v.Zone) {
		return ZoneCut
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
