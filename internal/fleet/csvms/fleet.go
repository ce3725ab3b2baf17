package csvms

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/work/csjob"
	"cowslipstream.example/cowslipstream/internal/work/csrun"
)

const (
	// decideEvery bounds the decisions per second. A move takes 1.5 s, so 100 ms more hardly matter.
	decideEvery = 100 * time.Millisecond
	// listEvery bounds the listings of VMs, which are charged.
	listEvery = time.Second
	// arriveSlack is how long after its time a moved VM is still expected: a heartbeat and a listing.
	arriveSlack = 2500 * time.Millisecond
	logEvery    = time.Second
	callTimeout = 2 * time.Second // the platform may answer slowly
	retryPause  = 300 * time.Millisecond
	// holdLimit is how long a VM may stay reserved without becoming idle.
	holdLimit = 8 * time.Second
	// waveMargin is the part of a wave's time that is kept for VMs that come back late.
	waveMargin = 3 * time.Second
)

// Options configure a Fleet.
type Options struct {
	State    csrun.State
	Platform Platform
	Clock    clockwork.Clock
	Log      *zap.Logger
	MoveTime time.Duration // from a move to the VM's return
	Upkeep   time.Duration // from the start of maintenance to the VM's return
}

// Fleet decides about VMs on the leader. It implements csrun.Fleet. Use New.
type Fleet struct {
	o   Options
	log *zap.Logger

	mu       sync.Mutex
	epoch    int // increases with each change of the leader, so that late results are dropped
	vms      map[csmodel.VMID]VM
	listedAt time.Time
	listing  bool
	decided  time.Time
	loggedAt time.Time
	reserved map[csmodel.VMID]*reservation
	calls    map[csmodel.VMID]*orderCall
	arriving map[csmodel.VMID]time.Time // moves that were accepted, by the time of their return
	dead     map[csjob.Life]time.Time   // lives that an order has ended
	held     map[csjob.Life]bool
	idle     map[csmodel.VMID]time.Time // since when VMs have been idle
	forecast Forecast
	learned  bool                            // the forecast has taken in what the table knows
	due      map[csmodel.WaveID][]csjob.Life // targets whose VMs wait for their maintenance
}

// reservation is a VM that is emptied for an order.
type reservation struct {
	order csjob.VMOrder
	since time.Time
	sent  bool // the order is on its way to being committed
}

// orderCall is the state of a committed order.
type orderCall struct {
	busy     bool
	nextAt   time.Time
	accepted time.Time // the platform has carried it out; zero before
}

// allotment is a number of VMs and their CPU.
type allotment struct {
	VMs    int
	CPU    csmodel.MilliCPU
	Memory csjob.MiB
}

// New returns a fleet.
func New(o Options) *Fleet {
	f := &Fleet{o: o, log: o.Log}
	f.clear()
	return f
}

func (f *Fleet) clear() {
	f.epoch++
	f.vms = map[csmodel.VMID]VM{}
	f.listedAt, f.decided, f.listing = time.Time{}, time.Time{}, false
	f.reserved = map[csmodel.VMID]*reservation{}
	f.calls = map[csmodel.VMID]*orderCall{}
	f.arriving = map[csmodel.VMID]time.Time{}
	f.dead = map[csjob.Life]time.Time{}
	f.held = map[csjob.Life]bool{}
	f.idle = map[csmodel.VMID]time.Time{}
	f.learned = false
	f.due = map[csmodel.WaveID][]csjob.Life{}
}

// Reset implements csrun.Fleet.
func (f *Fleet) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clear()
}

// Held implements csrun.Fleet.
func (f *Fleet) Held() map[csjob.Life]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[csjob.Life]bool, len(f.held))
	for l, v := range f.held {
		out[l] = v
	}
	return out
}

// Due implements csrun.Fleet.
func (f *Fleet) Due() csmodel.Set[csjob.Life] {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := csmodel.NewSet[csjob.Life]()
	for _, lives := range f.due {
		for _, l := range lives {
			out.Add(l)
		}
	}
	return out
}

// Dead implements csrun.Fleet.
func (f *Fleet) Dead(l csjob.Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.dead[l]
	return ok
}

// Round implements csrun.Fleet.
func (f *Fleet) Round(r csrun.Round) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Now.Sub(f.decided) < decideEvery {
		return
	}
	f.decided = r.Now
	f.list(r)
	if f.listedAt.IsZero() {
		return
	}
	f.carryOut(r)
	f.waves(r)
	f.balance(r)
	f.release(r)
	f.hold(r.Table)
}

// list asks for the VMs where something is not known or expected to change.
func (f *Fleet) list(r csrun.Round) {
	if f.listing || r.Now.Sub(f.listedAt) < listEvery || !f.outdated(r) {
		return
	}
	f.listing = true
	epoch := f.epoch
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		vms, err := f.o.Platform.VMs(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		if epoch != f.epoch {
			return
		}
		f.listing = false
		f.listedAt = f.o.Clock.Now()
		if err != nil {
			f.log.Warn("VMs not listed", zap.Error(err))
			return
		}
		f.vms = map[csmodel.VMID]VM{}
		for _, v := range vms {
			f.vms[v.ID] = v
		}
	}()
}

