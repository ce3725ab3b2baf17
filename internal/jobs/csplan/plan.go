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
	// Delays returns the expected time that a step takes beside the runs of its tasks.
	Delays() Delays
}

// Delays is the time that a job takes beside the runs of its tasks. It counts in the time until the job is done, but not in its objective,
// which allows for run times only.
type Delays struct {
	Start time.Duration // from the placement of a task until it runs
	End   time.Duration // from the end of a run until what waits for it can be placed
	Reply time.Duration // from the end of the last step until the client account can see the result
}

// DefaultDelays are the delays before any are measured: half the interval between polls of a target, a commit and the reply to a poll of the
// client.
var DefaultDelays = Delays{Reply: 120 * time.Millisecond}

// step returns the delays of one step.
func (d Delays) step() time.Duration { return d.Start + d.End }

// Predictor is an Estimator that also knows the spread of run times.
type Predictor interface {
	Estimator
	// Predict returns what is known about the run time of one task of a step of a queue.
	Predict(csjob.QueueKey, *csjob.Step) *Prediction
}

// RemainingCriticalPath returns the length of the remaining critical path of an occurrence: the predicted time until it is done if no task had
// to wait for resources. It includes the delays of the steps.
func RemainingCriticalPath(e Estimator, j *csjob.Job, occurrence int) time.Duration {
	o := j.Occurrence(occurrence)
	if o == nil {
		return 0
	}
	_, remaining := criticalPaths(e, j, o.Remaining)
	return remaining
}

// CriticalPath returns the length of the critical path of a whole occurrence: the sum of the predicted run times along it.
func CriticalPath(e Estimator, j *csjob.Job) time.Duration {
	total, _ := criticalPaths(e, j, nil)
	return total
}

// maxStackSteps is the number of steps up to which criticalPaths needs no heap allocation.
const maxStackSteps = 8

// criticalPaths returns the predicted lengths of the critical path through all steps, without delays, and through the steps with remaining
// tasks, with delays. remainingTasks holds the number of remaining tasks by step; nil stands for none.
func criticalPaths(e Estimator, j *csjob.Job, remainingTasks []int) (total, remaining time.Duration) {
	type lengths struct{ total, remaining time.Duration }
	var stack [maxStackSteps]lengths
	byStep := stack[:]
	if len(j.Submission.Steps) > maxStackSteps {
		byStep = make([]lengths, len(j.Submission.Steps))
	}
	delays := e.Delays().step()
	for i := range j.Submission.Steps {
		s := &j.Submission.Steps[i]
		path := &byStep[i]
		for _, dependency := range s.After {
			path.total, path.remaining = max(path.total, byStep[dependency].total), max(path.remaining, byStep[dependency].remaining)
		}
		d := e.Duration(j.Submission.Queue, *s)
		path.total += d
		if remainingTasks != nil && remainingTasks[i] > 0 {
			path.remaining += d + delays
		}
		total, remaining = max(total, path.total), max(remaining, path.remaining)
	}
	return total, remaining
}

// urgency is the sort key of the work of a pool.
type urgency struct {
	class       urgencyClass
	surplus     bool // the job exceeds what its account is owed
	priority    int
	latestStart time.Time     // latest start of the remaining steps that meets the objective
	acceptance  csmodel.Index // position in the order of acceptance
	begun       bool          // a task of the occurrence has been started
	remaining   time.Duration // length of the remaining critical path
}

type urgencyClass uint8

// Classes of work, the most urgent one first.
const (
	longRunning urgencyClass = iota // earns credit for every second that it runs
	feasible                        // can still meet its objective
	late                            // is not expected to meet its objective
	expired                         // will have no value left, but must still be run to its end
)

// rank returns the position of the class of work. All classes of surplus follow those of other work, apart from work without value.
func (u *urgency) rank() urgencyClass {
	if u.surplus || u.class == expired {
		return u.class + expired
	}
	return u.class
}

// compareUrgency orders by rank, late jobs by compareLate, then by latest start, priority and acceptance.
func compareUrgency(a, b *urgency) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	if c := compareLate(a, b); c != 0 {
		return c
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

// urgencyOf returns the urgency of the steps of an occurrence that are not long-running.
func urgencyOf(now time.Time, e Estimator, q *csjob.Queue, j *csjob.Job, number int, o *csjob.Occurrence) urgency {
	u := longRunningUrgency(q, j)
	total, remaining := criticalPaths(e, j, o.Remaining)
	deadline, expiry := deadlines(q, j, number, total)
	u.latestStart = deadline.Add(-remaining - e.Delays().Reply)
	u.begun, u.remaining = started(o), remaining
	minSlack := minStartSlack
	if u.begun {
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

// longRunningUrgency returns the urgency of the long-running steps of a job.
func longRunningUrgency(q *csjob.Queue, j *csjob.Job) urgency {
	return urgency{priority: q.Priority, acceptance: j.AcceptIndex, surplus: j.Surplus}
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
	placed  int // tasks placed in this round
	// withheld is the number of waiting tasks without headroom in the quota of the account.
	withheld int
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

// Withheld returns how many of the waiting tasks have no headroom in the quota of their account. They are no demand for capacity.
func (w *Work) Withheld() int { return w.withheld }

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
	var shared urgency // of all steps but long-running ones; it takes a pass over all steps
	known := false
	for s := range j.Submission.Steps {
		if !j.Ready(o, s) || !anyIdle(o.Tasks[s]) {
			continue
		}
		step := &j.Submission.Steps[s]
		u := longRunningUrgency(q, j)
		if !step.LongRunning {
			if !known {
				shared, known = urgencyOf(now, e, q, j, number, o), true
			}
			u = shared
		}
		out = append(out, Work{Job: j, Key: StepKey{j.Submission.ID, number, s}, Step: step, tasks: o.Tasks[s], urgency: u})
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

// Sort sorts work by urgency, the most urgent first. The sort is stable. It sorts positions, because a Work takes long to move.
func Sort(w []Work) {
	order := make([]int, len(w))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(compareUrgency(&w[a].urgency, &w[b].urgency), cmp.Compare(a, b))
	})
	reorder(w, order)
}

// reorder moves the element at order[i] to i, for all i. It changes order.
func reorder(w []Work, order []int) {
	for start := range order {
		if order[start] == start {
			continue
		}
		first := w[start]
		i := start
		for order[i] != start {
			next := order[i]
			w[i], order[i] = w[next], i
			i = next
		}
		w[i], order[i] = first, i
	}
}
