package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// find returns the VM of a step that does not start anything, if the fence is current.
func (m *Machine) find(id csmodel.VMID, f csmodel.Fence) (*VM, Status) {
	v, ok := m.vms[id]
	switch {
	case !ok:
		return nil, NotFound
	case v.Fence != f:
		return v, Stale
	}
	return v, OK
}

func (v *VM) refused(s Status) Result {
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
	if s := c.check(m, v); s != OK {
		return v.result(s)
	}
	return m.change(v, at, func(v *VM) {
		v.State = Draining
		v.Step = StepMove
		v.From = v.Pool
		v.To = c.To
		v.Permanent = c.Permanent && c.To != v.Home
		v.Fence++
	})
}

func (c StartMove) check(m *Machine, v *VM) Status {
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
	case c.Permanent && c.To != v.Home && !m.pool(v.Home).canGiveUp():
		return NotAllowed
	}
	return m.allows(v, c.To)
}

func (c StartReboot) apply(m *Machine, at time.Time) Result {
	v, ok := m.vms[c.VM]
	if !ok {
		return Result{Status: NotFound}
	}
	if s := c.check(m, v); s != OK {
		return v.result(s)
	}
	return m.change(v, at, func(v *VM) {
		v.State = Draining
		v.Step = StepReboot
		v.Fence++
	})
}

func (c StartReboot) check(m *Machine, v *VM) Status {
	switch {
	case v.Fence == c.Fence+1 && v.Step == StepReboot && v.State == Draining:
		return Repeated
	case v.Fence != c.Fence:
		return Stale
	case v.State != Serving:
		return WrongState
	}
	return m.allows(v, v.Pool)
}

func (c Drained) apply(m *Machine, at time.Time) Result {
	v, s := m.find(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refused(s)
	case v.State == Handover || v.State == Rebooting:
		return v.result(Repeated)
	case v.State != Draining:
		return v.result(WrongState)
	case m.tasks.Held(v.ID) > 0:
		return v.result(Busy)
	}
	return m.change(v, at, func(v *VM) {
		v.State = Rebooting
		if v.Step == StepMove {
			v.State = Handover
		}
	})
}

func (c HandOver) apply(m *Machine, at time.Time) Result {
	v, s := m.find(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refused(s)
	case v.State != Handover:
		return v.result(WrongState)
	case v.Handed:
		return v.result(Repeated)
	}
	return m.change(v, at, func(v *VM) {
		v.Pool = v.To
		v.Handed = true
	})
}

func (c Admit) apply(m *Machine, at time.Time) Result {
	v, s := m.find(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refused(s)
	case v.State == Serving:
		return v.result(Repeated)
	case v.State != Handover || !v.Handed:
		return v.result(WrongState)
	}
	return m.change(v, at, func(v *VM) {
		v.Incarnation = max(v.Incarnation, c.Incarnation)
		v.serve()
	})
}

func (c UndoMove) apply(m *Machine, at time.Time) Result {
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
	return m.change(v, at, func(v *VM) {
		v.Fence++
		v.serve()
	})
}

func (c FinishReboot) apply(m *Machine, at time.Time) Result {
	v, s := m.find(c.VM, c.Fence)
	switch {
	case s != OK:
		return v.refused(s)
	case v.State == Serving && v.Incarnation == c.Incarnation:
		return v.result(Repeated)
	case v.State != Rebooting:
		return v.result(WrongState)
	case c.Incarnation <= v.Incarnation:
		return v.result(Stale)
	}
	return m.change(v, at, func(v *VM) {
		v.Incarnation = c.Incarnation
		v.Maintained = at
		v.serve()
	})
}
