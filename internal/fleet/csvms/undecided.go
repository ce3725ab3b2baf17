package csvms

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// commit proposes the orders for reserved VMs. Where the outcome is not known the orders may be applied at any time, so the VMs
// stay reserved until a command that was proposed later is committed: by then each order is in the table or never will be.
func (f *Fleet) commit(now time.Time, orders []csjob.VMOrder) {
	epoch, epochal, c := f.epoch, f.ctx, csjob.Command{VMs: orders, Term: f.term}
	go func() {
		ctx, cancel := context.WithTimeout(epochal, callTimeout)
		defer cancel()
		v, err := f.o.State.Propose(ctx, c)
		if err == nil && v == csjob.Refused {
			err = csrun.ErrNotLeading // committed in a later term
		}
		f.committed(epoch, now, orders, err)
	}()
}

// committed takes in the outcome of a command that was proposed at a time. A command without orders only decides others.
func (f *Fleet) committed(epoch int, began time.Time, orders []csjob.VMOrder, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		return
	}
	now := f.o.Clock.Now()
	if len(orders) == 0 {
		f.asking = false
	}
	if err != nil {
		f.log.Warn("VM orders without a known outcome", zap.Int("orders", len(orders)), zap.Duration("after", now.Sub(began)), zap.Error(err))
		for _, o := range orders {
			if s := f.reserved[o.VM]; s != nil && s.sent && s.order.Same(o) {
				s.failedAt = now
			}
		}
		return
	}
	for _, id := range csmodel.SortedKeys(f.reserved) {
		// An order that was applied is in the table, which holds the VM from now on.
		if s := f.reserved[id]; !s.failedAt.IsZero() && s.failedAt.Before(began) {
			delete(f.reserved, id)
			f.log.Info("VM order decided", zap.String("vm", string(id)), zap.String("pool", string(s.order.Pool)),
				zap.String("wave", string(s.order.Wave)), zap.Duration("after", now.Sub(s.since)))
		}
	}
}

// ask proposes an empty command where orders wait for one that decides them.
func (f *Fleet) ask(r csrun.Round) {
	if f.asking || r.Now.Sub(f.triedAt) < retryPause {
		return
	}
	for _, s := range f.reserved {
		if !s.failedAt.IsZero() && s.failedAt.Before(r.Now) {
			f.asking, f.triedAt = true, r.Now
			f.commit(r.Now, nil)
			return
		}
	}
}
