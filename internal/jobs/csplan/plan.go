// Package csplan decides which tasks run on which targets. It has no state, clock or network of its own.
package csplan

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// noticeTime is the time from the end of a run until the client account can see it: half the spacing of looks, a commit
	// and the answer to a poll.
	noticeTime = 120 * time.Millisecond
	// beginReserve is the time that a job must have to spare to be begun as timely. In an overload the most urgent job is
	// the one that is almost late, and without the reserve every job would begin too late to be done on time. It covers
	// the error of the predicted run times and the wait of a second step; with 200 ms half of the jobs that were begun in the
	// busy phase after a loss of all stores ended a little late.
	beginReserve = 400 * time.Millisecond
	// finishTolerance is how long a job that was begun is still treated as timely after its latest start. It is the error of
	// the predicted run times: dropping the job would waste what was done for it.
	finishTolerance = 200 * time.Millisecond
)

// lateFactor is the multiple of its objective after which a job has no value left, from the platform's rules on credit.
const lateFactor = 3

// Slot is a target that can take tasks.
type Slot struct {
	Life   csjob.Life
	Zone   csmodel.AvailabilityZone
	Free   csjob.Room
	Rack   string
	Labels []string
	// Cool is false where the target should take a task only if no other one can.
	Cool bool
	// Due tells that the target will be taken away soon.
	Due      bool
	reserved bool // kept free for a more urgent task that does not fit yet
	// Spread counts the open runs of each step whose tasks have to be spread, by occurrence.
	Spread map[StepKey]int
}

// StepKey names a step of an occurrence of a job.
type StepKey struct {
	Job        csjob.ID
	Occurrence int
	Step       int
}

// Estimator predicts how long a task of a step runs.
type Estimator interface {
	Duration(csjob.QueueKey, csjob.Step) time.Duration
}

// Chain returns the predicted time from now until an occurrence of a job is done, if each step ran at once.
func Chain(e Estimator, j *csjob.Job, occurrence int) time.Duration {
	_, left := chains(e, j, j.Left[occurrence])
	return left
}

// Whole returns the predicted time of the whole occurrence from its start.
func Whole(e Estimator, j *csjob.Job) time.Duration {
	whole, _ := chains(e, j, nil)
	return whole
}

// usualSteps is the number of steps up to which the longest chain is found without an allocation.
const usualSteps = 8

// chains returns the predicted time of the longest chain of steps, and of the longest one of steps with tasks left.
func chains(e Estimator, j *csjob.Job, tasks []int) (whole, left time.Duration) {
	type end struct{ whole, left time.Duration }
	var usual [usualSteps]end
	ends := usual[:]
	if len(j.Submission.Steps) > usualSteps {
		ends = make([]end, len(j.Submission.Steps))
	}
	for i := range j.Submission.Steps {
		s := &j.Submission.Steps[i]
		o := &ends[i]
		for _, a := range s.After {
			o.whole, o.left = max(o.whole, ends[a].whole), max(o.left, ends[a].left)
		}
		d := e.Duration(j.Submission.Queue, *s)
		o.whole += d
		if tasks != nil && tasks[i] > 0 {
			o.left += d
		}
		whole, left = max(whole, o.whole), max(left, o.left)
	}
	return whole, left
}

// urgency orders the work of a pool.
type urgency struct {
	class    urgencyClass
	priority int
	latest   time.Time // latest start that meets the objective
	order    csmodel.Index
}

type urgencyClass uint8

// Classes of work, the most urgent one first.
const (
	lasting  urgencyClass = iota // earns with every second
	timely                       // can still meet its objective
	late                         // has missed its objective
	hopeless                     // has no value left, but is owed an end
)

func compareUrgency(a, b *urgency) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if c := a.latest.Compare(b.latest); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
}

// Objective returns when an occurrence has to be done to be on time, and when it loses the rest of its value.
func Objective(e Estimator, q csjob.Queue, j *csjob.Job, occurrence int) (onTime, worthless time.Time) {
	return objective(&q, j, occurrence, Whole(e, j))
}

