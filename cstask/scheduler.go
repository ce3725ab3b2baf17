package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Limits, delays and defaults of the scheduler.
const (
	maxProposals     = 512              // leases and set-asides proposed in one tick
	maxUnplaced      = 8                // tasks of one size class that may fail to fit before the class waits for the next tick
	proposalTimeout  = 5 * time.Second  // after which an uncommitted proposal is repeated
	discoveryTime    = time.Minute      // observation of workers before a task may count as larger than every worker
	expiryInterval   = 2 * time.Second  // between checks for expired leases
	startGracePeriod = 30 * time.Second // from a lease until a report must list the task
	maxReportAge     = 30 * time.Second // age of a report after which leases are not renewed
	minLeaseTime     = time.Minute
	leaseTimePerVM   = 50 * time.Millisecond // keeps the renewals of 3,200 VMs below 0.2 KB/s
	defaultCPU       = csmodel.MilliCPU(100)
	defaultMemory    = 64 * csmodel.MiB
	defaultRuntime   = time.Minute
)

// Scheduler decides where tasks run. It runs on the leader and can be replaced by a new one at any time. Create one
// with NewScheduler.
type Scheduler struct {
	pools              map[csmodel.JobID]csmodel.PoolID
	table              *Table
	generation         uint64
	started            time.Time
	lastSequence       uint64 // of the last waiting task that was read from the queue
	outcomesRead       uint64 // number of outcomes read from the table
	classes            map[sizeClassKey]*sizeClass
	queuedEntries      int // entries in all size classes, including those of tasks that no longer wait
	pending            map[csmodel.TaskID]proposal
	workerReservations map[csmodel.PoolID]workerReservation
	escalations        map[attemptKey]escalation
	latePools          csmodel.Set[csmodel.PoolID] // pools with a task past its latest start that did not fit in the last tick
	health             healthTracker
	lastExpiryCheck    time.Time
	leasedLoads        map[csmodel.VMID]*leasedLoad
	tasksByDomain      map[domainKey]int // counts leased tasks
	tickCount          uint64
	renewedAt          map[csmodel.VMID]time.Time
}

// proposal is a lease or set-aside that was proposed and may not be committed yet.
type proposal struct {
	fence    csmodel.Fence
	vm       csmodel.VMID
	required Usage
	until    time.Time
}

// NewScheduler returns a scheduler without jobs or observations of workers.
func NewScheduler() *Scheduler {
	s := &Scheduler{pools: make(map[csmodel.JobID]csmodel.PoolID)}
	s.reset(nil)
	return s
}

func (s *Scheduler) reset(t *Table) {
	*s = Scheduler{
		pools:              s.pools,
		table:              t,
		started:            s.started,
		classes:            make(map[sizeClassKey]*sizeClass),
		pending:            make(map[csmodel.TaskID]proposal),
		workerReservations: make(map[csmodel.PoolID]workerReservation),
		escalations:        make(map[attemptKey]escalation),
		latePools:          make(csmodel.Set[csmodel.PoolID]),
		renewedAt:          make(map[csmodel.VMID]time.Time),
		leasedLoads:        make(map[csmodel.VMID]*leasedLoad),
		tasksByDomain:      make(map[domainKey]int),
		health:             newHealthTracker(),
	}
	if t != nil {
		s.generation = t.generation
		s.outcomesRead = t.outcomes.total
	}
}

// Configure replaces the mapping from jobs to pools by that of the active configuration.
func (s *Scheduler) Configure(jobs []csconfig.Job) {
	s.pools = make(map[csmodel.JobID]csmodel.PoolID, len(jobs))
	for _, j := range jobs {
		s.pools[j.Name] = j.Pool
	}
}

// HasLateTask reports whether the pool had a task past its latest start that did not fit in the last tick.
func (s *Scheduler) HasLateTask(pool csmodel.PoolID) bool { return s.latePools.Has(pool) }

// Tick returns the actions for the given state of the table and workers. A proposal that was not committed within a few
// seconds is repeated.
func (s *Scheduler) Tick(t *Table, workers []Worker, now time.Time) []Action {
	s.sync(t, now)
	ts := newTickState(s, t, workers, now)
	ts.supervise()
	ts.renewLeases()
	ts.expireLeases()
	ts.placeTasks()
	return ts.actions
}

// sync reads the changes of the table since the last tick.
func (s *Scheduler) sync(t *Table, now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	if s.table != t || s.generation != t.generation {
		s.reset(t)
	}
	t.outcomes.since(s.outcomesRead, func(o outcome) { s.health.observe(o, now) })
	s.outcomesRead = t.outcomes.total
	if s.queuedEntries > 2*t.queue.length+maxProposals {
		s.classes = make(map[sizeClassKey]*sizeClass)
		s.queuedEntries = 0
		s.lastSequence = 0
	}
	var newest uint64
	for r := t.queue.last; r != nil && r.sequence > s.lastSequence; r = r.previous {
		newest = max(newest, r.sequence)
		s.enqueue(r)
	}
	s.lastSequence = max(s.lastSequence, newest)
	s.prune(now)
}

func (s *Scheduler) prune(now time.Time) {
	for id, p := range s.pending {
		r, ok := s.table.tasks[id]
		if !ok || r.state != StateWaiting || r.fence != p.fence || now.After(p.until) {
			delete(s.pending, id)
		}
	}
	for key, e := range s.escalations {
		if now.Sub(e.lastSeen) > 2*escalationTimeout {
			delete(s.escalations, key)
		}
	}
	for vm, at := range s.renewedAt {
		if now.Sub(at) > proposalTimeout {
			delete(s.renewedAt, vm)
		}
	}
	s.health.prune(now)
}

// requirements returns the capacity and run time to reserve for a task: the estimate for its job if there is one, otherwise
// the declared sizes, and never less than an earlier attempt used.
func (t *Table) requirements(r *record) Usage {
	u, ok := Usage{}, false
	if r.job.estimator != nil {
		u, ok = r.job.estimator.estimate()
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
		u.Runtime = defaultRuntime
	}
	return u
}

// latestStart returns the latest time at which a task can start and still finish by its deadline, in Unix nanoseconds.
func (t *Table) latestStart(r *record) int64 { return r.deadline - int64(t.requirements(r).Runtime) }
