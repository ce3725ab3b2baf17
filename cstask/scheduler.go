package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Bounds and delays of the scheduler.
const (
	maxLeases     = 512             // leases proposed in one tick
	maxMisses     = 8               // tasks of one shape that may fail to fit before the shape waits for the next tick
	pendingTime   = 5 * time.Second // how long a proposal may take to be committed before it is repeated
	settleTime    = time.Minute     // observation before a task is judged larger than every worker
	expireEvery   = 2 * time.Second
	startGrace    = 30 * time.Second
	reportLimit   = 30 * time.Second // age of a report after which leases are not renewed
	minLease      = time.Minute
	leasePerVM    = 50 * time.Millisecond // keeps the renewals of 3,200 VMs below 0.2 KB/s
	defaultCPU    = csmodel.MilliCPU(100)
	defaultMemory = 64 * csmodel.MiB
	defaultTime   = time.Minute
)

// Scheduler decides where tasks run. It lives on the leader and can be replaced by a new one at any time. Create one
// with NewScheduler.
type Scheduler struct {
	pools   map[csmodel.JobID]csmodel.PoolID
	table   *Table
	epoch   uint64
	started time.Time
	cursor  uint64 // sequence of the last waiting task that was read
	fed     uint64 // number of outcomes that were read
	shapes  map[shapeKey]*shape
	queued  int // entries in all shapes, including outdated ones
	pending map[csmodel.TaskID]proposal
	holds   map[csmodel.PoolID]hold
	rungs   map[attemptKey]rung
	late    csmodel.Set[csmodel.PoolID] // pools with a task past its latest start that did not fit in the last tick
	health  health
	expired time.Time // when leases were last checked for their expiry
	loads   map[csmodel.VMID]*load
	spread  map[spreadKey]int // leased tasks by job and failure domain
	ticks   uint64
	renewed map[csmodel.VMID]time.Time
}

// proposal is a lease or set-aside that has been proposed and may not be committed yet.
type proposal struct {
	fence csmodel.Fence
	vm    csmodel.VMID
	need  Usage
	until time.Time
}

// NewScheduler returns a scheduler without observations.
func NewScheduler() *Scheduler {
	s := &Scheduler{pools: make(map[csmodel.JobID]csmodel.PoolID)}
	s.reset(nil)
	return s
}

func (s *Scheduler) reset(t *Table) {
	*s = Scheduler{
		pools:   s.pools,
		table:   t,
		started: s.started,
		shapes:  make(map[shapeKey]*shape),
		pending: make(map[csmodel.TaskID]proposal),
		holds:   make(map[csmodel.PoolID]hold),
		rungs:   make(map[attemptKey]rung),
		late:    make(csmodel.Set[csmodel.PoolID]),
		renewed: make(map[csmodel.VMID]time.Time),
		loads:   make(map[csmodel.VMID]*load),
		spread:  make(map[spreadKey]int),
		health:  newHealth(),
	}
	if t != nil {
		s.epoch = t.epoch
		s.fed = t.feed.total
	}
}

// Configure sets the jobs of the active configuration, which name the pool of each job.
func (s *Scheduler) Configure(jobs []csconfig.Job) {
	s.pools = make(map[csmodel.JobID]csmodel.PoolID, len(jobs))
	for _, j := range jobs {
		s.pools[j.Name] = j.Pool
	}
}

// Late tells whether the pool has a task past its latest start that did not fit in the last tick.
func (s *Scheduler) Late(pool csmodel.PoolID) bool { return s.late.Has(pool) }

// Tick returns the actions for the current state. Proposals that were not committed after a few seconds are repeated.
func (s *Scheduler) Tick(t *Table, workers []Worker, now time.Time) []Action {
	s.sync(t, now)
	r := newRound(s, t, workers, now)
	r.supervise()
	r.renew()
	r.expire()
	r.place()
	return r.actions
}

// sync follows the changes of the table since the last tick.
func (s *Scheduler) sync(t *Table, now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	if s.table != t || s.epoch != t.epoch {
		s.reset(t)
	}
	t.feed.since(s.fed, func(o outcome) { s.health.observe(o, now) })
	s.fed = t.feed.total
	if s.queued > 2*t.queue.length+maxLeases {
		s.shapes = make(map[shapeKey]*shape)
		s.queued = 0
		s.cursor = 0
	}
	var newest uint64
	for r := t.queue.last; r != nil && r.sequence > s.cursor; r = r.previous {
		newest = max(newest, r.sequence)
		s.enqueue(r)
	}
	s.cursor = max(s.cursor, newest)
	s.prune(now)
}

func (s *Scheduler) prune(now time.Time) {
	for id, p := range s.pending {
		r, ok := s.table.tasks[id]
		if !ok || r.state != StateWaiting || r.fence != p.fence || now.After(p.until) {
			delete(s.pending, id)
		}
	}
	for k, g := range s.rungs {
		if now.Sub(g.seen) > 2*rungMemory {
			delete(s.rungs, k)
		}
	}
	for vm, at := range s.renewed {
		if now.Sub(at) > pendingTime {
			delete(s.renewed, vm)
		}
	}
	s.health.prune(now)
}

// need returns what to reserve for a task: learned sizes where there are any, otherwise the declared ones, and never
// less than an earlier attempt used.
func (t *Table) need(r *record) Usage {
	u, ok := Usage{}, false
	if r.job.sizes != nil {
		u, ok = r.job.sizes.estimate()
	}
	if !ok {
		u = Usage{CPU: r.cpu, Memory: r.memory, Runtime: r.runtime}
	}
	if r.run != nil {
		u.CPU = max(u.CPU, r.run.peak.CPU)
		u.Memory = max(u.Memory, r.run.peak.Memory)
		u.Runtime = max(u.Runtime, 2*r.run.peak.Runtime)
	}
	if u.CPU == 0 {
		u.CPU = defaultCPU
	}
	if u.Memory == 0 {
		u.Memory = defaultMemory
	}
	if u.Runtime == 0 {
		u.Runtime = defaultTime
	}
	return u
}

// latestStart is the time at which a task must start in order to finish by its deadline.
func (t *Table) latestStart(r *record) int64 { return r.deadline - int64(t.need(r).Runtime) }
