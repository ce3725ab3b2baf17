package csvms

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// waves reserves VMs for the waves in progress.
func (f *Fleet) waves(r csrun.Round) {
	if r.Table.Config() == nil {
		return
	}
	for _, w := range r.Table.Waves() {
		delete(f.due, w.Wave.ID)
		if !w.Completed() {
			f.wave(r, w)
		}
	}
}

func (f *Fleet) wave(r csrun.Round, w *csjob.WaveState) {
	var waiting []csmodel.VMID
	var removed []csjob.VMOrder
	down := 0
	for _, id := range w.Wave.VMs {
		_, begun := w.Begun[id]
		s := f.reserved[id]
		v, exists := f.vms[id]
		switch {
		case w.Done.Has(id):
		case begun, s != nil && s.order.Wave == w.Wave.ID:
			down++
		case !exists && r.Now.Sub(f.listedAt) < listEvery:
			removed = append(removed, csjob.VMOrder{VM: id, Wave: w.Wave.ID, Done: true})
		case s == nil && exists && f.takeable(r, v):
			if _, ordered := r.Table.VMOrders()[id]; !ordered {
				waiting = append(waiting, id)
			}
		}
	}
	if len(removed) > 0 {
		f.propose(csjob.Command{VMs: removed})
	}
	slices.SortStableFunc(waiting, func(a, b csmodel.VMID) int { return f.burden(r, a) - f.burden(r, b) })
	f.due[w.Wave.ID] = f.livesOf(r.Table, waiting)
	for _, id := range waiting {
		if down >= f.pace(r.Now, w) {
			return
		}
		f.reserve(r, id, csjob.VMOrder{VM: id, Wave: w.Wave.ID})
		down++
	}
}

// takeable tells whether it is known what an order for a VM would end.
func (f *Fleet) takeable(r csrun.Round, v VM) bool {
	if v.Phase != Up {
		return false
	}
	if _, ok := f.life(r.Table, v); ok {
		return true
	}
	for _, p := range r.Table.Config().Pools {
		if p.ID == v.Pool {
			return p.Standby
		}
	}
	return false
}

// pace returns how many VMs of a wave should be down at once to end in time.
func (f *Fleet) pace(now time.Time, w *csjob.WaveState) int {
	left := len(w.Wave.VMs) - len(w.Done)
	cycle := 2*f.o.Upkeep + time.Second // emptying, maintenance, and the first heartbeat
	remaining := w.Accepted.Add(w.Wave.Deadline).Sub(now) - waveMargin
	need := float64(left) * float64(cycle) / float64(max(remaining, cycle))
	return min(w.Wave.AtOnce, int(need)+1)
}

func (f *Fleet) livesOf(t *csjob.Table, vms []csmodel.VMID) []csjob.Life {
	var out []csjob.Life
	for _, id := range vms {
		if o, ok := f.life(t, f.vms[id]); ok {
			out = append(out, o.Life)
		}
	}
	return out
}

// burden ranks VMs for a wave. Those with tasks that last go first, because the tasks leave one at a time; then VMs that
// are off, then those with the least work.
func (f *Fleet) burden(r csrun.Round, id csmodel.VMID) int {
	t, ok := f.life(r.Table, f.vms[id])
	if !ok {
		return 0
	}
	n := 1
	for _, k := range r.Table.TasksOn(t.Life) {
		n++
		if j := r.Table.Job(k.Job); j != nil && j.Tasks != nil && j.Submission.Steps[k.Step].Lasting {
			n -= 100
		}
	}
	return n
}