// outdated tells whether the list of VMs may have changed.
func (f *Fleet) outdated(r csrun.Round) bool {
	if f.listedAt.IsZero() || len(r.Table.VMOrders()) > 0 || len(f.arriving) > 0 {
		return true
	}
	known := csmodel.NewSet[csjob.TargetID]()
	for _, v := range f.vms {
		known.Add(v.Target)
	}
	for _, t := range r.Table.Targets() {
		if !known.Has(t.Life.Target) {
			return true
		}
	}
	return false
}

// life returns the target on a VM, and false where it is not known.
func (f *Fleet) life(t *csjob.Table, v VM) (csjob.Target, bool) {
	if v.Target == "" {
		return csjob.Target{}, false
	}
	return t.Target(v.Target)
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
		if c == nil {
			c = &orderCall{}
			f.calls[id] = c
		}
		switch {
		case c.busy || r.Now.Before(c.nextAt):
		case c.accepted.IsZero():
			f.call(r, o, c)
		case f.returned(r.Now, id, c):
			c.nextAt = r.Now.Add(retryPause)
			o.Done = true
			f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
		}
	}
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
	epoch, fence := f.epoch, r.Fence
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
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
		f.propose(csjob.Command{}) // finds out whether another node leads
	default:
		o.Done, o.Refused = true, true
		f.propose(csjob.Command{VMs: []csjob.VMOrder{o}})
	}
}

func (f *Fleet) done(now time.Time, o csjob.VMOrder, c *orderCall) {
	c.accepted = now
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
func (f *Fleet) propose(c csjob.Command) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
		held := f.held[s.order.Life] || s.order.Life.Target == ""
		switch {
		case s.sent:
			if r.Now.Sub(s.since) > holdLimit {
				delete(f.reserved, id)
			}
		case held && !r.Busy(s.order.Life):
			s.sent = true
			s.since = r.Now
			ready = append(ready, s.order)
		case r.Now.Sub(s.since) > holdLimit && s.order.Wave == "":
			delete(f.reserved, id)
		}
	}
	if len(ready) > 0 {
		f.propose(csjob.Command{VMs: ready})
	}
}

// hold derives the lives that get no new tasks. A life is held for a whole round before an order for it is committed.
func (f *Fleet) hold(t *csjob.Table) {
	f.held = map[csjob.Life]bool{}
	for _, s := range f.reserved {
		if s.order.Life.Target != "" {
			f.held[s.order.Life] = true
		}
	}
	for _, o := range t.VMOrders() {
		if o.Life.Target != "" {
			f.held[o.Life] = true
		}
	}
}

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

// balance reserves VMs for moves to pools that need them.
func (f *Fleet) balance(r csrun.Round) {
	config := r.Table.Config()
	if config == nil {
		return
	}
	given := f.given(config)
	if !f.learned {
		f.learned = true
		f.forecast = Forecast{}
		f.forecast.Replay(r.Now, r.Arrivals(), func(csmodel.PoolID) csmodel.MilliCPU { return given.CPU })
	}
	var pools []*PoolView
	byID := map[csmodel.PoolID]*PoolView{}
	for _, p := range config.Pools {
		d := r.Demand[p.ID]
		f.forecast.Observe(r.Now, p.ID, d.Offered, given.CPU)
		d.Offered = max(d.Offered, f.forecast.Begun(r.Now, p.ID))
		v := &PoolView{ID: p.ID, Standby: p.Standby, Need: d.Need(), Expected: d.Lasting + f.forecast.Expected(r.Now, p.ID, f.o.MoveTime), Floor: f.floor(p.ID, given), Keep: !f.forecast.Seen(p.ID)}
		if !p.Standby {
			v.Required = requiredVMs(d.Width, float64(d.Memory), float64(given.Memory)/float64(max(1, given.VMs)))
		}
		byID[p.ID] = v
		pools = append(pools, v)
	}
	candidates := f.candidates(r, byID)
	transfers := Balance(pools, candidates)
	transfers = append(transfers, Park(r.Now, pools, candidates, transfers)...)
	f.logCapacity(r, pools, len(transfers))
	for _, t := range transfers {
		f.reserve(r, t.VM, csjob.VMOrder{VM: t.VM, Pool: t.To})
	}
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
			zap.Duration("list_age", r.Now.Sub(f.listedAt)))
	}
}

// floor returns the least number of VMs of a pool. A pool whose first busy phase is still to come keeps most of what it
// has, because nothing tells when the phase begins.
func (f *Fleet) floor(pool csmodel.PoolID, given allotment) int {
	if f.forecast.Seen(pool) {
		return floorVMs
	}
	return max(floorVMs, int(unseenShare*float64(given.VMs)))
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

func (f *Fleet) candidate(r csrun.Round, id csmodel.VMID, v VM, l csjob.Life) Candidate {
	c := Candidate{ID: id, Pool: v.Pool, CPU: v.Room.CPU, Idle: !r.Busy(l)}
	if !c.Idle {
		delete(f.idle, id)
		return c
	}
	if _, known := f.idle[id]; !known {
		f.idle[id] = r.Now
	}
	c.Since = f.idle[id]
	return c
}
