// Package cstask stores the deferred tasks of a region and schedules them. It consists of a replicated table of tasks and a
// scheduler that reads the table on the leader.
//
// Both are deterministic: they take the current time as an argument and depend on no clock, random source or map order.
package cstask

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Limits of commands and of attempts of a task.
const (
	MaxBlobBytes    = 64 << 10 // bytes of a payload, checkpoint or result
	MaxNameBytes    = 128      // bytes of an id or a name
	MaxMessageBytes = 256      // bytes of a failure message that are kept
	MaxBatch        = 16384    // tasks in a CancelBatch
	MaxFailedVMs    = 3        // different VMs that lose or fail a task before it is set aside
	// MaxRuntime bounds declared and reported run times, so that multiples of them do not overflow.
	MaxRuntime = 38 * 24 * time.Hour
	// MaxFailures is the number of lost or failed attempts, on any VMs, after which a task is set aside. It takes effect
	// in a pool with fewer than MaxFailedVMs VMs.
	MaxFailures = 8
)

// Default values of Limits.
const (
	DefaultTasks     = 100_000
	DefaultBytes     = 64 << 20 // 64 MiB
	DefaultEnded     = 65_536
	DefaultRetention = 25 * time.Hour
	DefaultHorizon   = 30 * 24 * time.Hour
)

// Limits bound the table. All replicas of a group must start with the same limits. A snapshot contains them.
type Limits struct {
	// Tasks is the largest number of unfinished tasks.
	Tasks int `cbor:"1,keyasint"`
	// Bytes bounds the payloads and checkpoints of unfinished tasks and, separately, the results of ended ones.
	Bytes int `cbor:"2,keyasint"`
	// Ended is the largest number of ended records. When it is exceeded, the oldest records, by the later of deadline and
	// end, are removed before their retention ends, and submissions with deadlines up to theirs are refused as DeadlineTooOld.
	Ended int `cbor:"3,keyasint"`
	// Retention is how long an ended record is kept after its deadline or its end, whichever is later.
	Retention time.Duration `cbor:"4,keyasint"`
	// Horizon is how far in the future a deadline may be.
	Horizon time.Duration `cbor:"5,keyasint"`
}

func (l Limits) defaults() Limits {
	l.Tasks = cmp.Or(l.Tasks, DefaultTasks)
	l.Bytes = cmp.Or(l.Bytes, DefaultBytes)
	l.Ended = cmp.Or(l.Ended, DefaultEnded)
	l.Retention = cmp.Or(l.Retention, DefaultRetention)
	l.Horizon = cmp.Or(l.Horizon, DefaultHorizon)
	return l
}

// Table is the replicated table of tasks. Create one with New.
type Table struct {
	limits           Limits
	revision         csmodel.Revision
	now              int64  // latest time given to Apply or ReleaseVM, in Unix nanoseconds
	sequence         uint64 // counts entries into the queue and updates of estimators
	tasks            map[csmodel.TaskID]*record
	leasesByVM       map[csmodel.VMID]*vmLeases
	teams            map[csmodel.TeamID]*team
	jobs             map[csmodel.JobID]*job
	queue            queue
	history          history
	outcomes         outcomeLog
	leasedCount      int
	setAsideCount    int
	bytes            int    // of the payloads and checkpoints of unfinished tasks
	estimatorCount   int    // jobs with an estimator
	lastLeaseVersion uint64 // last leaseVersion that was assigned
	generation       uint64 // increases with each restore, so that a scheduler discards what it derived from the table
}

// vmLeases lists the tasks that are leased to a VM.
type vmLeases struct {
	records      []*record
	leaseVersion uint64 // unique across all changes of all vmLeases
}

// New returns an empty table. Zero fields of the limits get their default values.
func New(l Limits) *Table {
	t := &Table{}
	t.reset(l.defaults())
	return t
}

func (t *Table) reset(l Limits) {
	*t = Table{
		limits:     l,
		tasks:      make(map[csmodel.TaskID]*record),
		leasesByVM: make(map[csmodel.VMID]*vmLeases),
		teams:      make(map[csmodel.TeamID]*team),
		jobs:       make(map[csmodel.JobID]*job),
		history:    newHistory(),
		generation: t.generation + 1,
	}
}

