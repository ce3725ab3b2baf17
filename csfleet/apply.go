package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

func (c RegisterVM) apply(m *Machine, at time.Time) Result {
	if v, ok := m.vms[c.VM]; ok {
		return c.existingResult(v)
	}
	if s := c.validate(m); s != OK {
		return Result{Status: s}
	}
	v := &VM{
		ID: c.VM, Home: c.Home, Pool: c.Home, Zone: c.Zone, Rack: c.Rack, Fence: 1, State: Serving,
		Incarnation: c.Incarnation, CPU: c.CPU, Memory: c.Memory, Since: at,
	}
	m.insert(v)
	return v.result(OK)
}

func (c RegisterVM) existingResult(v *VM) Result {
	if v.Home == c.Home && v.Zone == c.Zone && v.Rack == c.Rack && v.Incarnation == c.Incarnation {
		return v.result(Repeated)
	}
	return v.result(Exists)
}

func (c RegisterVM) validate(m *Machine) Status {
	p, ok := m.pools[c.Home]
	switch {
	case c.VM == "" || c.Zone == "" || len(c.VM) > cstask.MaxNameBytes:
		return Invalid
	case !ok || !p.configured:
		return NotFound
	case !p.accepts(c.Zone):
		return NotAllowed
	}
	return OK
}

func (c Configure) apply(m *Machine, at time.Time) Result {
	if c.Revision <= m.revision {
		return Result{Status: Stale}
	}
	m.revision = c.Revision
	for _, p := range m.pools {
		p.configured = false
	}
	for _, conf := range c.Pools {
		p := m.pool(conf.Name)
		p.config = conf
		p.configured = true
	}
	for id, p := range m.pools {
		if p.homeVMs == 0 && !p.configured {
			delete(m.pools, id)
		}
	}
	m.tasks.Apply(cstask.Configure{Revision: c.Revision, Teams: c.Teams}, at)
	return Result{Status: OK}
}

func (c ReportLost) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	switch {
	case !ok:
		return Result{Status: NotFound}
	case v.State == Lost && v.Fence == c.Fence+1:
		return v.result(Repeated)
	case v.Fence != c.Fence:
		return v.result(Stale)
	case v.State == Lost:
		return v.result(WrongState)
	}
	m.recordLoss(v, at)
	return m.updateVM(v, at, func(v *VM) {
		if v.undoable() {
			v.clearStep()
		}
		v.State = Lost
		v.Fence++
	})
}

func (c ReportReturn) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	newer := ok && c.Incarnation > v.Incarnation
	switch {
	case !ok:
		return Result{Status: NotFound}
	case v.Fence == c.Fence+1 && v.State == Serving && v.Incarnation == c.Incarnation:
		return v.result(Repeated)
	case v.Fence != c.Fence || c.Incarnation < v.Incarnation:
		return v.result(Stale)
	case v.State == Handover || v.State == Rebooting, v.State != Lost && !newer:
		return v.result(WrongState)
	}
	if newer {
		m.tasks.ReleaseVM(v.ID, at)
	}
	return m.updateVM(v, at, func(v *VM) {
		if v.Step == StepReboot && v.State == Lost && newer {
			v.Maintained = at
		}
		v.Incarnation = c.Incarnation
		v.Fence++
		v.returnToService()
	})
}

func (c ReportZone) apply(m *Machine, _ time.Time) Result {
	z := m.zones[c.Zone]
	switch {
	case c.Zone == "":
		return Result{Status: Invalid}
	case z.Version == c.Version+1 && z.Unreachable != c.Reachable:
		return Result{Status: Repeated, Version: z.Version}
	case z.Version != c.Version:
		return Result{Status: Stale, Version: z.Version}
	}
	m.eachVMInZone(c.Zone, func(v *VM) { m.adjustCounts(v, -1) })
	z.Version++
	z.Unreachable = !c.Reachable
	m.zones[c.Zone] = z
	m.eachVMInZone(c.Zone, func(v *VM) { m.adjustCounts(v, 1) })
	return Result{Status: OK, Version: z.Version}
}

func (m *Machine) eachVMInZone(z csmodel.AvailabilityZone, fn func(*VM)) {
	for _, v := range m.sortedVMs {
		if v.Zone == z {
			fn(v)
		}
	}
}

func (c RemoveVM) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	switch {
	case !ok:
		return c.removedResult(m)
	case v.Fence != c.Fence:
		return v.result(Stale)
	case v.State != Lost:
		return v.result(WrongState)
	}
	if s := c.registerReplacement(m, v, at); s != OK {
		return v.result(s)
	}
	m.tasks.ReleaseVM(v.ID, at)
	m.remove(v)
	return Result{Status: OK}
}

func (c RemoveVM) removedResult(m *Machine) Result {
	if c.Replacement == nil {
		return Result{Status: NotFound}
	}
	if v, ok := m.vms[c.Replacement.VM]; ok {
		return v.result(Repeated)
	}
	return Result{Status: NotFound}
}

// registerReplacement registers the replacement of a VM. A VM that is already registered may be the replacement of
// another one, so the pool must then be large enough without the removed VM.
func (c RemoveVM) registerReplacement(m *Machine, v *VM, at time.Time) Status {
	home := m.pool(v.Home)
	if c.Replacement != nil && c.Replacement.Home != v.Home {
		return NotAllowed
	}
	if c.Replacement != nil {
		if _, ok := m.vms[c.Replacement.VM]; !ok && home.configured {
			return c.Replacement.apply(m, at).Status
		}
	}
	if !home.canRemoveLostVM() {
		return NotAllowed
	}
	return OK
}

func (c Tasks) apply(m *Machine, at time.Time) Result {
	results := make([]cstask.Result, 0, len(c.Commands))
	for _, t := range c.Commands {
		results = append(results, m.applyTask(t, at))
	}
	return Result{Status: OK, Tasks: results}
}

// applyTask refuses leases on VMs that are not serving, so that a drained VM stays drained.
func (m *Machine) applyTask(c cstask.Command, at time.Time) cstask.Result {
	switch c := c.(type) {
	case cstask.Lease:
		v, ok := m.vms[c.VM]
		if !ok || v.State != Serving {
			return cstask.Result{Status: cstask.Refused}
		}
	case cstask.Configure:
		// Team limits change only with the revision in this package's Configure.
		return cstask.Result{Status: cstask.Refused}
	}
	return m.tasks.Apply(c, at)
}
