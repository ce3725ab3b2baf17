package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// follow advances a VM by what was observed of it.
func (t *tick) follow(v *VM) {
	ob, ok := t.seen[v.ID]
	if !ok {
		ob = &Observation{VM: v.ID}
	}
	if t.reportLost(v, ob) {
		return
	}
	switch v.State {
	case Serving:
		t.followServing(v, ob)
	case Draining:
		t.followDraining(v, ob)
	case Handover:
		t.followHandover(v, ob)
	case Rebooting:
		t.followRebooting(v, ob)
	case Lost:
		t.followLost(v, ob)
	}
}

// reportLost proposes that a VM is lost when it was silent for too long. Silence counts from the latest of the last
// announcement, the start of the observation, the return of the zone and the last change of the VM.
func (t *tick) reportLost(v *VM, ob *Observation) bool {
	if v.State == Lost || t.unreachable(v.Zone) {
		return false
	}
	from := latest(ob.Heard, t.since, t.zones[v.Zone].since, v.Since)
	if t.now.Sub(from) <= t.patience(v) {
		return false
	}
	t.propose(ReportLost{VM: v.ID, Fence: v.Fence})
	return true
}

// unreachable tells whether the leader cannot hear from a zone, whatever the budget rule.
func (t *tick) unreachable(z csmodel.AvailabilityZone) bool {
	r, ok := t.zones[z]
	return t.m.zones[z].Cut || ok && !r.ok
}

// patience is how long a VM may be silent in its state.
func (t *tick) patience(v *VM) time.Duration {
	switch {
	case v.State == Rebooting:
		return t.options.RebootLimit
	case v.State == Handover && v.Handed:
		return t.options.PrepareLimit
	default:
		return t.options.Lease
	}
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, x := range times {
		if x.After(last) {
			last = x
		}
	}
	return last
}

func (t *tick) followServing(v *VM, ob *Observation) {
	switch {
	case ob.Incarnation > v.Incarnation:
		t.propose(ReportBack{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	case !ob.Heard.IsZero() && ob.Fence != v.Fence:
		t.instruct(Serve{VM: v.ID, Fence: v.Fence, Pool: v.Pool})
	}
}

func (t *tick) followDraining(v *VM, ob *Observation) {
	switch {
	case ob.Incarnation > v.Incarnation:
		t.propose(ReportBack{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	case ob.Drained && ob.Fence == v.Fence && t.m.tasks.Held(v.ID) == 0:
		t.propose(Drained{VM: v.ID, Fence: v.Fence})
	case t.now.Sub(v.Since) > t.options.DrainLimit:
		t.retry[v.ID] = t.now.Add(t.options.DrainLimit)
		t.propose(UndoMove{VM: v.ID, Fence: v.Fence})
	default:
		t.instruct(Drain{VM: v.ID, Fence: v.Fence})
	}
}

func (t *tick) followHandover(v *VM, ob *Observation) {
	switch {
	case !v.Handed && t.destinationGone(v):
		t.propose(UndoMove{VM: v.ID, Fence: v.Fence})
	case !v.Handed:
		t.propose(HandOver{VM: v.ID, Fence: v.Fence})
	case ob.Pool == v.Pool && ob.Fence == v.Fence && ob.Heard.After(v.Since):
		t.propose(Admit{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	default:
		t.instruct(Prepare{VM: v.ID, Fence: v.Fence, Pool: v.Pool})
	}
}

// destinationGone tells whether the destination of a move was removed from the configuration meanwhile.
func (t *tick) destinationGone(v *VM) bool {
	p, ok := t.m.pools[v.To]
	return !ok || !p.configured
}

func (t *tick) followRebooting(v *VM, ob *Observation) {
	if ob.Incarnation > v.Incarnation && ob.Heard.After(v.Since) {
		t.propose(FinishReboot{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
		return
	}
	t.instruct(Reboot{VM: v.ID, Fence: v.Fence, Incarnation: v.Incarnation})
}

func (t *tick) followLost(v *VM, ob *Observation) {
	heard := ob.Heard.After(v.Since) && t.now.Sub(ob.Heard) <= t.options.Lease
	if heard && ob.Incarnation >= v.Incarnation {
		t.propose(ReportBack{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	}
}
