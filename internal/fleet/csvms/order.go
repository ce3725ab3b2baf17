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
	// turnMargin is added to the time in which two holders must not order one VM: an order of the earlier holder may have been
	// on its way when its lease ended.
	turnMargin = 300 * time.Millisecond
	// clockSkew is how far the clocks of two stores that stamp orders may be apart: the platform steps them by seconds.
	clockSkew = 5 * time.Second
)

// reservation is a VM that is emptied for an order.
type reservation struct {
	order csjob.VMOrder
	since time.Time
	sent  bool // the order is on its way to being committed
	// failedAt is when its command was left without a known outcome. It is zero otherwise.
	failedAt time.Time
}

// orderCall is the state of a committed order.
type orderCall struct {
	order    csjob.VMOrder
	busy     bool
	nextAt   time.Time
	accepted time.Time // the platform has carried it out; zero before
}

// carryOut sends the committed orders and records what became of them.
func (f *Fleet) carryOut(r csrun.Round) {
	orders := r.Table.VMOrders()
	for id := range f.calls {
		if _, open := orders[id]; !open {
			delete(f.calls, id)
		}
	}
	for _, id := range csmodel.SortedKeys(orders) {
		o := orders[id]
		delete(f.reserved, id)
		c := f.calls[id]
		if c == nil || !c.order.Same(o) {
			c = &orderCall{order: o}
			f.calls[id] = c
		}
		switch {
		case c.busy || r.Now.Before(c.nextAt) || f.othersTurn(r, id, true):
		case o.Holder != f.o.Holder:
			c.nextAt = r.Now.Add(retryPause)
			f.takeOver(r, o)
		case c.accepted.IsZero() && r.Busy(o.Life):
			c.nextAt = r.Now.Add(retryPause)
			f.log.Info("VM order waits for runs", zap.String("vm", string(o.VM)), zap.String("target", string(o.Life.Target)),
				zap.String("pool", string(o.Pool)), zap.String("wave", string(o.Wave)), zap.Duration("leading", r.Now.Sub(f.since)))
		case c.accepted.IsZero():
			f.call(r, o, c)
		case f.returned(r.Now, id, c):
			c.nextAt = r.Now.Add(retryPause)
			o.Done = true
			f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
		}
	}
}

// othersTurn tells whether another holder may have ordered a VM so lately that this one must wait. An earlier leader may
// have sent an open order until this one began to lead.
func (f *Fleet) othersTurn(r csrun.Round, id csmodel.VMID, open bool) bool {
	last, ordered := r.Table.LastOrder(id)
	turn := f.o.Turn + turnMargin
	if f.o.Turn == 0 || !ordered || last.Holder == f.o.Holder || r.Now.Sub(f.since) >= turn {
		return false
	}
	return open || last.At.After(f.since.Add(-turn-clockSkew))
}

// takeOver commits this store as the holder of an order that an earlier leader has left open.
func (f *Fleet) takeOver(r csrun.Round, o csjob.VMOrder) {
	f.log.Info("VM order taken over", zap.String("vm", string(o.VM)), zap.String("pool", string(o.Pool)),
		zap.String("wave", string(o.Wave)), zap.String("holder", string(o.Holder)), zap.Duration("leading", r.Now.Sub(f.since)))
	o.Holder = f.o.Holder
	f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
}

// returned tells whether a VM is back from its maintenance.
func (f *Fleet) returned(now time.Time, id csmodel.VMID, c *orderCall) bool {
	v, ok := f.vms[id]
	back := ok && v.Phase == Up && f.listedAt.After(c.accepted.Add(f.o.Upkeep/2))
	return back && now.Sub(c.accepted) >= f.o.Upkeep
}

// call sends an order to the platform.
func (f *Fleet) call(r csrun.Round, o csjob.VMOrder, c *orderCall) {
	c.busy = true
	epoch, fence, epochal := f.epoch, r.Fence, f.ctx
	go func() {
		ctx, cancel := context.WithTimeout(epochal, callTimeout)
		defer cancel()
		if !f.o.State.Leading() {
			// The lease has ended since the round, and a later leader may order the VM already.
			f.answered(epoch, o, c, 0, ErrNoAnswer)
			return
		}
		var a Answer
		var err error
		if o.Wave != "" {
			a, err = f.o.Platform.Maintain(ctx, o.VM, o.Wave, fence)
		} else {
			a, err = f.o.Platform.Move(ctx, o.VM, o.Pool, fence)
		}
		f.answered(epoch, o, c, a, err)
	}()
}

