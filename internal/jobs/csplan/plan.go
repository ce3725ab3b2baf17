// Package csplan ranks the waiting tasks of a pool by urgency and assigns them to targets. Its functions use neither the clock
// nor the network; the caller passes the time and all state.
package csplan

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// resultDelay is the time from the end of a run until the client account can see its result: half the interval between
	// polls of a target, a commit and the reply to a poll of the client.
	resultDelay = 120 * time.Millisecond
	// minStartSlack is the slack that a job which has not started needs to be feasible. In an overload the most urgent job is the
	// one that is almost late, and without a minimum every job would start too late to meet its objective. It covers the error
	// of the predicted run times and the wait of a second step. With 200 ms, half of the jobs that started in the busy phase
	// after a loss of all stores ended slightly late.
	minStartSlack = 400 * time.Millisecond
	// startedTolerance is how long after its latest start a started job still counts as feasible. It covers the error of the
	// predicted run times: giving up the job would waste the work already done.
	startedTolerance = 200 * time.Millisecond
)

// expiryFactor is the multiple of its objective after which a job has no value left, according to the platform's rules on credit.
const expiryFactor = 3

// Slot is a target with its free resources, as a candidate for placement.
type Slot struct {
	Incarnation csjob.Incarnation
	Zone        csmodel.AvailabilityZone
	Free        csjob.Resources
	// Drained is what is free once all batch runs have ended. Long-running tasks don't end.
	Drained csjob.Resources
	Rack    string
	Labels  []string
	// Starting is the number of tasks placed there whose starts the target has not confirmed.
	Starting int
	// Preferred is false if the target should get a task only when no other target can take it.
	Preferred bool
	// EvictingSoon is set if the target will be removed soon.
	EvictingSoon bool
	reserved     bool // kept free for a more urgent task that doesn't fit yet
	// Spread counts the open runs of each step that limits its tasks per target.
	Spread map[StepKey]int
}

// StepKey identifies a step of an occurrence of a job.
type StepKey struct {
	Job        csjob.ID
	Occurrence int
	Step       int
}

// Estimator predicts how long a task of a step runs.
type Estimator interface {
	// Duration returns the predicted run time of one task of a step of a queue.
	Duration(csjob.QueueKey, csjob.Step) time.Duration
}

// RemainingCriticalPath returns the length of the remaining critical path of an occurrence: the predicted time until it is done if no task had
// to wait for resources.
func RemainingCriticalPath(e Estimator, j *csjob.Job, occurrence int) time.Duration {
	o := j.Occurrence(occurrence)
	if o == nil {
		return 0
	}
	_, remaining := criticalPaths(e, j, o.Remaining)
	return remaining
}

// CriticalPath returns the length of the critical path of a whole occurrence: the predicted time from its start to its end if no task
// had to wait for resources.
func CriticalPath(e Estimator, j *csjob.Job) time.Duration {
	total, _ := criticalPaths(e, j, nil)
	return total
}

// maxStackSteps is the number of steps up to which criticalPaths needs no heap allocation.
const maxStackSteps = 8

// criticalPaths returns the predicted lengths of the critical path through all steps, and through the steps with remaining tasks.
// remainingTasks holds the number of remaining tasks by step; nil stands for none.
func criticalPaths(e Estimator, j *csjob.Job, remainingTasks []int) (total, remaining time.Duration) {
	type lengths struct{ total, remaining time.Duration }
	var stack [maxStackSteps]lengths
	byStep := stack[:]
	if len(j.Submission.Steps) > maxStackSteps {
		byStep = make([]lengths, len(j.Submission.Steps))
	}
	for i := range j.Submission.Steps {
		s := &j.Submission.Steps[i]
		path := &byStep[i]
		for _, dependency := range s.After {
			path.total, path.remaining = max(path.total, byStep[dependency].total), max(path.remaining, byStep[dependency].remaining)
		}
		d := e.Duration(j.Submission.Queue, *s)
		path.total += d
		if remainingTasks != nil && remainingTasks[i] > 0 {
			path.remaining += d
		}
		total, remaining = max(total, path.total), max(remaining, path.remaining)
	}
	return total, remaining
}

// urgency is the sort key of the work of a pool.
type urgency struct {
	class       urgencyClass
	priority    int
	latestStart time.Time     // latest start of the remaining steps that meets the objective
	acceptance  csmodel.Index // position in the order of acceptance
}

type urgencyClass uint8

