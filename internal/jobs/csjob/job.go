// Package csjob implements the replicated table of queues, jobs, targets and maintenance waves.
//
// The table is a deterministic state machine: every node that applies the same committed commands with their commit times
// reaches the same state. Placement decisions are made in package csplan.
package csjob

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// ID is the identifier that the client account chose for a job.
type ID string

// MiB is an amount of memory in mebibytes.
type MiB int64

// TargetID identifies a target. A target may keep its identifier across restarts.
type TargetID string

// Attempt numbers the runs of a task, starting at 1.
type Attempt int

// Resources is the amount of resources that a task needs or a target provides.
type Resources struct {
	CPU    csmodel.MilliCPU `cbor:"1,keyasint,omitempty"`
	Memory MiB              `cbor:"2,keyasint,omitempty"`
	GPUs   int              `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPUs + o.GPUs}
}

// Sub returns r minus o. Components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPUs - o.GPUs}
}

// Fits reports whether r covers need in every component.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPUs <= r.GPUs
}

// Count returns how many times r covers need, at most limit.
func (r Resources) Count(need Resources, limit int) int {
	if need.CPU > 0 {
		limit = min(limit, int(r.CPU/need.CPU))
	}
	if need.Memory > 0 {
		limit = min(limit, int(r.Memory/need.Memory))
	}
	if need.GPUs > 0 {
		limit = min(limit, r.GPUs/need.GPUs)
	}
	return max(0, limit)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks          int           `cbor:"1,keyasint"`
	Resources      Resources     `cbor:"2,keyasint"`
	Estimate       time.Duration `cbor:"3,keyasint,omitempty"`  // declared run time of one task; zero is unknown
	After          []int         `cbor:"4,keyasint,omitempty"`  // indexes of the steps that must be done first
	Checkpoints    bool          `cbor:"5,keyasint,omitempty"`  // the tasks write checkpoints
	Gang           bool          `cbor:"6,keyasint,omitempty"`  // all tasks must run at the same time
	RackLocal      bool          `cbor:"7,keyasint,omitempty"`  // the tasks run slower if they span racks
	Label          string        `cbor:"8,keyasint,omitempty"`  // label that a target must have
	DataRack       string        `cbor:"9,keyasint,omitempty"`  // rack that holds the input data
	MaxPerTarget   int           `cbor:"10,keyasint,omitempty"` // maximum number of tasks of the step on one target; zero is no limit
	Speculative    bool          `cbor:"11,keyasint,omitempty"` // speculative execution: several runs of a task may overlap
	LongRunning    bool          `cbor:"12,keyasint,omitempty"` // long-running: the tasks run until the job is cancelled
	Image          string        `cbor:"13,keyasint,omitempty"`
	TailLatency    time.Duration `cbor:"14,keyasint,omitempty"` // objective for the tail latency of responses
	BestEffort     bool          `cbor:"15,keyasint,omitempty"` // best effort: uses CPU that other tasks leave idle
	MaxUnavailable int           `cbor:"16,keyasint,omitempty"` // maximum number of tasks that the system may stop at a time
}

// Needs returns the resources that a run reserves on its target. Best-effort tasks reserve no CPU.
func (s Step) Needs() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Submission is a job as a client account submits it.
type Submission struct {
	ID       ID            `cbor:"1,keyasint"`
	Queue    QueueKey      `cbor:"2,keyasint"`
	Spec     string        `cbor:"3,keyasint,omitempty"`
	Steps    []Step        `cbor:"4,keyasint"`
	First    time.Time     `cbor:"5,keyasint,omitzero"` // due time of the first occurrence
	Interval time.Duration `cbor:"6,keyasint,omitempty"`
	Repeats  int           `cbor:"7,keyasint,omitempty"` // number of occurrences; zero is one occurrence that is due immediately
	Waited   time.Duration `cbor:"8,keyasint,omitempty"` // time between the client account's first request and the acceptance
	// Account is the client account that submitted the job. It is empty for jobs of open queues.
	Account csmodel.AccountID `cbor:"9,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Submission) Occurrences() int { return max(1, s.Repeats) }

// Tasks returns the number of tasks of one occurrence.
func (s Submission) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Tasks
	}
	return n
}

