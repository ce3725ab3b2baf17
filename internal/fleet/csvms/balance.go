package csvms

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// poolShare is a number of VMs with their total CPU and memory.
type poolShare struct {
	VMs    int
	CPU    csmodel.MilliCPU
	Memory csjob.MiB
}

// fleetView is the state of the pools, and of the VMs that may be taken from them, in one round.
type fleetView struct {
	pools      []*PoolView
	byID       map[csmodel.PoolID]*PoolView
	candidates []Candidate
	index      map[csmodel.VMID]int // positions in candidates of those that have not been removed
	cpuPerVM   csmodel.MilliCPU     // mean CPU of a VM
}

// buildView counts the supply of the pools and derives their demand.
func (f *Fleet) buildView(r csrun.Round, config *csjob.Config) *fleetView {
	share := f.evenShare(config)
	if !f.replayed {
		f.replayed = true
		f.forecast = Forecast{}
		f.forecast.Replay(r.Now, r.Arrivals(), func(csmodel.PoolID) csmodel.MilliCPU { return share.CPU })
	}
	view := &fleetView{cpuPerVM: share.CPU / csmodel.MilliCPU(max(1, share.VMs))}
	view.pools, view.byID = f.poolViews(r, config, share)
	view.setCandidates(f.collectCandidates(r, view.byID))
	f.cancelUnneededMoves(view.byID)
	return view
}

func (v *fleetView) setCandidates(candidates []Candidate) {
	v.candidates, v.index = candidates, make(map[csmodel.VMID]int, len(candidates))
	for i := range candidates {
		v.index[candidates[i].ID] = i
	}
}

// removeCandidate removes a VM from the candidates and from the supply of its pool. Other VMs that a wave may take count in no
// supply.
func (v *fleetView) removeCandidate(id csmodel.VMID) {
	c := v.candidate(id)
	if c == nil {
		return
	}
	v.byID[c.Pool].Supply -= c.CPU
	v.byID[c.Pool].VMs--
	delete(v.index, id)
}

// candidate returns a VM that may be taken, or nil if it is not known what taking it would end.
func (v *fleetView) candidate(id csmodel.VMID) *Candidate {
	i, known := v.index[id]
	if !known {
		return nil
	}
	return &v.candidates[i]
}

// remaining returns the candidates that have not been removed.
func (v *fleetView) remaining() []Candidate {
	if len(v.index) == len(v.candidates) {
		return v.candidates
	}
	out := make([]Candidate, 0, len(v.index))
	for i := range v.candidates {
		if c := &v.candidates[i]; v.candidate(c.ID) != nil {
			out = append(out, *c)
		}
	}
	return out
}

// balance reserves VMs for moves to pools that need them, and idle VMs that no pool needs for the standby pool.
func (f *Fleet) balance(r csrun.Round, view *fleetView) {
	candidates := f.movable(view.remaining())
	transfers := Balance(view.pools, candidates)
	f.peakVMs.observe(r.Now, totalDesiredVMs(view.pools, view.cpuPerVM))
	if f.mayPark(r.Now) {
		transfers = append(transfers, Park(r.Now, view.pools, candidates, transfers, f.peakVMs.maximum())...)
	}
	f.logCapacity(r, view.pools, len(transfers))
	for _, t := range transfers {
		f.reserve(r, t.VM, csjob.VMOrder{VM: t.VM, Pool: t.To})
	}
}

// movable returns the candidates that have time for a move. A VM that is moved shortly before the deadline of its wave returns with new runs
// and makes the wave late.
func (f *Fleet) movable(candidates []Candidate) []Candidate {
	if len(f.noTimeToMove) == 0 {
		return candidates
	}
	out := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		if !f.noTimeToMove.Has(candidates[i].ID) {
			out = append(out, candidates[i])
		}
	}
	return out
}

// firstDrainTime is the time that it takes to drain the first VMs for another pool.
const firstDrainTime = 300 * time.Millisecond

