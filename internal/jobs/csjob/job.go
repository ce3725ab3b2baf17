// Package csjob holds the replicated table of queues, jobs, targets and maintenance waves.
//
// The table is a deterministic state machine: committed commands and their time go in, and the state that every node
// agrees on comes out. It decides nothing about placement; package csplan does.
package csjob

import (
	"fmt"
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

// TargetID names a target. A target that restarts may keep its name.
type TargetID string

// Attempt numbers the runs of a task from 1.
type Attempt int

// Room is what a task needs or a target has.
type Room struct {
	CPU    csmodel.MilliCPU `cbor:"1,keyasint,omitempty"`
	Memory MiB              `cbor:"2,keyasint,omitempty"`
	GPUs   int              `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Room) Add(o Room) Room { return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.GPUs + o.GPUs} }

// Sub returns the difference.
func (r Room) Sub(o Room) Room { return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.GPUs - o.GPUs} }

// Fits tells whether the room holds what is needed.
func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPUs <= r.GPUs
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks       int           `cbor:"1,keyasint"`
	Room        Room          `cbor:"2,keyasint"`
	Estimate    time.Duration `cbor:"3,keyasint,omitempty"` // rough duration of one task
	After       []int         `cbor:"4,keyasint,omitempty"` // steps that must be done first
	Checkpoints bool          `cbor:"5,keyasint,omitempty"`
	Gang        bool          `cbor:"6,keyasint,omitempty"`  // the tasks work only together
	OneRack     bool          `cbor:"7,keyasint,omitempty"`  // slower where the tasks span racks
	Label       string        `cbor:"8,keyasint,omitempty"`  // label that the target must have
	DataRack    string        `cbor:"9,keyasint,omitempty"`  // rack that holds the data
	Spread      int           `cbor:"10,keyasint,omitempty"` // most tasks of the step on one target; zero is no limit
	Copies      bool          `cbor:"11,keyasint,omitempty"` // several runs of a task may overlap
	Lasting     bool          `cbor:"12,keyasint,omitempty"` // the tasks run until the job is cancelled
	Image       string        `cbor:"13,keyasint,omitempty"`
	Tail        time.Duration `cbor:"14,keyasint,omitempty"` // bound of the tail of response times
	Filler      bool          `cbor:"15,keyasint,omitempty"` // uses CPU that other tasks leave
	Absent      int           `cbor:"16,keyasint,omitempty"` // tasks that the system may take away at once
}

// Needs returns what a run reserves on its target.
func (s Step) Needs() Room {
	r := s.Room
	if s.Filler {
		r.CPU = 0
	}
	return r
}

// Submission is a job as a client account hands it in.
type Submission struct {
	ID       ID            `cbor:"1,keyasint"`
	Queue    QueueKey      `cbor:"2,keyasint"`
	Spec     string        `cbor:"3,keyasint,omitempty"`
	Steps    []Step        `cbor:"4,keyasint"`
	First    time.Time     `cbor:"5,keyasint,omitzero"` // due time of the first occurrence
	Interval time.Duration `cbor:"6,keyasint,omitempty"`
	Repeats  int           `cbor:"7,keyasint,omitempty"` // zero is one occurrence that is due at once
	Waited   time.Duration `cbor:"8,keyasint,omitempty"` // since the client account first sent it
}

// Occurrences returns how often the steps run.
func (s Submission) Occurrences() int { return max(1, s.Repeats) }

// Due returns when an occurrence may start.
func (s Submission) Due(k int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(k) * s.Interval)
}

// maxTasks bounds the tasks of one occurrence: the widest job of the design size has 5 steps of 32 tasks.
const maxTasks = 5000

// Validate reports why the submission cannot be run.
func (s Submission) Validate() error {
	if len(s.ID) == 0 {
		return fmt.Errorf("%w: a job needs an identifier", ErrInvalid)
	}
	return s.ValidateSteps()
}

// ValidateSteps reports why the steps cannot be run.
func (s Submission) ValidateSteps() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("%w: a job needs steps", ErrInvalid)
	}
	total := 0
	for i, p := range s.Steps {
		total += p.Tasks
		if p.Tasks < 1 || total > maxTasks || p.Room.CPU < 0 || p.Room.Memory < 0 || p.Room.GPUs < 0 {
			return fmt.Errorf("%w: step %d", ErrInvalid, i)
		}
		for _, a := range p.After {
			if a < 0 || a >= i {
				return fmt.Errorf("%w: step %d follows step %d", ErrInvalid, i, a)
			}
		}
	}
	return nil
}

// TaskKey names a task: occurrence, step and index within a job.
type TaskKey struct {
	_          struct{} `cbor:",toarray"`
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// taskKeyDigits is room for the numbers of most task names.
const taskKeyDigits = 12

// String returns the name that targets know the task by.
func (k TaskKey) String() string {
	b := make([]byte, 0, len(k.Job)+taskKeyDigits)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskKey is the inverse of String.
func ParseTaskKey(text string) (TaskKey, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskKey{}, fmt.Errorf("%w: task name %q", ErrInvalid, text)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskKey{}, fmt.Errorf("%w: task name %q", ErrInvalid, text)
		}
		n[i] = v
	}
	return TaskKey{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Life is one incarnation of a target.
type Life struct {
	_      struct{} `cbor:",toarray"`
	Target TargetID
	Born   int64 // Unix milliseconds of its start
}

// Run is an attempt whose end is not known yet.
type Run struct {
	Attempt Attempt   `cbor:"1,keyasint"`
	Life    Life      `cbor:"2,keyasint"`
	Since   time.Time `cbor:"3,keyasint"`
}

// Task is the state of one task.
type Task struct {
	Done       bool    `cbor:"1,keyasint,omitempty"`
	Attempts   Attempt `cbor:"2,keyasint,omitempty"` // the highest attempt so far
	Failures   int     `cbor:"3,keyasint,omitempty"`
	Runs       []Run   `cbor:"4,keyasint,omitempty"`
	Checkpoint string  `cbor:"5,keyasint,omitempty"`
	// Unheard are the attempts that were given up with their target or counted as never started. How they ended counts if a
	// target still tells it.
	Unheard []Attempt `cbor:"6,keyasint,omitempty"`
}

// Idle tells whether the task waits for a run.
func (t *Task) Idle() bool { return !t.Done && len(t.Runs) == 0 }

// State is the state of a job as its client account sees it.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final tells whether the state does not change any more.
func (s State) Final() bool { return s >= Completed }

// Job is an accepted job.
type Job struct {
	Submission Submission    `cbor:"1,keyasint"`
	Accepted   time.Time     `cbor:"2,keyasint"`
	Ended      time.Time     `cbor:"3,keyasint,omitzero"`
	State      State         `cbor:"4,keyasint,omitempty"`
	Tasks      [][][]Task    `cbor:"5,keyasint"` // by occurrence, step and index
	Left       [][]int       `cbor:"6,keyasint"` // tasks that are not done, by occurrence and step
	Open       int           `cbor:"7,keyasint,omitempty"`
	Order      csmodel.Index `cbor:"8,keyasint"` // index of the log entry, a total order of acceptance

	queue *Queue // its newest settings, shared by the jobs of the queue
}

// Asked returns when the client account first sent the job, which may be before a refusal.
func (j *Job) Asked() time.Time { return j.Accepted.Add(-j.Submission.Waited) }

// lasts tells whether any step lasts.
func (j *Job) lasts() bool {
	return slices.ContainsFunc(j.Submission.Steps, func(s Step) bool { return s.Lasting })
}

// Ready tells whether all steps before a step are done.
func (j *Job) Ready(occurrence, step int) bool {
	for _, a := range j.Submission.Steps[step].After {
		if j.Left[occurrence][a] > 0 {
			return false
		}
	}
	return j.Left[occurrence][step] > 0
}

// Task returns a task of the job, or nil where there is none.
func (j *Job) Task(k TaskKey) *Task {
	if k.Occurrence >= len(j.Tasks) || k.Step >= len(j.Tasks[k.Occurrence]) || k.Index >= len(j.Tasks[k.Occurrence][k.Step]) {
		return nil
	}
	return &j.Tasks[k.Occurrence][k.Step][k.Index]
}

// Whole tells whether every member of the gang that a task belongs to has an open run of an attempt, or is done.
func (j *Job) Whole(k TaskKey, a Attempt) bool {
	for i := range j.Tasks[k.Occurrence][k.Step] {
		m := &j.Tasks[k.Occurrence][k.Step][i]
		if !m.Done && !slices.ContainsFunc(m.Runs, func(r Run) bool { return r.Attempt == a }) {
			return false
		}
	}
	return true
}

func newJob(s Submission, at time.Time, order csmodel.Index) *Job {
	j := &Job{Submission: s, Accepted: at, Order: order}
	for range s.Occurrences() {
		var tasks [][]Task
		var left []int
		for _, p := range s.Steps {
			tasks = append(tasks, make([]Task, p.Tasks))
			left = append(left, p.Tasks)
		}
		j.Tasks = append(j.Tasks, tasks)
		j.Left = append(j.Left, left)
	}
	return j
}