// answered records the platform's answer to an order.
func (f *Fleet) answered(epoch int, o csjob.VMOrder, c *orderCall, a Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		return
	}
	now := f.o.Clock.Now()
	c.busy = false
	c.nextAt = now.Add(retryPause)
	f.log.Info("VM order", zap.String("vm", string(o.VM)), zap.String("pool", string(o.Pool)), zap.String("wave", string(o.Wave)),
		zap.Stringer("answer", a), zap.String("target", string(o.Life.Target)), zap.Error(err))
	switch {
	case err != nil, a == Limited:
	case a == Done:
		f.done(now, o, c)
	case a == Fenced:
		// Another node leads in a later term. This one learns of it from the group and stops deciding; until then the order is
		// repeated after the pause.
	default:
		o.Done, o.Refused = true, true
		f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
	}
}

func (f *Fleet) done(now time.Time, o csjob.VMOrder, c *orderCall) {
	c.accepted = now
	f.changed[o.VM] = now
	command := csjob.Command{}
	if o.Life.Target != "" {
		f.dead[o.Life] = now
		command.Targets = []csjob.TargetEvent{{Target: csjob.Target{Life: o.Life}, Gone: true}}
	}
	v := f.vms[o.VM]
	v.Target = ""
	if o.Wave != "" {
		v.Phase = Maintained
		c.nextAt = now.Add(f.o.Upkeep)
	} else {
		v.Phase, v.Pool = Moving, o.Pool
		f.arriving[o.VM] = now.Add(f.o.MoveTime)
		o.Done = true
		command.VMs = []csjob.VMOrder{o}
	}
	f.vms[o.VM] = v
	f.propose(command)
}

// propose commits a command in the background. What is lost is decided again.
// It ends with the epoch, and counts in this term only: otherwise the group would hand it to a later leader, which has not
// emptied the VM.
func (f *Fleet) propose(c csjob.Command) {
	epochal := f.ctx
	c.Term = f.term
	go func() {
		ctx, cancel := context.WithTimeout(epochal, callTimeout)
		defer cancel()
		if _, err := f.o.State.Propose(ctx, c); err != nil {
			f.log.Warn("VM decision not committed", zap.Int("orders", len(c.VMs)), zap.Error(err))
		}
	}()
}

// reserve sets a VM aside for an order, which is sent when nothing runs there any more.
func (f *Fleet) reserve(r csrun.Round, id csmodel.VMID, o csjob.VMOrder) {
	v := f.vms[id]
	if t, ok := f.life(r.Table, v); ok {
		o.Life = t.Life
	}
	f.reserved[id] = &reservation{order: o, since: r.Now}
	f.log.Info("VM reserved", zap.String("vm", string(id)), zap.String("from", string(v.Pool)), zap.String("pool", string(o.Pool)),
		zap.String("wave", string(o.Wave)), zap.String("target", string(v.Target)), zap.Duration("list_age", r.Now.Sub(f.listedAt)))
}

// release commits the orders for reserved VMs on which nothing runs any more.
func (f *Fleet) release(r csrun.Round) {
	var ready []csjob.VMOrder
	for _, id := range csmodel.SortedKeys(f.reserved) {
		s := f.reserved[id]
		held := f.held.Has(s.order.Life) || s.order.Life.Target == ""
		switch {
		case s.sent: // until its outcome is known
		case held && !r.Busy(s.order.Life) && !f.othersTurn(r, id, false):
			s.sent = true
			s.since = r.Now
			s.order.Holder = f.o.Holder
			ready = append(ready, s.order)
		case r.Now.Sub(s.since) > holdLimit && s.order.Wave == "":
			delete(f.reserved, id)
		}
	}
	if len(ready) > 0 {
		f.commit(r.Now, ready)
	}
	f.ask(r)
}

// hold derives the lives that get no new tasks. A life is held for a whole round before an order for it is committed.
func (f *Fleet) hold(t *csjob.Table) {
	f.held = csmodel.NewSet[csjob.Life]()
	for _, s := range f.reserved {
		if s.order.Life.Target != "" {
			f.held.Add(s.order.Life)
		}
	}
	for _, o := range t.VMOrders() {
		if o.Life.Target != "" {
			f.held.Add(o.Life)
		}
	}
}
