package csvms

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// allotment is a number of VMs and their CPU.
type allotment struct {
	VMs    int
	CPU    csmodel.MilliCPU
	Memory csjob.MiB
}

// survey is what a round knows of the pools and of the VMs that may be taken from them.
type survey struct {
	pools      []*PoolView
	byID       map[csmodel.PoolID]*PoolView
	candidates []Candidate
	perVM      csmodel.MilliCPU // mean of the VMs
}

// survey counts the supply of the pools and derives what they need.
func (f *Fleet) survey(r csrun.Round, config *csjob.Config) *survey {
	given := f.given(config)
	if !f.learned {
		f.learned = true
		f.forecast = Forecast{}
		f.forecast.Replay(r.Now, r.Arrivals(), func(csmodel.PoolID) csmodel.MilliCPU { return given.CPU })
	}
	s := &survey{perVM: given.CPU / csmodel.MilliCPU(max(1, given.VMs))}
	s.pools, s.byID = f.views(r, config, given)
	s.candidates = f.candidates(r, s.byID)
	f.withdraw(s.byID)
	return s
}

// take removes a VM from the candidates and from the supply of its pool. Others are in no supply.
func (s *survey) take(id csmodel.VMID) {
	c, known := s.candidate(id)
	if !known {
		return
	}
	s.byID[c.Pool].Supply -= c.CPU
	s.byID[c.Pool].VMs--
	s.candidates = slices.DeleteFunc(s.candidates, func(o Candidate) bool { return o.ID == id })
}

// candidate returns a VM that may be taken, and false where it is not known what that would end.
func (s *survey) candidate(id csmodel.VMID) (Candidate, bool) {
	for _, c := range s.candidates {
		if c.ID == id {
			return c, true
		}
	}
	return Candidate{}, false
}

// balance reserves VMs for moves to pools that need them, and idle ones that none needs for the standby pool.
func (f *Fleet) balance(r csrun.Round, s *survey) {
	transfers := Balance(s.pools, s.candidates)
	f.peaks.observe(r.Now, wanted(s.pools, s.perVM))
	if f.mayPark(r.Now) {
		transfers = append(transfers, Park(r.Now, s.pools, s.candidates, transfers, f.peaks.highest())...)
	}
	f.logCapacity(r, s.pools, len(transfers))
	for _, t := range transfers {
		f.reserve(r, t.VM, csjob.VMOrder{VM: t.VM, Pool: t.To})
	}
}

// emptyFor is the time that it takes to empty the first VMs for another pool.
const emptyFor = 300 * time.Millisecond

// views returns what is known and expected of each pool.
func (f *Fleet) views(r csrun.Round, config *csjob.Config, given allotment) ([]*PoolView, map[csmodel.PoolID]*PoolView) {
	var pools []*PoolView
	var working []csmodel.PoolID
	byID := map[csmodel.PoolID]*PoolView{}
	for _, p := range config.Pools {
		d := r.Demand[p.ID]
		f.forecast.Observe(r.Now, p.ID, d.Offered, d.Jobs, given.CPU)
		if !p.Standby {
			working = append(working, p.ID)
		}
	}
	f.logTurn(r)
	// A VM that is asked for now works after this time.
	ahead := f.o.MoveTime + prepareFor + emptyFor
	next := f.forecast.NextTurn(r.Now, working, ahead)
	// Busy VMs are taken no earlier than they are needed: the work of the pool that loses them goes on.
	certain := f.forecast.steady() && f.forecast.changing(r.Now, f.o.MoveTime)
	for _, p := range config.Pools {
		d := r.Demand[p.ID]
		d.Offered = max(d.Offered, f.forecast.Begun(r.Now, p.ID))
		if f.forecast.Ending(r.Now, p.ID, f.o.MoveTime) {
			d.Offered, d.Running = 0, scale(d.Running, endingShare)
		}
		turn := d.Ramped(ahead, next[p.ID])
		expected := max(d.Ramped(ahead, f.forecast.Expected(r.Now, p.ID, f.o.MoveTime)), turn)
		v := &PoolView{
			ID: p.ID, Standby: p.Standby, Need: d.Need(ahead), Expected: d.Lasting + expected, Floor: floorVMs,
		}
		if certain {
			v.Certain = d.Lasting + turn
		}
		if !p.Standby {
			v.Required = requiredVMs(d.Width, float64(d.Memory), float64(given.Memory)/float64(max(1, given.VMs)))
		}
		byID[p.ID] = v
		pools = append(pools, v)
	}
	return pools, byID
}

// logTurn writes a line when another pool has begun its busy phase.
func (f *Fleet) logTurn(r csrun.Round) {
	last, length, known := f.forecast.present()
	if last == f.turn {
		return
	}
	f.turn = last
	f.log.Info("busy phase begun", zap.String("pool", string(last.pool)), zap.Duration("age", r.Now.Sub(last.at)),
		zap.Int64("offered", int64(r.Demand[last.pool].Offered)), zap.Int("jobs", r.Demand[last.pool].Jobs),
		zap.Bool("length_known", known), zap.Duration("length", length))
}