// Due returns the earliest start time of occurrence k, counted from 0. It is the zero time for a job that doesn't repeat.
func (s Submission) Due(k int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(k) * s.Interval)
}

// maxTasks bounds the number of tasks of one occurrence. The largest job that the system is designed for has 5 steps of 32
// tasks.
const maxTasks = 5000

// Validate returns an ErrInvalid that says why the submission can't be run, or nil.
func (s Submission) Validate() error {
	if len(s.ID) == 0 {
		return fmt.Errorf("%w: the job has no identifier", ErrInvalid)
	}
	return s.ValidateSteps()
}

// ValidateSteps returns an ErrInvalid that says why the steps can't be run at their due times, or nil.
func (s Submission) ValidateSteps() error {
	switch {
	case len(s.Steps) == 0:
		return fmt.Errorf("%w: the job has no steps", ErrInvalid)
	case s.Repeats < 0 || s.Interval < 0:
		return fmt.Errorf("%w: the job repeats %d times at intervals of %s, want no negative values", ErrInvalid, s.Repeats, s.Interval)
	case s.Repeats > 0 && s.Interval > math.MaxInt64/time.Duration(s.Repeats):
		return fmt.Errorf("%w: %d repetitions at intervals of %s exceed %s", ErrInvalid, s.Repeats, s.Interval, time.Duration(math.MaxInt64))
	}
	total := 0
	for i, step := range s.Steps {
		total += step.Tasks
		if step.Tasks < 1 || step.Tasks > maxTasks || total > maxTasks || step.Resources.CPU < 0 || step.Resources.Memory < 0 || step.Resources.GPUs < 0 {
			return fmt.Errorf("%w: step %d has an invalid number of tasks or negative resources", ErrInvalid, i)
		}
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier step", ErrInvalid, i, dependency)
			}
		}
	}
	return nil
}

