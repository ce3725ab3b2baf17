// Package cstask holds the deferred tasks of a region and decides where they run: a replicated table of tasks and a
// scheduler that reads it on the leader.
//
// Both are deterministic: they get the current time as an argument and read no clock, random source or map order.
package cstask

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Sizes that bound a command.
const (
	MaxBlob    = 64 << 10 // bytes of a payload, checkpoint or result
	MaxName    = 128      // bytes of an id or name
	MaxMessage = 256      // bytes of a failure message that are kept
	MaxBatch   = 16384    // tasks in a CancelBatch
	MaxWorkers = 3        // different VMs that may lose or fail a task before it is set aside
	// MaxRuntime bounds declared and reported run times, so that multiples of them do not overflow.
	MaxRuntime = 38 * 24 * time.Hour
	// MaxFailures sets a task aside in a pool that has fewer than MaxWorkers VMs.
	MaxFailures = 8
)

// Default limits.
const (
	DefaultTasks     = 100_000
	DefaultBytes     = 64 << 20
	DefaultEnded     = 65_536
	DefaultRetention = 25 * time.Hour
	DefaultHorizon   = 30 * 24 * time.Hour
)

// Limits bound the table. All replicas of a group must start with the same limits; a snapshot carries them.
type Limits struct {
	// Tasks is the largest number of unfinished tasks.
	Tasks int `cbor:"1,keyasint"`
	// Bytes bounds the payloads and checkpoints of unfinished tasks, and separately the results of ended ones.
	Bytes int `cbor:"2,keyasint"`
	// Ended is the largest number of ended records. When it is exceeded, the records with the oldest deadlines are
	// forgotten early, and submissions with deadlines up to theirs are refused as TooOld.
	Ended int `cbor:"3,keyasint"`
	// Retention is how long an ended record is kept after its deadline or its end, whichever is later.
	Retention time.Duration `cbor:"4,keyasint"`
	// Horizon is how far ahead a deadline may lie.
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
	limits   Limits
	revision csmodel.Revision
	now      int64
	sequence uint64
	tasks    map[csmodel.TaskID]*record
	holders  map[csmodel.VMID]*holder
	teams    map[csmodel.TeamID]*team
	jobs     map[csmodel.JobID]*job
	queue    queue
	history  history
	feed     feed
	leased   int
	aside    int
	bytes    int
	learned  int
	versions uint64 // last version of a holder
	epoch    uint64 // counts restores, so that a scheduler drops what it derived from the table
}

// holder lists the tasks that are leased to a VM.
type holder struct {
	records []*record
	version uint64 // unique for each change of any holder
}

// New returns an empty table. Zero fields of the limits get defaults.
func New(l Limits) *Table {
	t := &Table{}
	t.reset(l.defaults())
	return t
}

func (t *Table) reset(l Limits) {
	*t = Table{
		limits:  l,
		tasks:   make(map[csmodel.TaskID]*record),
		holders: make(map[csmodel.VMID]*holder),
		teams:   make(map[csmodel.TeamID]*team),
		jobs:    make(map[csmodel.JobID]*job),
		history: newHistory(),
		epoch:   t.epoch + 1,
	}
}

// Apply executes a command at the time of its log entry.
func (t *Table) Apply(c Command, at time.Time) Result {
	t.advance(at)
	return c.apply(t, fromNanos(t.now))
}

// advance keeps the time of the table from going back, so that a forgotten task stays too old to be admitted.
func (t *Table) advance(at time.Time) { t.now = max(t.now, nanos(at)) }

// Get returns a copy of the record of a task. Its slices must not be changed.
func (t *Table) Get(id csmodel.TaskID) (Task, bool) {
	if r, ok := t.tasks[id]; ok {
		return r.view(), true
	}
	if e, ok := t.history.records[id]; ok {
		return e.view(), true
	}
	return Task{}, false
}

// Leased returns the tasks that are leased to a VM, ordered by id.
func (t *Table) Leased(vm csmodel.VMID) []Task {
	h, ok := t.holders[vm]
	if !ok {
		return nil
	}
	tasks := make([]Task, 0, len(h.records))
	for _, r := range h.records {
		tasks = append(tasks, r.view())
	}
	slices.SortFunc(tasks, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}

// Held returns the number of tasks that are leased to a VM.
func (t *Table) Held(vm csmodel.VMID) int {
	if h, ok := t.holders[vm]; ok {
		return len(h.records)
	}
	return 0
}

// checkpointAge is how old a checkpoint may be for an interruption to be cheap.
const checkpointAge = 10 * time.Minute

// Interruptible tells whether the tasks of a VM can be interrupted now: each has a recent checkpoint, or enough time to
// start over before its deadline, or a deadline that has already passed.
func (t *Table) Interruptible(vm csmodel.VMID, now time.Time) bool {
	h, ok := t.holders[vm]
	if !ok {
		return true
	}
	n := nanos(now)
	return !slices.ContainsFunc(h.records, func(r *record) bool {
		fresh := r.run.checkpointAt > 0 && n-r.run.checkpointAt <= int64(checkpointAge)
		return !fresh && t.latestStart(r) < n && r.deadline >= n
	})
}

// Counts is the number of tasks by state, and the stored payload, checkpoint and result bytes.
type Counts struct{ Waiting, Leased, SetAside, Ended, Bytes int }

// Counts returns the number of tasks in each state.
func (t *Table) Counts() Counts {
	return Counts{
		Waiting:  t.queue.length,
		Leased:   t.leased,
		SetAside: t.aside,
		Ended:    len(t.history.records),
		Bytes:    t.bytes + t.history.bytes,
	}
}

// missing returns the result for a task that has no unfinished record.
func (t *Table) missing(id csmodel.TaskID) Result {
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
		t.dropTeam(id, tm)
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

func (t *Table) dropTeam(id csmodel.TeamID, tm *team) {
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

func (t *Table) dropJob(j *job) {
	if j.unfinished == 0 && j.sizes == nil {
		delete(t.jobs, j.id)
	}
}
