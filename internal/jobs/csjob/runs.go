package csjob

import (
	"slices"
	"time"
)

// startRun opens a run. A start has no effect if its job or task has ended, its attempt has been used, its incarnation is not
// the current one of a known target, an open run of the task excludes another one, or the limit of its account is reached.
func (t *Table) startRun(s Start, at time.Time) {
	j := t.state.Jobs[s.Task.Job]
	if j == nil || j.State.Final() {
		return
	}
	task := j.Task(s.Task)
	target, known := t.state.Targets[s.Incarnation.Target]
	if task == nil || task.Done || s.Attempt <= task.Attempts || !known || target.Incarnation != s.Incarnation {
		return
	}
	if len(task.Runs) >= j.Submission.Steps[s.Task.Step].maxOpenRuns() {
		return
	}
	if !t.withinLimit(j, s.Task.Step) {
		return
	}
	task = t.beginOccurrence(j, s.Task.Occurrence).task(s.Task.Step, s.Task.Index)
	task.Attempts = s.Attempt
	task.Runs = append(task.Runs, Run{Attempt: s.Attempt, Incarnation: s.Incarnation, StartedAt: at})
	t.countRuns(j, 1)
	t.countUsage(j, s.Task.Step, false)
	t.addOpenRuns(s.Incarnation, s.Task, 1)
}

// begin records that a target has started a task of a job.
func (t *Table) begin(id ID) {
	if j := t.state.Jobs[id]; j != nil && j.State == Queued {
		j.State = Running
	}
}

// addOpenRuns adds n to the number of open runs of a task on an incarnation of a target, and logs the change.
func (t *Table) addOpenRuns(l Incarnation, k TaskKey, n int) {
	t.recordRunChange(l, k)
	counts := t.openRuns[l]
	if counts == nil {
		counts = map[TaskKey]int{}
		t.openRuns[l] = counts
	}
	if counts[k] += n; counts[k] <= 0 {
		delete(counts, k)
	}
	if len(counts) == 0 {
		delete(t.openRuns, l)
	}
}

// endRun records the end of a run. The end of an unknown run has no effect.
func (t *Table) endRun(e End, at time.Time) {
	j := t.state.Jobs[e.Task.Job]
	if j == nil {
		return
	}
	o := j.begun(e.Task.Occurrence)
	if o == nil {
		return // never started, or finished
	}
	task := o.task(e.Task.Step, e.Task.Index)
	if task == nil {
		return
	}
	i := slices.IndexFunc(task.Runs, func(r Run) bool { return r.Attempt == e.Attempt })
	if i < 0 {
		t.confirmEnd(j, o, task, e, at)
		return
	}
	// A restarted target may run a task that was sent to its earlier incarnation, so the incarnation on record is used rather
	// than the reported one.
	incarnation := task.Runs[i].Incarnation
	task.Runs = slices.Delete(task.Runs, i, i+1)
	t.countRuns(j, -1)
	t.countUsage(j, e.Task.Step, true)
	t.addOpenRuns(incarnation, e.Task, -1)
	t.recordGangChange(j, e.Task)
	o.recordCheckpoint(j.Submission.Steps[e.Task.Step], e)
	t.learnRunTime(j, task, e)
	if e.Outcome == OutcomeNotStarted {
		j.addUnconfirmed(e.Task, task, e.Attempt)
	}
	t.applyOutcome(j, o, task, e, at)
	t.releaseOccurrence(j, o.Number)
	t.releaseEnded(j)
}

// confirmEnd applies the late report of an unconfirmed end: the run was given up with its target, or was taken to have never
// started although a delayed start reached the target's next incarnation. The target keeps the report until it is
// acknowledged, and the acknowledgement is final: a task that was reported as done must not start again.
func (t *Table) confirmEnd(j *Job, o *Occurrence, task *Task, e End, at time.Time) {
	i := slices.Index(task.Unconfirmed, e.Attempt)
	if i < 0 {
		return
	}
	task.Unconfirmed = slices.Delete(task.Unconfirmed, i, i+1)
	o.recordCheckpoint(j.Submission.Steps[e.Task.Step], e)
	t.applyOutcome(j, o, task, e, at)
	t.releaseOccurrence(j, o.Number)
	t.releaseEnded(j)
}

// recordCheckpoint keeps the checkpoint of a run that belongs to the latest attempt. That of any member of a gang is valid for the whole gang
// and is kept on its first task, because all members must start from the same one.
func (o *Occurrence) recordCheckpoint(step Step, e End) {
	if e.Checkpoint == "" {
		return
	}
	task := o.task(e.Task.Step, e.Task.Index)
	latest := task.Attempts
	if step.Gang {
		members := o.Tasks[e.Task.Step]
		task = &members[0]
		for i := range members {
			latest = max(latest, members[i].Attempts)
		}
	}
	if e.Attempt == latest {
		task.Checkpoint = e.Checkpoint
	}
}

// applyOutcome updates the task and its job after the end of a run.
func (t *Table) applyOutcome(j *Job, o *Occurrence, task *Task, e End, at time.Time) {
	step := j.Submission.Steps[e.Task.Step]
	if j.State.Final() || step.LongRunning {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		t.completeTask(o, task, e.Task, step)
		if o.done() && j.allDone() {
			t.finishJob(j, Completed, at)
		}
	case OutcomeFailed:
		counted := task
		if step.Gang {
			counted = &o.Tasks[e.Task.Step][0]
		}
		counted.addFailure(step, e.Attempt)
		if q := t.queueOf(j); !task.Done && len(task.Runs) == 0 && counted.Failures >= max(1, q.Attempts) {
			t.finishJob(j, Failed, at)
		}
	case OutcomeStopped, OutcomeLost, OutcomeGangMemberEnded, OutcomeGangTimeout, OutcomeNotStarted:
	}
}

// addFailure counts a failed run. The failures of a gang are counted on its first task, and an attempt is one failure however many of its
// members fail.
func (t *Task) addFailure(step Step, a Attempt) {
	if step.Gang {
		if slices.Contains(t.FailedAttempts, a) {
			return
		}
		t.FailedAttempts = append(t.FailedAttempts, a)
	}
	t.Failures++
}

// completeTask marks a task as done, or all tasks of its step if it is a gang.
func (t *Table) completeTask(o *Occurrence, task *Task, key TaskKey, step Step) {
	remaining := &o.Remaining[key.Step]
	if step.Gang {
		for i := range o.Tasks[key.Step] {
			o.Tasks[key.Step][i].Done = true
			member := key
			member.Index = i
			t.recordTaskChange(member, &o.Tasks[key.Step][i])
		}
		*remaining = 0
		return
	}
	if !task.Done {
		task.Done = true
		t.recordTaskChange(key, task)
		*remaining--
	}
}