// poolViews returns the present and the expected demand of each pool.
func (f *Fleet) poolViews(r csrun.Round, config *csjob.Config, share poolShare) ([]*PoolView, map[csmodel.PoolID]*PoolView) {
	var pools []*PoolView
	var activePools []csmodel.PoolID
	byID := map[csmodel.PoolID]*PoolView{}
	for _, p := range config.Pools {
		d := r.Demand[p.ID]
		f.forecast.Observe(r.Now, p.ID, d.Offered, d.Jobs, share.CPU)
		if !p.Standby {
			activePools = append(activePools, p.ID)
		}
	}
	f.logTurn(r)
	// A VM that is requested now can work after this time.
	ahead := f.options.MoveTime + detectionDelay + firstDrainTime
	next := f.forecast.NextTurn(r.Now, activePools, ahead)
	// Busy VMs are taken no earlier than they are needed, because the pool that loses them still has work.
	certain := f.forecast.turnsRegular() && f.forecast.turnChanging(r.Now, f.options.MoveTime)
	for _, p := range config.Pools {
		d := r.Demand[p.ID]
		d.Offered = max(d.Offered, f.forecast.RampUp(r.Now, p.ID))
		if f.forecast.TurnEnding(r.Now, p.ID, f.options.MoveTime) {
			d.Offered, d.Running = 0, scale(d.Running, endingWorkRatio)
		}
		turn := d.RampedUp(ahead, next[p.ID])
		expected := max(d.RampedUp(ahead, f.forecast.NextPhase(r.Now, p.ID, f.options.MoveTime)), turn)
		v := &PoolView{
			ID: p.ID, Standby: p.Standby, PresentDemand: d.CapacityNeeded(ahead), ExpectedDemand: d.LongRunning + expected, MinVMs: minPoolVMs,
		}
		if certain {
			v.CertainDemand = d.LongRunning + turn
		}
		if !p.Standby {
			v.RequiredVMs = requiredVMs(d.MinTargets, float64(d.Memory), float64(share.Memory)/float64(max(1, share.VMs)))
		}
		byID[p.ID] = v
		pools = append(pools, v)
	}
	return pools, byID
}

// logTurn logs the start of the busy phase of another pool.
func (f *Fleet) logTurn(r csrun.Round) {
	last, length, known := f.forecast.currentTurn()
	if last == f.loggedTurn {
		return
	}
	f.loggedTurn = last
	f.log.Info("busy phase begun", zap.String("pool", string(last.pool)), zap.Duration("age", r.Now.Sub(last.at)),
		zap.Int64("offered", int64(r.Demand[last.pool].Offered)), zap.Int("jobs", r.Demand[last.pool].Jobs),
		zap.Bool("length_known", known), zap.Duration("length", length))
}

// logCapacity logs what the last decisions were based on, at most once per capacityLogInterval if no VM is transferred.
func (f *Fleet) logCapacity(r csrun.Round, pools []*PoolView, transfers int) {
	if r.Now.Sub(f.loggedAt) < capacityLogInterval && transfers == 0 {
		return
	}
	f.loggedAt = r.Now
	for _, p := range pools {
		d := r.Demand[p.ID]
		f.log.Info("capacity", zap.String("pool", string(p.ID)), zap.Int("vms", p.VMs), zap.Int64("supply", int64(p.Supply)),
			zap.Int64("need", int64(p.PresentDemand)), zap.Int64("offered", int64(d.Offered)), zap.Int64("waiting", int64(d.Waiting)),
			zap.Int64("late", int64(d.Late)), zap.Int64("running", int64(d.Running)), zap.Int64("lasting", int64(d.LongRunning)),
			zap.Int("targets", d.Targets), zap.Int64("free", int64(d.Free)),
			zap.Int64("expected", int64(p.ExpectedDemand)), zap.Int("required", p.RequiredVMs),
			zap.Duration("list_age", r.Now.Sub(f.listedAt)))
	}
}