// Classes of work, the most urgent one first.
const (
	longRunning urgencyClass = iota // earns credit for every second that it runs
	feasible                        // can still meet its objective
	late                            // is not expected to meet its objective
	expired                         // will have no value left, but must still be run to its end
)

// compareUrgency orders by class, latest start, priority and acceptance.
func compareUrgency(a, b *urgency) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.acceptance, b.acceptance))
}

// Objective returns when an occurrence has to be done to meet its objective, and when it has no value left.
func Objective(e Estimator, q csjob.Queue, j *csjob.Job, occurrence int) (deadline, expiry time.Time) {
	return deadlines(&q, j, occurrence, CriticalPath(e, j))
}

// deadlines is Objective for a known critical path of the whole occurrence.
func deadlines(q *csjob.Queue, j *csjob.Job, occurrence int, total time.Duration) (deadline, expiry time.Time) {
	start := j.RequestedAt()
	if j.Submission.Repeats > 0 {
		if due := j.Submission.Due(occurrence); due.After(start) {
			start = due
		}
	}
	d := q.Objective + time.Duration(max(1, q.Stretch)*float64(total))
	return start.Add(d), start.Add(expiryFactor * d)
}

// urgencyOf returns the urgency of a step of an occurrence.
func urgencyOf(now time.Time, e Estimator, q *csjob.Queue, j *csjob.Job, number int, o *csjob.Occurrence, step *csjob.Step) urgency {
	u := urgency{priority: q.Priority, acceptance: j.AcceptIndex}
	if step.LongRunning {
		return u
	}
	total, remaining := criticalPaths(e, j, o.Remaining)
	deadline, expiry := deadlines(q, j, number, total)
	u.latestStart = deadline.Add(-remaining - resultDelay)
	minSlack := minStartSlack
	if started(o) {
		minSlack = -startedTolerance
	}
	switch {
	case !u.latestStart.Before(now.Add(minSlack)):
		u.class = feasible
	case expiry.Add(-remaining).After(now):
		u.class = late
	default:
		u.class = expired
	}
	return u
}

// started reports whether any task of an occurrence has been started.
func started(o *csjob.Occurrence) bool {
	for s, tasks := range o.Tasks {
		if o.Remaining[s] < len(tasks) {
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

// Work is a step of an occurrence that may run now and has waiting tasks.
type Work struct {
	Job     *csjob.Job
	Key     StepKey
	Step    *csjob.Step
	tasks   []csjob.Task
	urgency urgency
}

// Idle returns the indexes of the tasks without a run that are not done.
func (w *Work) Idle() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := range w.tasks {
			if w.tasks[i].Idle() && !yield(i) {
				return
			}
		}
	}
}

// task returns the key of a task of the step.
func (w *Work) task(index int) csjob.TaskKey {
	return csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: index}
}

// Late reports whether the work is not expected to meet its objective.
func (w *Work) Late() bool { return w.urgency.class >= late }

// Waiting returns the steps of all jobs that may run now and have a task without a run, in the order of the jobs. Jobs that
// have ended are skipped.
func Waiting(now time.Time, e Estimator, q csjob.Queue, jobs []*csjob.Job) []Work {
	var out []Work
	for _, j := range jobs {
		if !j.State.Final() {
			out = AppendWaiting(out, now, e, &q, j)
		}
	}
	return out
}

const (
	// maxOffered is the maximum number of occurrences of a job that a round offers for their first start. They are alike, so
	// that a later one doesn't fit where these don't.
	maxOffered = 256
	// maxBegunTasks bounds the tasks of the occurrences of a job that have begun and are not done, and so their memory. Later
	// occurrences wait. One occurrence may always begin.
	maxBegunTasks = 20_000
)

// AppendWaiting appends the steps of a job that may run now and have a task without a run. The job must not have ended. Of the
// occurrences that have not begun, it appends the first ones only.
func AppendWaiting(out []Work, now time.Time, e Estimator, q *csjob.Queue, j *csjob.Job) []Work {
	for _, o := range j.Begun {
		out = appendReady(out, now, e, q, j, o.Number, o)
	}
	if j.Submission.Occurrences() == 1 && len(j.Begun) == 1 {
		return out
	}
	offered := min(maxOffered, max(1, maxBegunTasks/j.Submission.Tasks())-len(j.Begun))
	if offered <= 0 {
		return out
	}
	for number := range j.NotBegun() {
		if j.Submission.Repeats > 0 && j.Submission.Due(number).After(now) {
			break // occurrences are in order of their due times
		}
		out = appendReady(out, now, e, q, j, number, j.Occurrence(number))
		if offered--; offered == 0 {
			break
		}
	}
	return out
}

