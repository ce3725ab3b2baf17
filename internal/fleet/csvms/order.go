package csvms

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	// acceptedDelay collects accepted orders for one command. A move takes 1.5 s.
	acceptedDelay = 20 * time.Millisecond
	// handoverMargin is added to Options.HandoverDelay: an order of the earlier holder may have been in flight when its lease ended.
	handoverMargin = 300 * time.Millisecond
	// maxClockSkew is the largest difference between the clocks of two stores that stamp orders: the platform steps them by
	// seconds.
	maxClockSkew = 5 * time.Second
)

// reservation is a VM that is drained for an order.
type reservation struct {
	order    csjob.VMOrder
	since    time.Time
	proposed bool // the order was proposed; its outcome is awaited
	// unknownSince is when the proposal ended with an unknown outcome. It is zero otherwise.
	unknownSince time.Time
}

// openOrder is the progress of a committed order at the platform.
type openOrder struct {
	order      csjob.VMOrder
	inFlight   bool
	retryAt    time.Time
	acceptedAt time.Time // when the platform accepted the order; zero before
}

// processOrders sends the committed orders to the platform and commits their completion.
func (f *Fleet) processOrders(r csrun.Round) {
	orders := r.Table.VMOrders()
	for id := range f.openOrders {
		if _, open := orders[id]; !open {
			delete(f.openOrders, id)
		}
	}
	for _, id := range csmodel.SortedKeys(orders) {
		o := orders[id]
		delete(f.reservations, id)
		state := f.openOrders[id]
		if state == nil || !state.order.SameOrder(o) {
			state = &openOrder{order: o}
			f.openOrders[id] = state
		}
		switch {
		case state.inFlight || r.Now.Before(state.retryAt) || f.blockedByOtherHolder(r, id, true):
		case o.Holder != f.options.Holder:
			state.retryAt = r.Now.Add(retryDelay)
			f.takeOver(r, o)
		case state.acceptedAt.IsZero() && r.Busy(o.Incarnation):
			state.retryAt = r.Now.Add(retryDelay)
			f.log.Info("VM order waits for runs", zap.String("vm", string(o.VM)), zap.String("target", string(o.Incarnation.Target)),
				zap.String("pool", string(o.Pool)), zap.String("wave", string(o.Wave)), zap.Duration("leading", r.Now.Sub(f.leadingSince)))
		case state.acceptedAt.IsZero():
			f.sendOrder(r, o, state)
		case f.backFromMaintenance(r.Now, id, state):
			state.retryAt = r.Now.Add(retryDelay)
			o.Done = true
			f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
		}
	}
}

// blockedByOtherHolder reports whether another holder may have sent an order for a VM so recently that this one must wait. An
// earlier leader may have sent an open order until this one began to lead.
func (f *Fleet) blockedByOtherHolder(r csrun.Round, id csmodel.VMID, open bool) bool {
	last, ordered := r.Table.LastOrder(id)
	delay := f.options.HandoverDelay + handoverMargin
	if f.options.HandoverDelay == 0 || !ordered || last.Holder == f.options.Holder || r.Now.Sub(f.leadingSince) >= delay {
		return false
	}
	return open || last.At.After(f.leadingSince.Add(-delay-maxClockSkew))
}

// takeOver commits this store as the holder of an order that an earlier leader has left open.
func (f *Fleet) takeOver(r csrun.Round, o csjob.VMOrder) {
	f.log.Info("VM order taken over", zap.String("vm", string(o.VM)), zap.String("pool", string(o.Pool)),
		zap.String("wave", string(o.Wave)), zap.String("holder", string(o.Holder)), zap.Duration("leading", r.Now.Sub(f.leadingSince)))
	o.Holder = f.options.Holder
	f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
}

// backFromMaintenance reports whether a VM has returned from its maintenance.
func (f *Fleet) backFromMaintenance(now time.Time, id csmodel.VMID, state *openOrder) bool {
	v, ok := f.vms[id]
	seenUp := ok && v.Phase == Up && f.listedAt.After(state.acceptedAt.Add(f.options.MaintenanceTime/2))
	return seenUp && now.Sub(state.acceptedAt) >= f.options.MaintenanceTime
}

// sendOrder sends an order to the platform in the background.
func (f *Fleet) sendOrder(r csrun.Round, o csjob.VMOrder, state *openOrder) {
	state.inFlight = true
	epoch, fence, epochCtx := f.epoch, r.Fence, f.ctx
	go func() {
		ctx, cancel := context.WithTimeout(epochCtx, callTimeout)
		defer cancel()
		if !f.options.State.Leading() {
			// The lease has ended since the round, and a later leader may already have sent an order for the VM.
			f.handleAnswer(epoch, o, state, 0, ErrNoAnswer)
			return
		}
		var a Answer
		var err error
		if o.Wave != "" {
			a, err = f.options.Platform.Maintain(ctx, o.VM, o.Wave, fence)
		} else {
			a, err = f.options.Platform.Move(ctx, o.VM, o.Pool, fence)
		}
		f.handleAnswer(epoch, o, state, a, err)
	}()
}