// logCapacity writes what the last decisions were based on.
func (f *Fleet) logCapacity(r csrun.Round, pools []*PoolView, transfers int) {
	if r.Now.Sub(f.loggedAt) < logEvery && transfers == 0 {
		return
	}
	f.loggedAt = r.Now
	for _, p := range pools {
		d := r.Demand[p.ID]
		f.log.Info("capacity", zap.String("pool", string(p.ID)), zap.Int("vms", p.VMs), zap.Int64("supply", int64(p.Supply)),
			zap.Int64("need", int64(p.Need)), zap.Int64("offered", int64(d.Offered)), zap.Int64("waiting", int64(d.Waiting)),
			zap.Int64("late", int64(d.Behind)), zap.Int64("running", int64(d.Running)), zap.Int64("lasting", int64(d.Lasting)),
			zap.Int("targets", d.Targets), zap.Int64("free", int64(d.Free)),
			zap.Int64("expected", int64(p.Expected)), zap.Int("required", p.Required),
			zap.Duration("list_age", r.Now.Sub(f.listedAt)))
	}
}

// given returns an even share of the VMs. What a pool holds at the moment depends on whose busy phase it is.
func (f *Fleet) given(config *csjob.Config) allotment {
	var a allotment
	pools := 0
	for _, p := range config.Pools {
		if !p.Standby {
			pools++
		}
	}
	for _, v := range f.vms {
		a.VMs++
		a.CPU += v.Room.CPU
		a.Memory += v.Room.Memory
	}
	pools = max(1, pools)
	return allotment{VMs: a.VMs / pools, CPU: a.CPU / csmodel.MilliCPU(pools), Memory: a.Memory / csjob.MiB(pools)}
}

// candidates counts the supply of each pool and returns the VMs that may be taken.
func (f *Fleet) candidates(r csrun.Round, pools map[csmodel.PoolID]*PoolView) []Candidate {
	var out []Candidate
	orders := r.Table.VMOrders()
	for _, id := range csmodel.SortedKeys(f.vms) {
		v := f.vms[id]
		if at, ok := f.arriving[id]; ok {
			_, up := f.life(r.Table, v)
			if up || r.Now.After(at.Add(arriveSlack)) {
				delete(f.arriving, id)
			}
		}
		pool := v.Pool
		s := f.reserved[id]
		if s != nil && s.order.Pool != "" {
			pool = s.order.Pool
		}
		p := pools[pool]
		if p == nil || v.Phase == Down {
			continue
		}
		if s != nil && s.order.Wave != "" {
			continue
		}
		_, ordered := orders[id]
		t, up := f.life(r.Table, v)
		if s != nil && !s.sent && up && !r.Usable(t.Life) {
			// Nobody can tell when its runs end, so it would only seem to be on its way.
			delete(f.reserved, id)
			f.log.Info("VM move withdrawn", zap.String("vm", string(id)), zap.String("from", string(v.Pool)),
				zap.String("pool", string(s.order.Pool)), zap.String("reason", "target is silent"))
			continue
		}
		_, arriving := f.arriving[id]
		if !up && !p.Standby && !arriving && !ordered && s == nil {
			continue // its target is lost, or not known yet
		}
		if ordered || s != nil || (!up && !p.Standby) {
			p.Supply += v.Room.CPU
			p.VMs++
			continue
		}
		if up && (t.Leaving || !r.Usable(t.Life)) {
			continue
		}
		p.Supply += v.Room.CPU
		p.VMs++
		if v.Phase == Up {
			out = append(out, f.candidate(r, id, v, t.Life))
		}
	}
	return out
}

// withdraw gives up moves of VMs that are still being emptied and that their new pool no longer needs.
func (f *Fleet) withdraw(pools map[csmodel.PoolID]*PoolView) {
	for _, id := range csmodel.SortedKeys(f.reserved) {
		s := f.reserved[id]
		v, to := f.vms[id], pools[s.order.Pool]
		if s.sent || s.order.Wave != "" || to == nil || !spares(soon, to, v.Room.CPU) {
			continue
		}
		to.Supply -= v.Room.CPU
		to.VMs--
		if from := pools[v.Pool]; from != nil {
			from.Supply += v.Room.CPU
			from.VMs++
		}
		delete(f.reserved, id)
		f.log.Info("VM move withdrawn", zap.String("vm", string(id)), zap.String("from", string(v.Pool)),
			zap.String("pool", string(s.order.Pool)), zap.String("reason", "not needed"))
	}
}

func (f *Fleet) candidate(r csrun.Round, id csmodel.VMID, v VM, l csjob.Life) Candidate {
	c := Candidate{ID: id, Pool: v.Pool, CPU: v.Room.CPU, Idle: !r.Busy(l)}
	if !c.Idle {
		load := r.Load(l)
		c.Clear, c.Lasts = load.Clear, load.Lasts
		delete(f.idle, id)
		return c
	}
	if _, known := f.idle[id]; !known {
		f.idle[id] = r.Now
	}
	c.Since = f.idle[id]
	return c
}