// appendReady appends the steps of an occurrence that are ready and have a task without a run.
func appendReady(out []Work, now time.Time, e Estimator, q *csjob.Queue, j *csjob.Job, number int, o *csjob.Occurrence) []Work {
	for s := range j.Submission.Steps {
		if !j.Ready(o, s) || !anyIdle(o.Tasks[s]) {
			continue
		}
		step := &j.Submission.Steps[s]
		out = append(out, Work{
			Job: j, Key: StepKey{j.Submission.ID, number, s}, Step: step, tasks: o.Tasks[s], urgency: urgencyOf(now, e, q, j, number, o, step),
		})
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

// Sort sorts work by urgency, the most urgent first. The sort is stable.
func Sort(w []Work) {
	slices.SortStableFunc(w, func(a, b Work) int { return compareUrgency(&a.urgency, &b.urgency) })
}

// Placement assigns a task to a slot.
type Placement struct {
	Task csjob.TaskKey
	Slot *Slot
}

// MaxStarting is the number of unconfirmed starts from which a target gets no more tasks. Starts are sent a few at a time, and a task
// that waits for its turn on one target could run on another. Gangs are exempt, because all their tasks must be placed together.
const MaxStarting = 64

// maxFailedSteps is how many more steps may fail to fit after the first one before Place stops, so that a long backlog costs
// little time. Steps that fit no slot even when its batch runs have ended don't count: they may stay forever.
const maxFailedSteps = 40

// Place assigns waiting tasks to slots and subtracts their resources from the slots. starting reports whether a task is already
// being started.
//
// It reserves a slot for each long-running step that doesn't fit, and for the most urgent other step that doesn't fit if that
// one is feasible. Otherwise smaller tasks would take the resources as they become free. A slot is reserved only for a task that
// fits once the batch runs there have ended.
func Place(work []Work, slots []*Slot, starting func(csjob.TaskKey) bool) []Placement {
	for _, s := range slots {
		s.reserved = false
	}
	var out []Placement
	failed := 0
	mayReserve := true
	pool := capacityOf(slots)
	for i := range work {
		if !pool.holds(work[i].Step) {
			continue // nothing that ends makes room for it, so it must not count as failed
		}
		placed, complete := placeStep(&work[i], slots, starting)
		out = append(out, placed...)
		if complete {
			continue
		}
		failed++
		if class := work[i].urgency.class; class == longRunning || (class == feasible && mayReserve) {
			reserved := reserveSlot(&work[i], slots)
			mayReserve = mayReserve && (class == longRunning || !reserved)
		}
		if failed > maxFailedSteps {
			break
		}
	}
	return out
}

// capacity is an upper bound of what any slot of a pool can hold once its batch runs have ended.
type capacity struct {
	slots   []*Slot
	largest csjob.Resources // by component
	labels  map[string]bool // whether a slot has the label; filled as needed
}

func capacityOf(slots []*Slot) *capacity {
	c := &capacity{slots: slots}
	for _, s := range slots {
		c.largest.CPU = max(c.largest.CPU, s.Drained.CPU)
		c.largest.Memory = max(c.largest.Memory, s.Drained.Memory)
		c.largest.GPUs = max(c.largest.GPUs, s.Drained.GPUs)
	}
	return c
}

// holds reports false for a step that fits no slot of the pool. Its cost doesn't depend on the number of slots.
func (c *capacity) holds(step *csjob.Step) bool {
	if !c.largest.Fits(step.Needs()) {
		return false
	}
	if step.Label == "" {
		return true
	}
	known, found := c.labels[step.Label]
	if !found {
		known = slices.ContainsFunc(c.slots, func(s *Slot) bool { return slices.Contains(s.Labels, step.Label) })
		if c.labels == nil {
			c.labels = map[string]bool{}
		}
		c.labels[step.Label] = known
	}
	return known
}

// placeStep places the waiting tasks of a step, those of a gang all or none. complete is false if a task did not fit.
func placeStep(w *Work, slots []*Slot, starting func(csjob.TaskKey) bool) (out []Placement, complete bool) {
	if w.Step.Gang && !w.allIdle(starting) {
		return nil, true // its open runs must end first, because the members share an attempt number
	}
	need := w.Step.Needs()
	rack := ""
	for i := range w.Idle() {
		key := w.task(i)
		if starting(key) {
			continue
		}
		s := bestSlot(w, slots, need, rack)
		if s == nil {
			if w.Step.Gang {
				releaseAll(out, w)
				return nil, false
			}
			return out, false
		}
		if w.Step.RackLocal {
			rack = s.Rack
		}
		s.Allocate(w.Step, w.Key)
		out = append(out, Placement{Task: key, Slot: s})
	}
	return out, true
}

// allIdle reports whether no task of the step is done, running or being started.
func (w *Work) allIdle(starting func(csjob.TaskKey) bool) bool {
	for i := range w.tasks {
		if !w.tasks[i].Idle() || starting(w.task(i)) {
			return false
		}
	}
	return true
}

// reserveSlot reserves the slot with the smallest shortfall for a task of the step, among the eligible slots that can hold the
// task once their batch runs have ended. It reports false if there is none. The choice doesn't change while the slot drains.
func reserveSlot(w *Work, slots []*Slot) bool {
	need := w.Step.Needs()
	var best *Slot
	for _, s := range slots {
		if !eligible(w, s) || !s.Drained.Fits(need) {
			continue
		}
		if best == nil || shortfall(s, need) < shortfall(best, need) {
			best = s
		}
	}
	if best != nil {
		best.reserved = true
	}
	return best != nil
}

// shortfall returns the CPU or memory that a slot lacks as a fraction of the need, whichever is larger.
func shortfall(s *Slot, need csjob.Resources) float64 {
	cpu := float64(need.CPU-s.Free.CPU) / float64(max(need.CPU, 1))
	memory := float64(need.Memory-s.Free.Memory) / float64(max(need.Memory, 1))
	return max(cpu, memory)
}

// eligible reports whether a slot may take a task of the step, regardless of its free resources.
func eligible(w *Work, s *Slot) bool {
	switch {
	case s.reserved:
		return false
	case s.Starting >= MaxStarting && !w.Step.Gang:
		return false
	case w.Step.Label != "" && !slices.Contains(s.Labels, w.Step.Label):
		return false
	case w.Step.MaxPerTarget > 0 && s.Spread[w.Key] >= w.Step.MaxPerTarget:
		return false
	default:
		return true
	}
}

// Allocate subtracts the resources of a run of a step from the slot.
func (s *Slot) Allocate(step *csjob.Step, k StepKey) {
	s.Free = s.Free.Sub(step.Needs())
	s.Starting++
	if step.LongRunning {
		s.Drained = s.Drained.Sub(step.Needs())
	}
	if step.MaxPerTarget == 0 {
		return
	}
	if s.Spread == nil {
		s.Spread = map[StepKey]int{}
	}
	s.Spread[k]++
}

// releaseAll returns the resources of the placed members of an incomplete gang to their slots.
func releaseAll(placed []Placement, w *Work) {
	for _, p := range placed {
		p.Slot.Free = p.Slot.Free.Add(w.Step.Needs())
		p.Slot.Starting--
		if w.Step.LongRunning {
			p.Slot.Drained = p.Slot.Drained.Add(w.Step.Needs())
		}
		if w.Step.MaxPerTarget > 0 {
			p.Slot.Spread[w.Key]--
		}
	}
}

// bestSlot returns the best slot for one more task of a step, or nil if none fits. It prefers, in this order, cool slots, slots
// in the rack of the data or of the other tasks, for long-running tasks slots that are not removed soon, and slots with the least
// free CPU. The last keeps resources free for large tasks. rack is the rack of the tasks already placed, or empty.
func bestSlot(w *Work, slots []*Slot, need csjob.Resources, rack string) *Slot {
	wantedRack := cmp.Or(rack, w.Step.DataRack)
	var best *Slot
	var bestInRack, bestCool bool
	for _, s := range slots {
		if !s.Free.Fits(need) || !eligible(w, s) {
			continue
		}
		inRack := wantedRack == "" || s.Rack == wantedRack
		better := best == nil
		switch {
		case better:
		case s.Preferred != bestCool:
			better = s.Preferred
		case inRack != bestInRack:
			better = inRack
		case w.Step.LongRunning && s.EvictingSoon != best.EvictingSoon:
			better = best.EvictingSoon
		default:
			better = s.Free.CPU < best.Free.CPU
		}
		if better {
			best, bestInRack, bestCool = s, inRack, s.Preferred
		}
	}
	return best
}