// evenShare returns the share of one active pool if all VMs were divided evenly. What a pool holds at the moment depends on whose
// busy phase it is.
func (f *Fleet) evenShare(config *csjob.Config) poolShare {
	var total poolShare
	pools := 0
	for _, p := range config.Pools {
		if !p.Standby {
			pools++
		}
	}
	for _, v := range f.vms {
		total.VMs++
		total.CPU += v.Resources.CPU
		total.Memory += v.Resources.Memory
	}
	pools = max(1, pools)
	return poolShare{VMs: total.VMs / pools, CPU: total.CPU / csmodel.MilliCPU(pools), Memory: total.Memory / csjob.MiB(pools)}
}

// collectCandidates counts the supply of each pool and returns the VMs that may be taken. It cancels moves of VMs whose target
// does not respond.
func (f *Fleet) collectCandidates(r csrun.Round, pools map[csmodel.PoolID]*PoolView) []Candidate {
	var out []Candidate
	orders := r.Table.VMOrders()
	for _, id := range csmodel.SortedKeys(f.vms) {
		v := f.vms[id]
		if at, ok := f.arriving[id]; ok {
			_, up := f.targetOn(r.Table, v)
			if up || r.Now.After(at.Add(arrivalTolerance)) {
				delete(f.arriving, id)
			}
		}
		pool := v.Pool
		res := f.reservations[id]
		if res != nil && res.order.Pool != "" {
			pool = res.order.Pool
		}
		p := pools[pool]
		if p == nil || v.Phase == Down {
			continue
		}
		if res != nil && res.order.Wave != "" {
			continue
		}
		_, ordered := orders[id]
		t, up := f.targetOn(r.Table, v)
		if res != nil && !res.proposed && up && !r.Usable(t.Incarnation) {
			// It is unknown when its runs end, so the VM must not count as being on its way.
			delete(f.reservations, id)
			f.log.Info("VM move withdrawn", zap.String("vm", string(id)), zap.String("from", string(v.Pool)),
				zap.String("pool", string(res.order.Pool)), zap.String("reason", "target does not respond"))
			continue
		}
		_, arriving := f.arriving[id]
		if !up && !p.Standby && !arriving && !ordered && res == nil {
			continue // its target is lost or not known yet
		}
		if ordered || res != nil || (!up && !p.Standby) {
			p.Supply += v.Resources.CPU
			p.VMs++
			continue
		}
		if up && (t.Draining || !r.Usable(t.Incarnation)) {
			continue
		}
		p.Supply += v.Resources.CPU
		p.VMs++
		if v.Phase == Up {
			out = append(out, f.newCandidate(r, id, v, t.Incarnation))
		}
	}
	return out
}

// cancelUnneededMoves cancels moves of VMs that are still being drained and that their new pool no longer needs.
func (f *Fleet) cancelUnneededMoves(pools map[csmodel.PoolID]*PoolView) {
	for _, id := range csmodel.SortedKeys(f.reservations) {
		res := f.reservations[id]
		v, to := f.vms[id], pools[res.order.Pool]
		if res.proposed || res.order.Wave != "" || to == nil || !canSpare(forecastDesired, to, v.Resources.CPU) {
			continue
		}
		to.Supply -= v.Resources.CPU
		to.VMs--
		if from := pools[v.Pool]; from != nil {
			from.Supply += v.Resources.CPU
			from.VMs++
		}
		delete(f.reservations, id)
		f.log.Info("VM move withdrawn", zap.String("vm", string(id)), zap.String("from", string(v.Pool)),
			zap.String("pool", string(res.order.Pool)), zap.String("reason", "not needed"))
	}
}

func (f *Fleet) newCandidate(r csrun.Round, id csmodel.VMID, v VM, l csjob.Incarnation) Candidate {
	c := Candidate{ID: id, Pool: v.Pool, CPU: v.Resources.CPU, Idle: !r.Busy(l)}
	if !c.Idle {
		load := r.Load(l)
		c.DrainTime, c.LongRunning = load.DrainTime, load.HasLongRunning
		delete(f.idleSince, id)
		return c
	}
	if _, known := f.idleSince[id]; !known {
		f.idleSince[id] = r.Now
	}
	c.IdleSince = f.idleSince[id]
	return c
}
