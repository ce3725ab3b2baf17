package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// lookup returns a VM, with the status OK if it exists and the fence is current, and otherwise NotFound or Stale.
func (m *Machine) lookup(id csmodel.VMID, f csmodel.Fence) (*VM, Status) {
	v, ok := m.vms[id]
	switch {
	case !ok:
		return nil, NotFound
	case v.Fence != f:
		return v, Stale
	}
	return v, OK
}

func (v *VM) refusal(s Status) Result {
	if v == nil {
		return Result{Status: s}
	}
	return v.result(s)
}

func (c StartMove) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	if !ok {
		return Result{Status: NotFound}
	}
	if s := c.validate(m, v); s != OK {
		return v.result(s)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.State = Draining
		v.Step = StepMove
		v.From = v.Pool
		v.To = c.To
		v.Permanent = c.Permanent && c.To != v.Home
		v.Fence++
	})
}

func (c StartMove) validate(m *Machine, v *VM) Status {
	to, ok := m.pools[c.To]
	switch {
	case v.Fence == c.Fence+1 && v.Step == StepMove && v.undoable() && v.To == c.To:
		return Repeated
	case v.Fence != c.Fence:
		return Stale
	case v.State != Serving:
		return WrongState
	case !ok || !to.configured:
		return NotFound
	case c.To == v.Pool || !to.accepts(v.Zone):
		return NotAllowed
	case c.Permanent && c.To != v.Home && !m.pool(v.Home).canReleaseHomeVM():
		return NotAllowed
	}
	return m.checkBudget(v, c.To)
}

func (c StartReboot) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	if !ok {
		return Result{Status: NotFound}
	}
	if s := c.validate(m, v); s != OK {
		return v.result(s)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.State = Draining
		v.Step = StepReboot
		v.Fence++
	})
}

func (c StartReboot) validate(m *Machine, v *VM) Status {
	switch {
	case v.Fence == c.Fence+1 && v.Step == StepReboot && v.State == Draining:
		return Repeated
	case v.Fence != c.Fence:
		return Stale
	case v.State != Serving:
		return WrongState
	}
	return m.checkBudget(v, v.Pool)
}

func (c Drained) apply(m *Machine, at time.Time) Result {
	v, s := m.lookup(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refusal(s)
	case v.State == Handover || v.State == Rebooting:
		return v.result(Repeated)
	case v.State != Draining:
		return v.result(WrongState)
	case m.tasks.LeaseCount(v.ID) > 0:
		return v.result(Busy)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.State = Rebooting
		if v.Step == StepMove {
			v.State = Handover
		}
	})
}

func (c HandOver) apply(m *Machine, at time.Time) Result {
	v, s := m.lookup(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refusal(s)
	case v.State != Handover:
		return v.result(WrongState)
	case v.HandedOver:
		return v.result(Repeated)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.Pool = v.To
		v.HandedOver = true
	})
}

func (c Admit) apply(m *Machine, at time.Time) Result {
	v, s := m.lookup(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refusal(s)
	case v.State == Serving:
		return v.result(Repeated)
	case v.State != Handover || !v.HandedOver:
		return v.result(WrongState)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.Incarnation = max(v.Incarnation, c.Incarnation)
		v.returnToService()
	})
}

func (c UndoStep) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	switch {
	case !ok:
		return Result{Status: NotFound}
	case v.Fence == c.Fence+1 && v.State == Serving:
		return v.result(Repeated)
	case v.Fence != c.Fence:
		return v.result(Stale)
	case !v.undoable():
		return v.result(WrongState)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.Fence++
		v.returnToService()
	})
}

func (c FinishReboot) apply(m *Machine, at time.Time) Result {
	v, s := m.lookup(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refusal(s)
	case v.State == Serving && v.Incarnation == c.Incarnation:
		return v.result(Repeated)
	case v.State != Rebooting:
		return v.result(WrongState)
	case c.Incarnation <= v.Incarnation:
		return v.result(Stale)
	}
	return m.updateVM(v, at, func(v *VM) {
		v.Incarnation = c.Incarnation
		v.Maintained = at
		v.returnToService()
	})
}
