package csjob

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Memory that the parts of a job take, with their share of a snapshot while it is encoded. TestSizeCoversMeasuredMemory measures them on
// jobs of several shapes.
const (
	jobBytes       csmodel.Bytes = 1024 // with its entry in the table
	stepBytes      csmodel.Bytes = 256
	taskBytes      csmodel.Bytes = 192 // of an occurrence that has begun
	runBytes       csmodel.Bytes = 320 // an open run
	cancelledBytes csmodel.Bytes = 512 // a cancellation of an unknown job
)

// Footprint is an estimate of the memory of jobs.
type Footprint struct {
	Size csmodel.Bytes // that they take now
	// Growth is what they take in addition once their tasks have begun.
	Growth csmodel.Bytes
}

// Add returns the sum of f and g.
func (f Footprint) Add(g Footprint) Footprint { return Footprint{f.Size + g.Size, f.Growth + g.Growth} }

// Sub returns f minus g.
func (f Footprint) Sub(g Footprint) Footprint { return Footprint{f.Size - g.Size, f.Growth - g.Growth} }

// Total returns the memory that the jobs may come to take.
func (f Footprint) Total() csmodel.Bytes { return f.Size + f.Growth }

// Owner is whom the memory of a job is attributed to: its client account, or its queue if it belongs to no account. The zero value stands
// for cancellations of unknown jobs.
type Owner struct {
	Account csmodel.AccountID
	Queue   QueueKey
}

// Owner returns whom the memory of the job is attributed to.
func (s *Submission) Owner() Owner {
	if s.Account != "" {
		return Owner{Account: s.Account}
	}
	return Owner{Queue: s.Queue}
}

// Footprint returns what the job takes when it is accepted.
func (s *Submission) Footprint() Footprint {
	j := Job{Submission: *s}
	return j.footprintNow()
}

// LeastFootprint returns what a job with a number of steps takes at least when it is accepted.
func LeastFootprint(steps int) Footprint {
	n := csmodel.Bytes(steps)
	return Footprint{Size: jobBytes + stepBytes*n, Growth: taskBytes * n}
}

// Footprint returns what the record of a cancellation takes if the job is unknown.
func (r JobRef) Footprint() Footprint { return cancelledFootprint(r.name()) }

func cancelledFootprint(name string) Footprint {
	return Footprint{Size: cancelledBytes + bytesOf(name)}
}

// Size returns an estimate of the memory that the jobs take. Other parts of the table don't grow with what client accounts send.
func (t *Table) Size() csmodel.Bytes { return t.footprint.Size }

// Footprint returns an estimate of the memory of all jobs and cancellations of unknown jobs.
func (t *Table) Footprint() Footprint { return t.footprint }

// FootprintOf returns the part of Footprint that is attributed to an owner.
func (t *Table) FootprintOf(o Owner) Footprint {
	if u := t.owners[o]; u != nil {
		return u.footprint
	}
	return Footprint{}
}

// Freed returns the memory that ended jobs have released since the table was created or restored. That of ended runs does not count, because
// the next runs take it.
func (t *Table) Freed() csmodel.Bytes { return t.freed }

// ownerUsage is the memory that is attributed to an owner. The jobs of the owner share it, so that a change of a job needs no lookup.
type ownerUsage struct {
	owner     Owner
	footprint Footprint
	parts     int // jobs and cancellations
}

// attribute adds a job or a cancellation to the memory of an owner.
func (t *Table) attribute(o Owner, f Footprint) *ownerUsage {
	u := t.owners[o]
	if u == nil {
		if t.owners == nil {
			t.owners = map[Owner]*ownerUsage{}
		}
		u = &ownerUsage{owner: o}
		t.owners[o] = u
	}
	u.parts++
	t.change(u, f)
	return u
}

// detach reverses attribute.
func (t *Table) detach(u *ownerUsage, f Footprint) {
	t.change(u, Footprint{}.Sub(f))
	if u.parts--; u.parts == 0 {
		delete(t.owners, u.owner)
	}
}

// change adds to the estimates.
func (t *Table) change(u *ownerUsage, f Footprint) {
	t.footprint, u.footprint = t.footprint.Add(f), u.footprint.Add(f)
	t.freed -= min(0, f.Total())
}

// resize brings the estimates up to date after a change of the parts of a job.
func (t *Table) resize(j *Job) {
	f := j.footprintNow()
	if j.usage == nil {
		j.usage = t.attribute(j.Submission.Owner(), f)
	} else {
		t.change(j.usage, f.Sub(j.footprint))
	}
	j.footprint = f
}

// footprintNow estimates the memory of a job. Its cost does not depend on the number of tasks.
func (j *Job) footprintNow() Footprint {
	s := &j.Submission
	f := Footprint{Size: jobBytes + bytesOf(string(s.ID)) + bytesOf(s.Spec) + bytesOf(s.Queue.Host) + bytesOf(s.Queue.Prefix)}
	for i := range s.Steps {
		step := &s.Steps[i]
		f.Size += stepBytes + bytesOf(step.Label) + bytesOf(step.DataRack) + bytesOf(step.Image) + 8*csmodel.Bytes(len(step.After))
	}
	for _, o := range j.Begun {
		for i := range o.Tasks {
			f.Size += taskBytes * csmodel.Bytes(len(o.Tasks[i]))
		}
	}
	if len(j.Begun) == 0 && !j.State.Final() {
		f.Growth = taskBytes * csmodel.Bytes(s.Tasks())
	}
	f.Size += runBytes*csmodel.Bytes(j.OpenRuns) + 64*csmodel.Bytes(len(j.Finished))
	return f
}

// countRuns adds n to the number of open runs of a job.
func (t *Table) countRuns(j *Job, n int) {
	j.OpenRuns += n
	change := Footprint{Size: runBytes * csmodel.Bytes(n)}
	j.footprint, j.usage.footprint, t.footprint = j.footprint.Add(change), j.usage.footprint.Add(change), t.footprint.Add(change)
}

// bytesOf returns the memory of a text, which is also in a snapshot while it is encoded.
func bytesOf(s string) csmodel.Bytes { return 3 * csmodel.Bytes(len(s)) }

// beginOccurrence is Job.begin with the estimate kept up to date.
func (t *Table) beginOccurrence(j *Job, number int) *Occurrence {
	begun := len(j.Begun)
	o := j.begin(number)
	if len(j.Begun) != begun {
		t.resize(j)
	}
	return o
}

// releaseOccurrence is Job.releaseOccurrence with the estimate kept up to date.
func (t *Table) releaseOccurrence(j *Job, number int) {
	begun := len(j.Begun)
	j.releaseOccurrence(number)
	if len(j.Begun) != begun {
		t.resize(j)
	}
}

// addCancelled keeps the cancellation of an unknown job.
func (t *Table) addCancelled(name string, at time.Time) {
	if _, known := t.state.Cancelled[name]; !known {
		t.attribute(Owner{}, cancelledFootprint(name))
	}
	t.state.Cancelled[name] = at
}

// removeCancelled drops the cancellation of an unknown job.
func (t *Table) removeCancelled(name string) {
	delete(t.state.Cancelled, name)
	t.detach(t.owners[Owner{}], cancelledFootprint(name))
}

// resizeCancelled adds the cancellations of a snapshot to the estimate.
func (t *Table) resizeCancelled() {
	for name := range t.state.Cancelled {
		t.attribute(Owner{}, cancelledFootprint(name))
	}
}