func objective(q *csjob.Queue, j *csjob.Job, occurrence int, whole time.Duration) (onTime, worthless time.Time) {
	start := j.Asked()
	if j.Submission.Repeats > 0 {
		if due := j.Submission.Due(occurrence); due.After(start) {
			start = due
		}
	}
	d := q.Objective + time.Duration(max(1, q.Stretch)*float64(whole))
	return start.Add(d), start.Add(lateFactor * d)
}

// rank tells how urgent an occurrence is.
func rank(now time.Time, e Estimator, q *csjob.Queue, j *csjob.Job, occurrence int, step *csjob.Step) urgency {
	u := urgency{priority: q.Priority, order: j.Order}
	if step.Lasting {
		return u
	}
	whole, chain := chains(e, j, j.Left[occurrence])
	onTime, worthless := objective(q, j, occurrence, whole)
	u.latest = onTime.Add(-chain - noticeTime)
	reserve := beginReserve
	if begun(j, occurrence) {
		reserve = -finishTolerance
	}
	switch {
	case !u.latest.Before(now.Add(reserve)):
		u.class = timely
	case worthless.Add(-chain).After(now):
		u.class = late
	default:
		u.class = hopeless
	}
	return u
}

// begun tells whether any task of an occurrence has been started.
func begun(j *csjob.Job, occurrence int) bool {
	for s, tasks := range j.Tasks[occurrence] {
		if j.Left[occurrence][s] < len(tasks) {
			return true
		}
		for i := range tasks {
			if tasks[i].Attempts > 0 {
				return true
			}
		}
	}
	return false
}

// Work is a step of an occurrence with tasks that wait.
type Work struct {
	Job     *csjob.Job
	Key     StepKey
	Step    *csjob.Step
	urgency urgency
}

// Late tells whether the work has missed its objective.
func (w *Work) Late() bool { return w.urgency.class >= late }

// Waiting returns the steps that may run now, in the order of the jobs.
func Waiting(now time.Time, e Estimator, q csjob.Queue, jobs []*csjob.Job) []Work {
	var out []Work
	for _, j := range jobs {
		if !j.State.Final() {
			out = AppendWaiting(out, now, e, &q, j)
		}
	}
	return out
}

// AppendWaiting appends the steps of a job that may run now and have a task without a run. The job must not be final.
func AppendWaiting(out []Work, now time.Time, e Estimator, q *csjob.Queue, j *csjob.Job) []Work {
	for o := range j.Left {
		if j.Submission.Repeats > 0 && j.Submission.Due(o).After(now) {
			break // later occurrences are due later
		}
		for s := range j.Submission.Steps {
			if !j.Ready(o, s) || !anyIdle(j.Tasks[o][s]) {
				continue
			}
			step := &j.Submission.Steps[s]
			out = append(out, Work{Job: j, Key: StepKey{j.Submission.ID, o, s}, Step: step, urgency: rank(now, e, q, j, o, step)})
		}
	}
	return out
}

func anyIdle(tasks []csjob.Task) bool {
	for i := range tasks {
		if tasks[i].Idle() {
			return true
		}
	}
	return false
}

// Sort puts the most urgent work first.
func Sort(w []Work) {
	slices.SortStableFunc(w, func(a, b Work) int { return compareUrgency(&a.urgency, &b.urgency) })
}

// Placement is a task and the slot that takes it.
type Placement struct {
	Task csjob.TaskKey
	Slot *Slot
}

// maxFailedSteps bounds the steps that are tried after the first one that does not fit, so that a long backlog costs
// little.
const maxFailedSteps = 40

// Place assigns waiting tasks to slots and takes their room. taken tells of tasks that are on their way already.
//
// Tasks that last and the most urgent other step that does not fit get a slot reserved: otherwise smaller tasks would take
// each piece of room as it becomes free.
func Place(work []Work, slots []*Slot, taken func(csjob.TaskKey) bool) []Placement {
	for _, s := range slots {
		s.reserved = false
	}
	var out []Placement
	failed := 0
	first := true
	for i := range work {
		placed, all := placeStep(&work[i], slots, taken)
		out = append(out, placed...)
		if all {
			continue
		}
		failed++
		if class := work[i].urgency.class; class == lasting || (class == timely && first) {
			first = first && class == lasting
			reserve(&work[i], slots)
		}
		if failed > maxFailedSteps {
			break
		}
	}
	return out
}

