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

// A VM of a wave counts as removed once it is missing from this many consecutive lists over this time. A single list proves
// nothing: a list of several pages is read while VMs come and go, and can leave out a VM that still exists. If the target that
// ran there has ended as well, the wait is short, because a wave must be completed within 2 s of its time. Otherwise it is well
// above the duration of a move and of a maintenance, and above that of rack outages on the platform, 6.6 s.
const (
	minAbsentLists      = 8
	minAbsentTime       = 15 * time.Second
	minAbsentListsEnded = 3
	minAbsentTimeEnded  = 2 * time.Second
)

// absence counts the consecutive lists that a VM of a wave is missing from.
type absence struct {
	lists      int
	since      time.Time // time of the first of these lists
	lastListAt time.Time // time of the last of these lists
}

// maintenanceOverhead is the time that a VM is unavailable besides the maintenance itself: until its runs have ended or were
// stopped, and until the first heartbeat.
const maintenanceOverhead = 2500 * time.Millisecond

// advanceWaves reserves VMs for the open waves and records VMs that were removed.
func (f *Fleet) advanceWaves(r csrun.Round, view *fleetView) {
	awaited := csmodel.NewSet[csmodel.VMID]()
	f.awaitingMaintenance, f.maintenanceDue = csmodel.NewSet[csjob.Incarnation](), csmodel.NewSet[csjob.Incarnation]()
	f.noTimeToMove = csmodel.NewSet[csmodel.VMID]()
	for _, w := range r.Table.Waves() {
		if !w.Completed() {
			for _, id := range w.Wave.VMs {
				awaited.Add(id)
			}
			f.advanceWave(r, view, w)
		}
	}
	// A VM that no open wave waits for is no reason to list the VMs.
	maps.DeleteFunc(f.absences, func(id csmodel.VMID, _ *absence) bool { return !awaited.Has(id) })
}

// advanceWave reserves VMs for a wave and records those that were removed or are listed again.
func (f *Fleet) advanceWave(r csrun.Round, view *fleetView, w *csjob.WaveState) {
	var waiting, reserved []csmodel.VMID
	var updates []csjob.VMOrder
	down, moving := 0, 0
	for _, id := range w.Wave.VMs {
		_, begun := w.Begun[id]
		res := f.reservations[id]
		v, exists := f.vms[id]
		removed := f.trackAbsence(r.Table, id, exists)
		switch {
		case w.Removed(id) && exists:
			f.log.Info("removed VM listed again", zap.String("vm", string(id)), zap.String("wave", string(w.Wave.ID)))
			updates = append(updates, csjob.VMOrder{VM: id, Wave: w.Wave.ID, Done: true, Refused: true})
		case w.Done.Has(id):
			delete(f.absences, id)
		case removed:
			delete(f.reservations, id)
			end := csjob.VMOrder{VM: id, Wave: w.Wave.ID}
			if open, ok := r.Table.VMOrders()[id]; ok && open.Wave == w.Wave.ID {
				end = open
			}
			state := f.openOrders[id]
			end.Done, end.Removed = true, state == nil || state.acceptedAt.IsZero()
			updates = append(updates, end)
		case begun:
			down++
		case res != nil && res.order.Wave == w.Wave.ID:
			down++
			reserved = append(reserved, id)
		case f.movingToStandby(r.Table, view, id):
			moving++
		case res == nil && exists && f.orderable(r, v):
			if _, ordered := r.Table.VMOrders()[id]; !ordered {
				waiting = append(waiting, id)
			}
		}
	}
	if len(updates) > 0 {
		f.propose(csjob.Command{VMs: updates})
	}
	f.addTargetIncarnations(f.awaitingMaintenance, r.Table, waiting)
	if f.timeLeft(r.Now, w) <= 0 {
		f.addTargetIncarnations(f.maintenanceDue, r.Table, reserved)
	}
	f.keepFromMoving(r.Now, w, waiting)
	for _, id := range f.selectWaveVMs(r, view, w, waiting, down, moving) {
		f.reserve(r, id, csjob.VMOrder{VM: id, Wave: w.Wave.ID})
	}
}

// trackAbsence records whether the last list names a VM of a wave, and reports whether the VM has certainly been removed for
// good.
func (f *Fleet) trackAbsence(t *csjob.Table, id csmodel.VMID, listed bool) bool {
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
	if f.listedAt.After(a.lastListAt) {
		a.lists++
		a.lastListAt = f.listedAt
		f.log.Info("VM not listed", zap.String("vm", string(id)), zap.Int("lists", a.lists), zap.Duration("for", f.listedAt.Sub(a.since)))
	}
	minLists, minTime := minAbsentLists, minAbsentTime
	if f.lastTargetEnded(t, id) {
		minLists, minTime = minAbsentListsEnded, minAbsentTimeEnded
	}
	return a.lists >= minLists && a.lastListAt.Sub(a.since) >= minTime
}

// lastTargetEnded reports whether the target last listed on a VM is known to have ended.
func (f *Fleet) lastTargetEnded(t *csjob.Table, id csmodel.VMID) bool {
	target, known := f.lastTargets[id]
	if !known {
		return false
	}
	_, alive := t.Target(target)
	return !alive
}

