package csjob

import "cowslipstream.example/cowslipstream/csmodel"

// changesKept bounds the changes that the table can list, some seconds of them at 2,400 starts and ends a second. A reader
// that is further behind reads everything.
const changesKept = 8192

// change is a run that has changed, a target whose record has changed, or a job that has ended.
type change struct {
	at    uint64
	run   RunOn
	ended *Job
}

// RunOn names the runs of a task on a life of a target. Without a task it is the target's record that has changed.
type RunOn struct {
	Life Life
	Task TaskKey
}

// changeLog lists the latest changes, so that a reader of the table need not look at what is as before.
type changeLog struct {
	list  []change
	since uint64 // every later change is in the list
}

func (l *changeLog) add(c change) {
	if n := len(l.list); n > 0 && c.ended == nil && l.list[n-1] == c {
		return
	}
	if len(l.list) >= changesKept {
		l.since = l.list[changesKept/2-1].at
		n := copy(l.list, l.list[changesKept/2:])
		clear(l.list[n:])
		l.list = l.list[:n]
	}
	l.list = append(l.list, c)
}

// Changed are the differences between two states of the table.
type Changed struct {
	Targets csmodel.Set[TargetID] // whose record has changed
	Runs    csmodel.Set[RunOn]    // that began or ended, or whose job or task has ended
	Ended   []*Job
}

// ChangedSince returns what has changed since the number of a change, and false where the table does not know any more.
func (t *Table) ChangedSince(n uint64) (Changed, bool) {
	if n < t.log.since {
		return Changed{}, false
	}
	first := len(t.log.list)
	for first > 0 && t.log.list[first-1].at > n {
		first--
	}
	c := Changed{Targets: csmodel.NewSet[TargetID](), Runs: csmodel.NewSet[RunOn]()}
	for i := range t.log.list[first:] {
		o := &t.log.list[first+i]
		switch {
		case o.ended != nil:
			c.Ended = append(c.Ended, o.ended)
		case o.run.Task.Job == "":
			c.Targets.Add(o.run.Life.Target)
		default:
			c.Runs.Add(o.run)
		}
	}
	return c, true
}

// touch notes that the record of a target has changed.
func (t *Table) touch(id TargetID) {
	t.log.add(change{at: t.changes, run: RunOn{Life: Life{Target: id}}})
}

// touchRun notes that a run of a task on a life has changed.
func (t *Table) touchRun(l Life, k TaskKey) {
	t.log.add(change{at: t.changes, run: RunOn{Life: l, Task: k}})
}

// touchRuns notes the open runs of a task.
func (t *Table) touchRuns(key TaskKey, k *Task) {
	for i := range k.Runs {
		t.touchRun(k.Runs[i].Life, key)
	}
}

// touchGang notes the open runs of the gang that a task belongs to.
func (t *Table) touchGang(j *Job, key TaskKey) {
	if !j.Submission.Steps[key.Step].Gang {
		return
	}
	for i := range j.Tasks[key.Occurrence][key.Step] {
		member := key
		member.Index = i
		t.touchRuns(member, j.Task(member))
	}
}

// touchJob notes the open runs of a job.
func (t *Table) touchJob(j *Job) {
	if j.Open > 0 {
		j.eachRun(func(k TaskKey, r Run) { t.touchRun(r.Life, k) })
	}
}
