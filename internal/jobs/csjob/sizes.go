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

// Size returns an estimate of the memory that the jobs take. Other parts of the table don't grow with what client accounts send.
func (t *Table) Size() csmodel.Bytes { return t.size }

// resize brings the estimate up to date after a change of the parts of a job.
func (t *Table) resize(j *Job) {
	size := j.estimateSize()
	t.size += size - j.size
	j.size = size
}

// estimateSize estimates the memory of a job. Its cost does not depend on the number of tasks.
func (j *Job) estimateSize() csmodel.Bytes {
	s := &j.Submission
	size := jobBytes + bytesOf(string(s.ID)) + bytesOf(s.Spec) + bytesOf(s.Queue.Host) + bytesOf(s.Queue.Prefix)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += stepBytes + bytesOf(step.Label) + bytesOf(step.DataRack) + bytesOf(step.Image) + 8*csmodel.Bytes(len(step.After))
	}
	for _, o := range j.Begun {
		for i := range o.Tasks {
			size += taskBytes * csmodel.Bytes(len(o.Tasks[i]))
		}
	}
	return size + runBytes*csmodel.Bytes(j.OpenRuns) + 64*csmodel.Bytes(len(j.Finished))
}

// countRuns adds n to the number of open runs of a job.
func (t *Table) countRuns(j *Job, n int) {
	j.OpenRuns += n
	change := runBytes * csmodel.Bytes(n)
	j.size += change
	t.size += change
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
		t.size += cancelledBytes + bytesOf(name)
	}
	t.state.Cancelled[name] = at
}

// removeCancelled drops the cancellation of an unknown job.
func (t *Table) removeCancelled(name string) {
	delete(t.state.Cancelled, name)
	t.size -= cancelledBytes + bytesOf(name)
}

// resizeCancelled adds the cancellations of a snapshot to the estimate.
func (t *Table) resizeCancelled() {
	for name := range t.state.Cancelled {
		t.size += cancelledBytes + bytesOf(name)
	}
}