// handleAnswer processes the platform's answer to an order.
func (f *Fleet) handleAnswer(epoch int, o csjob.VMOrder, state *openOrder, a Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		return
	}
	now := f.options.Clock.Now()
	state.inFlight = false
	state.retryAt = now.Add(retryDelay)
	f.log.Info("VM order", zap.String("vm", string(o.VM)), zap.String("pool", string(o.Pool)), zap.String("wave", string(o.Wave)),
		zap.Stringer("answer", a), zap.String("target", string(o.Incarnation.Target)), zap.Error(err))
	switch {
	case err != nil, a == RateLimited:
	case a == Done:
		f.recordAccepted(now, o, state)
	case a == Fenced:
		// Another node leads in a later term. This one learns of it from the Raft group and stops deciding; until then it repeats
		// the order after retryDelay.
	default:
		o.Done, o.Refused = true, true
		f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
	}
}

// recordAccepted updates the VM after the platform has accepted its order, and commits the end of the target that ran there.
func (f *Fleet) recordAccepted(now time.Time, o csjob.VMOrder, state *openOrder) {
	state.acceptedAt = now
	f.changedAt[o.VM] = now
	command := csjob.Command{}
	if o.Incarnation.Target != "" {
		f.endedAt[o.Incarnation] = now
		command.Targets = []csjob.TargetEvent{{Target: csjob.Target{Incarnation: o.Incarnation}, Ended: true}}
	}
	v := f.vms[o.VM]
	v.Target = ""
	if o.Wave != "" {
		v.Phase = InMaintenance
		state.retryAt = now.Add(f.options.MaintenanceTime)
	} else {
		v.Phase, v.Pool = Moving, o.Pool
		f.arriving[o.VM] = now.Add(f.options.MoveTime)
		o.Done = true
		command.VMs = []csjob.VMOrder{o}
	}
	f.vms[o.VM] = v
	f.proposeSoon(command)
}

// proposeSoon commits the consequences of an accepted order together with those of others. When another pool becomes busy, the
// platform accepts hundreds of orders within half a second, and single commands would delay the starts of tasks.
func (f *Fleet) proposeSoon(c csjob.Command) {
	f.accepted.VMs = append(f.accepted.VMs, c.VMs...)
	f.accepted.Targets = append(f.accepted.Targets, c.Targets...)
	if f.acceptedDue {
		return
	}
	f.acceptedDue = true
	epoch := f.epoch
	f.options.Clock.AfterFunc(acceptedDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if epoch != f.epoch {
			return
		}
		command := f.accepted
		f.accepted, f.acceptedDue = csjob.Command{}, false
		f.propose(command)
	})
}

// propose commits a command in the background. If the command is lost, the decision is made again. The proposal is cancelled at
// the end of the epoch and counts in this term only: otherwise the group could hand it to a later leader, which has not drained
// the VM.
func (f *Fleet) propose(c csjob.Command) {
	epochCtx := f.ctx
	c.Term = f.term
	go func() {
		ctx, cancel := context.WithTimeout(epochCtx, callTimeout)
		defer cancel()
		if _, err := f.options.State.Propose(ctx, c); err != nil {
			f.log.Warn("VM command not committed", zap.Int("orders", len(c.VMs)), zap.Error(err))
		}
	}()
}

// reserve sets a VM aside for an order, which is committed once the VM has no runs left.
func (f *Fleet) reserve(r csrun.Round, id csmodel.VMID, o csjob.VMOrder) {
	v := f.vms[id]
	if t, ok := f.targetOn(r.Table, v); ok {
		o.Incarnation = t.Incarnation
	}
	f.reservations[id] = &reservation{order: o, since: r.Now}
	f.log.Info("VM reserved", zap.String("vm", string(id)), zap.String("from", string(v.Pool)), zap.String("pool", string(o.Pool)),
		zap.String("wave", string(o.Wave)), zap.String("target", string(v.Target)), zap.Duration("list_age", r.Now.Sub(f.listedAt)))
}

// commitReady commits the orders for reserved VMs that have no runs left, and drops moves that exceed maxReservationTime.
func (f *Fleet) commitReady(r csrun.Round) {
	var ready []csjob.VMOrder
	for _, id := range csmodel.SortedKeys(f.reservations) {
		res := f.reservations[id]
		held := f.held.Has(res.order.Incarnation) || res.order.Incarnation.Target == ""
		switch {
		case res.proposed: // wait for the outcome
		case held && !r.Busy(res.order.Incarnation) && !f.blockedByOtherHolder(r, id, false):
			res.proposed = true
			res.since = r.Now
			res.order.Holder = f.options.Holder
			ready = append(ready, res.order)
		case r.Now.Sub(res.since) > maxReservationTime && res.order.Wave == "":
			delete(f.reservations, id)
		}
	}
	if len(ready) > 0 {
		f.commit(r.Now, ready)
	}
	f.proposeBarrier(r)
}

// updateHeld derives the target incarnations that get no new tasks. An incarnation is held for a whole round before an order for
// it is committed.
func (f *Fleet) updateHeld(t *csjob.Table) {
	f.held = csmodel.NewSet[csjob.Incarnation]()
	for _, res := range f.reservations {
		if res.order.Incarnation.Target != "" {
			f.held.Add(res.order.Incarnation)
		}
	}
	for _, o := range t.VMOrders() {
		if o.Incarnation.Target != "" {
			f.held.Add(o.Incarnation)
		}
	}
}