// movingToStandby reports whether a VM is on its way to a standby pool, where its maintenance does not disturb any work.
func (f *Fleet) movingToStandby(t *csjob.Table, view *fleetView, id csmodel.VMID) bool {
	pool := csmodel.PoolID("")
	if v := f.vms[id]; v.Phase == Moving {
		pool = v.Pool
	}
	if res := f.reservations[id]; res != nil {
		pool = res.order.Pool
	}
	if o, ordered := t.VMOrders()[id]; ordered {
		pool = o.Pool
	}
	p := view.byID[pool]
	return p != nil && p.Standby
}

// selectWaveVMs removes VMs from their pools for a wave and returns them. Idle VMs that no pool needs are taken as soon as the
// wave allows; others only as fast as its deadline requires, because their pools need them. VMs on their way to a standby pool
// can be taken soon, so no others are taken in their place.
func (f *Fleet) selectWaveVMs(r csrun.Round, view *fleetView, w *csjob.WaveState, waiting []csmodel.VMID, down, moving int) []csmodel.VMID {
	var out, inUse []csmodel.VMID
	for _, id := range waiting {
		v := f.vms[id]
		c := view.candidate(id)
		p := view.byID[v.Pool]
		if c == nil || !c.Idle || p == nil || !canSpare(forecastDesired, p, v.Resources.CPU) {
			inUse = append(inUse, id)
			continue
		}
		if down+len(out) < w.Wave.MaxConcurrent {
			out = append(out, id)
			view.removeCandidate(id)
		}
	}
	free := f.requiredConcurrency(r.Now, w) - down - moving - len(out)
	if free <= 0 {
		return out
	}
	for _, id := range f.byDrainTime(r, view, inUse)[:min(free, len(inUse))] {
		out = append(out, id)
		view.removeCandidate(id)
	}
	return out
}

// orderable reports whether a VM is up and it is known what an order for it would end.
func (f *Fleet) orderable(r csrun.Round, v VM) bool {
	if v.Phase != Up {
		return false
	}
	if _, ok := f.targetOn(r.Table, v); ok {
		return true
	}
	for _, p := range r.Table.Config().Pools {
		if p.ID == v.Pool {
			return p.Standby
		}
	}
	return false
}

// requiredConcurrency returns how many VMs of a wave should be down at once to meet its deadline.
func (f *Fleet) requiredConcurrency(now time.Time, w *csjob.WaveState) int {
	remainingVMs := len(w.Wave.VMs) - len(w.Done)
	downtime := f.options.MaintenanceTime + maintenanceOverhead
	remaining := w.Accepted.Add(w.Wave.Deadline).Sub(now) - waveDeadlineMargin
	need := float64(remainingVMs) * float64(downtime) / float64(max(remaining, downtime))
	return min(w.Wave.MaxConcurrent, int(math.Ceil(need)))
}

// timeLeft returns the time after which the VMs of a wave that are not down have to go down for the wave to meet its deadline.
func (f *Fleet) timeLeft(now time.Time, w *csjob.WaveState) time.Duration {
	return w.Accepted.Add(w.Wave.Deadline).Sub(now) - f.options.MaintenanceTime - maintenanceOverhead
}

// keepFromMoving keeps VMs of a wave that leaves no time for a move in their pools.
func (f *Fleet) keepFromMoving(now time.Time, w *csjob.WaveState, vms []csmodel.VMID) {
	if f.timeLeft(now, w) > f.options.MoveTime+waveDeadlineMargin {
		return
	}
	for _, id := range vms {
		f.noTimeToMove.Add(id)
	}
}

// addTargetIncarnations adds the incarnations of the known targets on VMs.
func (f *Fleet) addTargetIncarnations(to csmodel.Set[csjob.Incarnation], t *csjob.Table, vms []csmodel.VMID) {
	for _, id := range vms {
		if o, ok := f.targetOn(t, f.vms[id]); ok {
			to.Add(o.Incarnation)
		}
	}
}

// byDrainTime sorts the VMs of a wave. Those with long-running tasks come first, because these tasks leave one at a time; then
// those that drain soonest. The load of each VM is summed up once: a wave may have hundreds of VMs with ten runs each.
func (f *Fleet) byDrainTime(r csrun.Round, view *fleetView, vms []csmodel.VMID) []csmodel.VMID {
	ranks := make(map[csmodel.VMID]time.Duration, len(vms))
	for _, id := range vms {
		ranks[id] = f.drainRank(r, view, id)
	}
	slices.SortStableFunc(vms, func(a, b csmodel.VMID) int { return cmp.Compare(ranks[a], ranks[b]) })
	return vms
}

// drainRank ranks a VM of a wave, the first one to drain lowest.
func (f *Fleet) drainRank(r csrun.Round, view *fleetView, id csmodel.VMID) time.Duration {
	rank := func(drainTime time.Duration, longRunning bool) time.Duration {
		if longRunning {
			return drainTime - time.Hour
		}
		return drainTime
	}
	if c := view.candidate(id); c != nil {
		return rank(c.DrainTime, c.LongRunning)
	}
	t, ok := f.targetOn(r.Table, f.vms[id])
	if !ok {
		return 0
	}
	l := r.Load(t.Incarnation)
	return rank(l.DrainTime, l.HasLongRunning)
}
