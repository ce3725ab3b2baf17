package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// advance advances a VM's step according to its observation.
func (t *tick) advance(v *VM) {
	ob, ok := t.observed[v.ID]
	if !ok {
		ob = &Observation{VM: v.ID}
	}
	if t.reportLost(v, ob) {
		return
	}
	switch v.State {
	case Serving:
		t.advanceServing(v, ob)
	case Draining:
		t.advanceDraining(v, ob)
	case Handover:
		t.advanceHandover(v, ob)
	case Rebooting:
		t.advanceRebooting(v, ob)
	case Lost:
		t.advanceLost(v, ob)
	}
}

// reportLost proposes ReportLost for a VM that exceeds its silence limit, and reports whether it did. Silence counts
// from the latest of the last announcement, the start of the observation, the return of the zone and the last change of
// the VM.
func (t *tick) reportLost(v *VM, ob *Observation) bool {
	if v.State == Lost || t.unreachable(v.Zone) {
		return false
	}
	from := latest(ob.LastAnnounced, t.observingSince, t.zones[v.Zone].since, v.Since)
	if t.now.Sub(from) <= t.silenceLimit(v) {
		return false
	}
	t.propose(ReportLost{VM: v.ID, Fence: v.Fence})
	return true
}

// unreachable reports whether a zone is recorded or observed as unreachable, regardless of the budget rule.
func (t *tick) unreachable(z csmodel.AvailabilityZone) bool {
	r, ok := t.zones[z]
	return t.m.zones[z].Unreachable || ok && !r.reachable
}

// silenceLimit returns how long a VM may send no announcement in its state.
func (t *tick) silenceLimit(v *VM) time.Duration {
	switch {
	case v.State == Rebooting:
		return t.options.RebootLimit
	case v.State == Handover && v.HandedOver:
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

func (t *tick) advanceServing(v *VM, ob *Observation) {
	switch {
	case ob.Incarnation > v.Incarnation:
		t.propose(ReportReturn{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	case !ob.LastAnnounced.IsZero() && ob.Fence != v.Fence:
		t.instruct(Serve{VM: v.ID, Fence: v.Fence, Pool: v.Pool})
	}
}

func (t *tick) advanceDraining(v *VM, ob *Observation) {
	switch {
	case ob.Incarnation > v.Incarnation:
		t.propose(ReportReturn{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	case ob.Drained && ob.Fence == v.Fence && t.m.tasks.LeaseCount(v.ID) == 0:
		t.propose(Drained{VM: v.ID, Fence: v.Fence})
	case t.now.Sub(v.Since) > t.options.DrainLimit:
		t.retryDrainAt[v.ID] = t.now.Add(t.options.DrainLimit)
		t.propose(UndoStep{VM: v.ID, Fence: v.Fence})
	default:
		t.instruct(Drain{VM: v.ID, Fence: v.Fence})
	}
}

func (t *tick) advanceHandover(v *VM, ob *Observation) {
	switch {
	case !v.HandedOver && t.destinationRemoved(v):
		t.propose(UndoStep{VM: v.ID, Fence: v.Fence})
	case !v.HandedOver:
		t.propose(HandOver{VM: v.ID, Fence: v.Fence})
	case ob.Pool == v.Pool && ob.Fence == v.Fence && ob.LastAnnounced.After(v.Since):
		t.propose(Admit{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	default:
		t.instruct(Prepare{VM: v.ID, Fence: v.Fence, Pool: v.Pool})
	}
}

// destinationRemoved reports whether the destination pool of a move is no longer in the configuration.
func (t *tick) destinationRemoved(v *VM) bool {
	p, ok := t.m.pools[v.To]
	return !ok || !p.configured
}

func (t *tick) advanceRebooting(v *VM, ob *Observation) {
	if ob.Incarnation > v.Incarnation && ob.LastAnnounced.After(v.Since) {
		t.propose(FinishReboot{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
		return
	}
	t.instruct(Reboot{VM: v.ID, Fence: v.Fence, Incarnation: v.Incarnation})
}

func (t *tick) advanceLost(v *VM, ob *Observation) {
	heard := ob.LastAnnounced.After(v.Since) && t.now.Sub(ob.LastAnnounced) <= t.options.Lease
	if heard && ob.Incarnation >= v.Incarnation {
		t.propose(ReportReturn{VM: v.ID, Fence: v.Fence, Incarnation: ob.Incarnation})
	}
}
