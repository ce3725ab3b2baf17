package csjob

import "cowslipstream.example/cowslipstream/csmodel"

// maxChanges bounds the change log: a few seconds at 2,400 starts and ends per second. A reader that is further behind must
// read the whole table.
const maxChanges = 8192

// change is an entry of the change log: a changed run, a changed target record or an ended job.
type change struct {
	number uint64 // value of Table.changes when it was recorded
	run    RunKey // without a task where the record of the target has changed
	ended  *Job
}

// RunKey identifies the runs of a task on one incarnation of a target.
type RunKey struct {
	Incarnation Incarnation
	Task        TaskKey
}

// changeLog holds the most recent changes, so that a reader can process only what has changed since its last read.
type changeLog struct {
	changes     []change
	droppedUpTo uint64 // number of the last dropped change; every later one is in changes
}

// add appends a change. It skips a repetition of the last entry, and drops the older half of a full log.
func (l *changeLog) add(c change) {
	if n := len(l.changes); n > 0 && c.ended == nil && l.changes[n-1] == c {
		return
	}
	if len(l.changes) >= maxChanges {
		l.droppedUpTo = l.changes[maxChanges/2-1].number
		n := copy(l.changes, l.changes[maxChanges/2:])
		clear(l.changes[n:])
		l.changes = l.changes[:n]
	}
	l.changes = append(l.changes, c)
}

// ChangeSet lists the differences between two states of the table.
type ChangeSet struct {
	Targets csmodel.Set[TargetID] // whose record changed
	Runs    csmodel.Set[RunKey]   // that started or ended, or whose job or task ended
	Ended   []*Job                // in the order of their ends
}

// ChangedSince returns the changes after change number n, a value that Changes returned earlier. It returns false if some of
// them have been dropped from the change log; the caller then has to read the whole table.
func (t *Table) ChangedSince(n uint64) (ChangeSet, bool) {
	if n < t.log.droppedUpTo {
		return ChangeSet{}, false
	}
	first := len(t.log.changes)
	for first > 0 && t.log.changes[first-1].number > n {
		first--
	}
	c := ChangeSet{Targets: csmodel.NewSet[TargetID](), Runs: csmodel.NewSet[RunKey]()}
	for i := range t.log.changes[first:] {
		entry := &t.log.changes[first+i]
		switch {
		case entry.ended != nil:
			c.Ended = append(c.Ended, entry.ended)
		case entry.run.Task.Job == "":
			c.Targets.Add(entry.run.Incarnation.Target)
		default:
			c.Runs.Add(entry.run)
		}
	}
	return c, true
}

// recordTargetChange logs a change of the record of a target.
func (t *Table) recordTargetChange(id TargetID) {
	t.log.add(change{number: t.changes, run: RunKey{Incarnation: Incarnation{Target: id}}})
}

// recordRunChange logs a change of the run of a task on an incarnation of a target.
func (t *Table) recordRunChange(l Incarnation, k TaskKey) {
	t.log.add(change{number: t.changes, run: RunKey{Incarnation: l, Task: k}})
}

// recordTaskChange logs a change of all open runs of a task.
func (t *Table) recordTaskChange(key TaskKey, task *Task) {
	for i := range task.Runs {
		t.recordRunChange(task.Runs[i].Incarnation, key)
	}
}

// recordGangChange logs a change of all open runs of the gang that a task belongs to, if any.
func (t *Table) recordGangChange(j *Job, key TaskKey) {
	if !j.Submission.Steps[key.Step].Gang {
		return
	}
	o := j.begun(key.Occurrence)
	for i := range o.Tasks[key.Step] {
		member := key
		member.Index = i
		t.recordTaskChange(member, &o.Tasks[key.Step][i])
	}
}

// recordJobChange logs a change of all open runs of a job.
func (t *Table) recordJobChange(j *Job) {
	if j.OpenRuns > 0 {
		j.eachRun(func(k TaskKey, r Run) { t.recordRunChange(r.Incarnation, k) })
	}
}