func placeStep(w *Work, slots []*Slot, taken func(csjob.TaskKey) bool) (out []Placement, all bool) {
	if w.Step.Gang && !w.allIdle(taken) {
		return nil, true // its other runs end first, because the members share an attempt
	}
	need := w.Step.Needs()
	rack := ""
	for i := range w.Step.Tasks {
		key := csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: i}
		if !w.Job.Task(key).Idle() || taken(key) {
			continue
		}
		s := choose(w, slots, need, rack)
		if s == nil {
			if w.Step.Gang {
				undo(out, w)
				return nil, false
			}
			return out, false
		}
		if w.Step.OneRack {
			rack = s.Rack
		}
		s.Take(w.Step, w.Key)
		out = append(out, Placement{Task: key, Slot: s})
	}
	return out, true
}

// allIdle tells whether no task of the step runs or is on its way.
func (w *Work) allIdle(taken func(csjob.TaskKey) bool) bool {
	for i := range w.Step.Tasks {
		key := csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: i}
		if !w.Job.Task(key).Idle() || taken(key) {
			return false
		}
	}
	return true
}

// reserve keeps the slot free that lacks the least for a task of the step. The choice is stable while the slot empties.
func reserve(w *Work, slots []*Slot) {
	need := w.Step.Needs()
	var best *Slot
	for _, s := range slots {
		if !suits(w, s) {
			continue
		}
		if best == nil || lack(s, need) < lack(best, need) {
			best = s
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// lack is what is missing in a slot, as the larger share of the need.
func lack(s *Slot, need csjob.Room) float64 {
	cpu := float64(need.CPU-s.Free.CPU) / float64(max(need.CPU, 1))
	memory := float64(need.Memory-s.Free.Memory) / float64(max(need.Memory, 1))
	return max(cpu, memory)
}

// suits tells whether a slot may take a task of the step, whatever its room.
func suits(w *Work, s *Slot) bool {
	switch {
	case s.reserved:
		return false
	case w.Step.Label != "" && !slices.Contains(s.Labels, w.Step.Label):
		return false
	case w.Step.Spread > 0 && s.Spread[w.Key] >= w.Step.Spread:
		return false
	default:
		return true
	}
}

// Take takes the room of a run of a step.
func (s *Slot) Take(step *csjob.Step, k StepKey) {
	s.Free = s.Free.Sub(step.Needs())
	if step.Spread == 0 {
		return
	}
	if s.Spread == nil {
		s.Spread = map[StepKey]int{}
	}
	s.Spread[k]++
}

// undo gives back what a gang has taken.
func undo(placed []Placement, w *Work) {
	for _, p := range placed {
		p.Slot.Free = p.Slot.Free.Add(w.Step.Needs())
		if w.Step.Spread > 0 {
			p.Slot.Spread[w.Key]--
		}
	}
}

// choose returns the best slot for one more task of a step, or nil. Near data goes first, then the tightest fit, which
// keeps room for large tasks.
func choose(w *Work, slots []*Slot, need csjob.Room, rack string) *Slot {
	near := cmp.Or(rack, w.Step.DataRack)
	var best *Slot
	var bestNear, bestCool bool
	for _, s := range slots {
		if !s.Free.Fits(need) || !suits(w, s) {
			continue
		}
		isNear := near == "" || s.Rack == near
		better := best == nil
		switch {
		case better:
		case s.Cool != bestCool:
			better = s.Cool
		case isNear != bestNear:
			better = isNear
		case w.Step.Lasting && s.Due != best.Due:
			better = best.Due
		default:
			better = s.Free.CPU < best.Free.CPU
		}
		if better {
			best, bestNear, bestCool = s, isNear, s.Cool
		}
	}
	return best
}