// Apply executes a command at the time of its log entry.
func (t *Table) Apply(c Command, at time.Time) Result {
	t.advanceClock(at)
	return c.apply(t, fromNanos(t.now))
}

// advanceClock advances the time of the table. It never goes back, so that a task whose record was removed stays too old to
// be admitted.
func (t *Table) advanceClock(at time.Time) { t.now = max(t.now, nanos(at)) }

// Get returns a copy of the record of a task, or false if there is none. Its slices must not be modified.
func (t *Table) Get(id csmodel.TaskID) (Task, bool) {
	if r, ok := t.tasks[id]; ok {
		return r.view(), true
	}
	if e, ok := t.history.records[id]; ok {
		return e.view(), true
	}
	return Task{}, false
}

// Leased returns the tasks that are leased to a VM, sorted by id.
func (t *Table) Leased(vm csmodel.VMID) []Task {
	leases, ok := t.leasesByVM[vm]
	if !ok {
		return nil
	}
	tasks := make([]Task, 0, len(leases.records))
	for _, r := range leases.records {
		tasks = append(tasks, r.view())
	}
	slices.SortFunc(tasks, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}

// LeaseCount returns the number of tasks that are leased to a VM.
func (t *Table) LeaseCount(vm csmodel.VMID) int {
	if leases, ok := t.leasesByVM[vm]; ok {
		return len(leases.records)
	}
	return 0
}

// maxCheckpointAge is the age up to which a checkpoint makes an interruption cheap.
const maxCheckpointAge = 10 * time.Minute

// Interruptible reports whether the tasks of a VM can be interrupted now: each has a recent checkpoint, or enough time to
// start over before its deadline, or a deadline that has already passed.
func (t *Table) Interruptible(vm csmodel.VMID, now time.Time) bool {
	leases, ok := t.leasesByVM[vm]
	if !ok {
		return true
	}
	n := nanos(now)
	return !slices.ContainsFunc(leases.records, func(r *record) bool {
		fresh := r.run.checkpointAt > 0 && n-r.run.checkpointAt <= int64(maxCheckpointAge)
		return !fresh && t.latestStart(r) < n && r.deadline >= n
	})
}

// Counts holds the number of tasks by state, and the total size of stored payloads, checkpoints and results in bytes.
type Counts struct{ Waiting, Leased, SetAside, Ended, Bytes int }

// Counts returns the number of tasks by state and the stored bytes.
func (t *Table) Counts() Counts {
	return Counts{
		Waiting:  t.queue.length,
		Leased:   t.leasedCount,
		SetAside: t.setAsideCount,
		Ended:    len(t.history.records),
		Bytes:    t.bytes + t.history.bytes,
	}
}

// endedOrNotFound returns the result of a command for a task that has no unfinished record: Refused if it has ended, otherwise
// NotFound.
func (t *Table) endedOrNotFound(id csmodel.TaskID) Result {
	if e, ok := t.history.records[id]; ok {
		return Result{Status: Refused, State: e.state, Fence: e.fence}
	}
	return Result{Status: NotFound}
}

func (r *record) result(s Status) Result { return Result{Status: s, State: r.state, Fence: r.fence} }

func (c Configure) apply(t *Table, _ time.Time) Result {
	if c.Revision <= t.revision {
		return Result{Status: Stale}
	}
	t.revision = c.Revision
	for _, tm := range t.teams {
		tm.limit = 0
	}
	for _, l := range c.Teams {
		t.team(l.Team).limit = l.Tasks
	}
	for id, tm := range t.teams {
		t.dropUnusedTeam(id, tm)
	}
	return Result{Status: OK}
}

func (t *Table) team(id csmodel.TeamID) *team {
	tm, ok := t.teams[id]
	if !ok {
		tm = &team{id: id}
		t.teams[id] = tm
	}
	return tm
}

func (t *Table) dropUnusedTeam(id csmodel.TeamID, tm *team) {
	if tm.unfinished == 0 && tm.limit == 0 {
		delete(t.teams, id)
	}
}

func (t *Table) job(id csmodel.JobID) *job {
	j, ok := t.jobs[id]
	if !ok {
		j = &job{id: id}
		t.jobs[id] = j
	}
	return j
}

func (t *Table) dropUnusedJob(j *job) {
	if j.unfinished == 0 && j.estimator == nil {
		delete(t.jobs, j.id)
	}
}