// TaskKey identifies a task by its job, occurrence, step and index within the step, each counted from 0.
type TaskKey struct {
	_          struct{} `cbor:",toarray"`
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// taskKeySuffixBytes is the buffer size for the numbers in a task name, enough for most names.
const taskKeySuffixBytes = 12

// String returns the task name that targets use: JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	b := make([]byte, 0, len(k.Job)+taskKeySuffixBytes)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskKey is the inverse of String. It returns ErrInvalid for any other text.
func ParseTaskKey(text string) (TaskKey, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskKey{}, fmt.Errorf("%w: task name %q is not JOB.OCCURRENCE.STEP.INDEX", ErrInvalid, text)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskKey{}, fmt.Errorf("%w: task name %q is not JOB.OCCURRENCE.STEP.INDEX", ErrInvalid, text)
		}
		n[i] = v
	}
	return TaskKey{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Incarnation identifies one incarnation of a target, from its start to its end.
type Incarnation struct {
	_           struct{} `cbor:",toarray"`
	Target      TargetID
	StartedAtMs int64 // start time in Unix milliseconds
}

// Run is an open run: an attempt whose end is not known yet.
type Run struct {
	Attempt     Attempt     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	StartedAt   time.Time   `cbor:"3,keyasint"`
}

// Task is the state of one task.
type Task struct {
	Done       bool    `cbor:"1,keyasint,omitempty"`
	Attempts   Attempt `cbor:"2,keyasint,omitempty"` // the highest attempt so far
	Failures   int     `cbor:"3,keyasint,omitempty"`
	Runs       []Run   `cbor:"4,keyasint,omitempty"`
	Checkpoint string  `cbor:"5,keyasint,omitempty"` // of a gang, on its first task
	// Unconfirmed lists the attempts that ended without a report of their target: the target was given up, or the attempt was
	// taken to have never started. If a target reports their end later, its outcome still counts.
	Unconfirmed []Attempt `cbor:"6,keyasint,omitempty"`
	// FailedAttempts lists the failed attempts of a gang, on its first task: the members of an attempt may fail one by one.
	FailedAttempts []Attempt `cbor:"7,keyasint,omitempty"`
}

// Idle reports whether the task is not done and has no open run.
func (t *Task) Idle() bool { return !t.Done && len(t.Runs) == 0 }

// State is the state of a job as shown to its client account.
type State uint8

// States of a job.
const (
	Queued State = iota // no target has confirmed the start of a task
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state can't change any more.
func (s State) Final() bool { return s >= Completed }

// Job is an accepted job.
type Job struct {
	Submission  Submission    `cbor:"1,keyasint"`
	Accepted    time.Time     `cbor:"2,keyasint"`
	Ended       time.Time     `cbor:"3,keyasint,omitzero"`
	State       State         `cbor:"4,keyasint,omitempty"`
	OldTasks    [][][]Task    `cbor:"5,keyasint,omitempty"` // of snapshots of earlier versions, by occurrence, step and index
	OldCounts   [][]int       `cbor:"6,keyasint,omitempty"` // of snapshots of earlier versions: remaining tasks, by occurrence and step
	OpenRuns    int           `cbor:"7,keyasint,omitempty"` // number of open runs
	AcceptIndex csmodel.Index `cbor:"8,keyasint"`           // log index of the submission; defines the order of acceptance
	// Begun holds the occurrences of which a task has been started and that are not finished, in ascending order of their
	// numbers. All others take no memory, so that a job with many occurrences is no larger than its progress.
	Begun    []*Occurrence `cbor:"9,keyasint,omitempty"`
	Finished Spans         `cbor:"10,keyasint,omitempty"` // occurrences that are done and have no open runs
	// Surplus is set if the job exceeded what its account is owed when it was accepted.
	Surplus bool `cbor:"11,keyasint,omitempty"`

	footprint Footprint   // estimated memory; see sizes.go
	usage     *ownerUsage // that footprint is part of
	queue     *Queue      // latest settings of its queue, shared by the jobs of the queue
	fresh     *Occurrence // progress of each occurrence that has not begun; nil once the job is released
}

// NewJob returns a job that was accepted at the given time and log index.
func NewJob(s Submission, at time.Time, index csmodel.Index) *Job {
	return &Job{Submission: s, Accepted: at, AcceptIndex: index, fresh: s.freshOccurrence()}
}

// Released reports whether the job has ended and has no open runs. Its tasks are gone then.
func (j *Job) Released() bool { return j.State.Final() && j.OpenRuns == 0 }

// RequestedAt returns when the client account first sent the job. Earlier requests may have been refused.
func (j *Job) RequestedAt() time.Time { return j.Accepted.Add(-j.Submission.Waited) }

// hasLongRunning reports whether any step is long-running.
func (j *Job) hasLongRunning() bool {
	return slices.ContainsFunc(j.Submission.Steps, func(s Step) bool { return s.LongRunning })
}

// Ready reports whether a step has tasks that are not done, and all steps that it depends on are done.
func (j *Job) Ready(o *Occurrence, step int) bool {
	for _, dependency := range j.Submission.Steps[step].After {
		if o.Remaining[dependency] > 0 {
			return false
		}
	}
	return o.Remaining[step] > 0
}

// Task returns a task of the job, or nil if it doesn't exist, its occurrence is done or the job has been released. The caller
// must not modify it.
func (j *Job) Task(k TaskKey) *Task {
	if o := j.Occurrence(k.Occurrence); o != nil {
		return o.task(k.Step, k.Index)
	}
	return nil
}

// Checkpoint returns the checkpoint that a run of task k starts from, or an empty string. The task must exist.
func (j *Job) Checkpoint(k TaskKey) string {
	if j.Submission.Steps[k.Step].Gang {
		k.Index = 0
	}
	return j.Task(k).Checkpoint
}

// GangRunning reports whether every member of the gang that task k belongs to is done or has an open run with attempt number a.
func (j *Job) GangRunning(k TaskKey, a Attempt) bool {
	o := j.Occurrence(k.Occurrence)
	for i := range o.Tasks[k.Step] {
		member := &o.Tasks[k.Step][i]
		if !member.Done && !slices.ContainsFunc(member.Runs, func(r Run) bool { return r.Attempt == a }) {
			return false
		}
	}
	return true
}
