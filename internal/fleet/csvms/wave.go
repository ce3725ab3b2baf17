package csvms

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// A VM of a wave counts as removed once this many lists in a row, over this time, have not named it. A single list proves
// nothing: one of several pages is read while VMs come and go, and can leave out a VM that stays. Where the target that ran
// there has ended as well, the wait is short, because a wave is to be completed within 2 s of its time. Otherwise it is well
// above a move and a maintenance and above the outages of a rack that the platform's days have, 6.6 s.
const (
	absentLists      = 8
	absentFor        = 15 * time.Second
	endedAbsentLists = 3
	endedAbsentFor   = 2 * time.Second
)

// absence is a VM of a wave that the last lists have not named.
type absence struct {
	lists int
	since time.Time // time of the first of these lists
	last  time.Time // time of the last of them
}

// emptyTime is the time of a VM's maintenance besides the maintenance itself: until its runs have ended or were stopped, and
// until the first heartbeat.
const emptyTime = 2500 * time.Millisecond

// waves reserves VMs for the waves in progress.
func (f *Fleet) waves(r csrun.Round, s *survey) {
	awaited := csmodel.NewSet[csmodel.VMID]()
	for _, w := range r.Table.Waves() {
		delete(f.due, w.Wave.ID)
		if !w.Completed() {
			for _, id := range w.Wave.VMs {
				awaited.Add(id)
			}
			f.wave(r, s, w)
		}
	}
	// A VM that no wave waits for is no reason to list the VMs.
	maps.DeleteFunc(f.absences, func(id csmodel.VMID, _ *absence) bool { return !awaited.Has(id) })
}

func (f *Fleet) wave(r csrun.Round, s *survey, w *csjob.WaveState) {
	var waiting []csmodel.VMID
	var changed []csjob.VMOrder
	down, parking := 0, 0
	for _, id := range w.Wave.VMs {
		_, begun := w.Begun[id]
		o := f.reserved[id]
		v, exists := f.vms[id]
		gone := f.removed(r.Table, id, exists)
		switch {
		case w.Removed(id) && exists:
			f.log.Info("removed VM listed again", zap.String("vm", string(id)), zap.String("wave", string(w.Wave.ID)))
			changed = append(changed, csjob.VMOrder{VM: id, Wave: w.Wave.ID, Done: true, Refused: true})
		case w.Done.Has(id):
			delete(f.absences, id)
		case gone:
			delete(f.reserved, id)
			end := csjob.VMOrder{VM: id, Wave: w.Wave.ID}
			if open, ok := r.Table.VMOrders()[id]; ok && open.Wave == w.Wave.ID {
				end = open
			}
			c := f.calls[id]
			end.Done, end.Removed = true, c == nil || c.accepted.IsZero()
			changed = append(changed, end)
		case begun, o != nil && o.order.Wave == w.Wave.ID:
			down++
		case f.parking(r.Table, s, id):
			parking++
		case o == nil && exists && f.takeable(r, v):
			if _, ordered := r.Table.VMOrders()[id]; !ordered {
				waiting = append(waiting, id)
			}
		}
	}
	if len(changed) > 0 {
		f.propose(csjob.Command{VMs: changed})
	}
	f.due[w.Wave.ID] = f.livesOf(r.Table, waiting)
	for _, id := range f.pickWave(r, s, w, waiting, down, parking) {
		f.reserve(r, id, csjob.VMOrder{VM: id, Wave: w.Wave.ID})
	}
}

// removed tells whether a VM of a wave has certainly been removed for good.
func (f *Fleet) removed(t *csjob.Table, id csmodel.VMID, listed bool) bool {
	a := f.absences[id]
	if listed {
		if a != nil {
			f.log.Info("VM listed again", zap.String("vm", string(id)), zap.Int("lists", a.lists), zap.Duration("after", f.listedAt.Sub(a.since)))
		}
		delete(f.absences, id)
		return false
	}
	if a == nil {
		a = &absence{since: f.listedAt}
		f.absences[id] = a
	}
	if f.listedAt.After(a.last) {
		a.lists++
		a.last = f.listedAt
		f.log.Info("VM not listed", zap.String("vm", string(id)), zap.Int("lists", a.lists), zap.Duration("for", f.listedAt.Sub(a.since)))
	}
	lists, long := absentLists, absentFor
	if f.ended(t, id) {
		lists, long = endedAbsentLists, endedAbsentFor
	}
	return a.lists >= lists && a.last.Sub(a.since) >= long
}

// ended tells whether the target that a VM was last listed with is known to have ended.
func (f *Fleet) ended(t *csjob.Table, id csmodel.VMID) bool {
	target, known := f.tenants[id]
	if !known {
		return false
	}
	_, alive := t.Target(target)
	return !alive
}

// parking tells whether a VM is on its way to a standby pool, where its maintenance disturbs nobody.
func (f *Fleet) parking(t *csjob.Table, s *survey, id csmodel.VMID) bool {
	pool := csmodel.PoolID("")
	if v := f.vms[id]; v.Phase == Moving {
		pool = v.Pool
	}
	if o := f.reserved[id]; o != nil {
		pool = o.order.Pool
	}
	if o, ordered := t.VMOrders()[id]; ordered {
		pool = o.Pool
	}
	p := s.byID[pool]
	return p != nil && p.Standby
}

// pickWave takes VMs from their pools and returns them: idle ones that no pool needs as soon as the wave allows, others
// only as fast as its deadline asks, because every busy VM that is taken is missed. VMs on their way to a standby pool
// are taken soon, so no others are taken in their place.
func (f *Fleet) pickWave(r csrun.Round, s *survey, w *csjob.WaveState, waiting []csmodel.VMID, down, parking int) []csmodel.VMID {
	var out, needed []csmodel.VMID
	for _, id := range waiting {
		v := f.vms[id]
		c, known := s.candidate(id)
		p := s.byID[v.Pool]
		if !known || !c.Idle || p == nil || !spares(soon, p, v.Room.CPU) {
			needed = append(needed, id)
			continue
		}
		if down+len(out) < w.Wave.AtOnce {
			out = append(out, id)
			s.take(id)
		}
	}
	slices.SortStableFunc(needed, func(a, b csmodel.VMID) int { return cmp.Compare(f.burden(r, a), f.burden(r, b)) })
	for _, id := range needed {
		if down+parking+len(out) >= f.pace(r.Now, w) {
			break
		}
		out = append(out, id)
		s.take(id)
	}
	return out
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
	cycle := f.o.Upkeep + emptyTime
	remaining := w.Accepted.Add(w.Wave.Deadline).Sub(now) - waveMargin
	need := float64(left) * float64(cycle) / float64(max(remaining, cycle))
	return min(w.Wave.AtOnce, int(math.Ceil(need)))
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

// burden ranks the VMs of a wave. Those with tasks that last go first, because the tasks leave one at a time; then those
// that are empty soonest.
func (f *Fleet) burden(r csrun.Round, id csmodel.VMID) time.Duration {
	t, ok := f.life(r.Table, f.vms[id])
	if !ok {
		return 0
	}
	l := r.Load(t.Life)
	if l.Lasts {
		return l.Clear - time.Hour
	}
	return l.Clear
}
