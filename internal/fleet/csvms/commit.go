package csvms

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// commit proposes the orders for reserved VMs. If the outcome is unknown, the orders may still be applied at any time, so the VMs
// stay reserved until a command that was proposed later is committed: by then each order is in the table or never will be.
func (f *Fleet) commit(now time.Time, orders []csjob.VMOrder) {
	epoch, epochCtx, c := f.epoch, f.ctx, csjob.Command{VMs: orders, Term: f.term}
	go func() {
		ctx, cancel := context.WithTimeout(epochCtx, callTimeout)
		defer cancel()
		v, err := f.options.State.Propose(ctx, c)
		if err == nil && v == csjob.Refused {
			err = csrun.ErrNotLeading // committed in a later term
		}
		f.handleOutcome(epoch, now, orders, err)
	}()
}

// handleOutcome processes the outcome of a command that was proposed at proposedAt. A command without orders is a barrier; see
// proposeBarrier.
func (f *Fleet) handleOutcome(epoch int, proposedAt time.Time, orders []csjob.VMOrder, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		return
	}
	now := f.options.Clock.Now()
	if len(orders) == 0 {
		f.barrierPending = false
	}
	if err != nil {
		f.log.Warn("VM orders without a known outcome", zap.Int("orders", len(orders)), zap.Duration("after", now.Sub(proposedAt)), zap.Error(err))
		for _, o := range orders {
			if res := f.reservations[o.VM]; res != nil && res.proposed && res.order.SameOrder(o) {
				res.unknownSince = now
			}
		}
		return
	}
	for _, id := range csmodel.SortedKeys(f.reservations) {
		// An order that was applied is in the table, which keeps the VM held from now on.
		if res := f.reservations[id]; !res.unknownSince.IsZero() && res.unknownSince.Before(proposedAt) {
			delete(f.reservations, id)
			f.log.Info("VM order decided", zap.String("vm", string(id)), zap.String("pool", string(res.order.Pool)),
				zap.String("wave", string(res.order.Wave)), zap.Duration("after", now.Sub(res.since)))
		}
	}
}

// proposeBarrier proposes an empty command if orders have an unknown outcome. Once it is committed, each of them is in the table
// or never will be.
func (f *Fleet) proposeBarrier(r csrun.Round) {
	if f.barrierPending || r.Now.Sub(f.barrierAt) < retryDelay {
		return
	}
	for _, res := range f.reservations {
		if !res.unknownSince.IsZero() && res.unknownSince.Before(r.Now) {
			f.barrierPending, f.barrierAt = true, r.Now
			f.commit(r.Now, nil)
			return
		}
	}
}
