package csjob

import "cowslipstream.example/cowslipstream/csmodel"

// changesKept bounds the changes that the table can list, some seconds of them at 2,400 starts and ends a second. A reader
// that is further behind reads everything.
const changesKept = 8192

// change is a target whose record or open runs have changed, or a job that has ended.
type change struct {
	at     uint64
	target TargetID
	ended  *Job
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
	Targets csmodel.Set[TargetID] // whose record or open runs have changed
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
	c := Changed{Targets: csmodel.NewSet[TargetID]()}
	for _, o := range t.log.list[first:] {
		if o.ended != nil {
			c.Ended = append(c.Ended, o.ended)
			continue
		}
		c.Targets.Add(o.target)
	}
	return c, true
}

// touch notes that the record or the open runs of a target have changed.
func (t *Table) touch(id TargetID) { t.log.add(change{at: t.changes, target: id}) }

// touchRuns notes the targets with open runs of a task.
func (t *Table) touchRuns(k *Task) {
	for i := range k.Runs {
		t.touch(k.Runs[i].Life.Target)
	}
}

// touchJob notes the targets with open runs of a job.
func (t *Table) touchJob(j *Job) {
	if j.Open > 0 {
		j.eachRun(func(_ TaskKey, r Run) { t.touch(r.Life.Target) })
	}
}
