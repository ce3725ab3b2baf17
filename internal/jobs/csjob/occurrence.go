package csjob

import (
	"iter"
	"slices"
	"sort"
)

// Occurrence is the progress of one occurrence of a job.
type Occurrence struct {
	Number    int      `cbor:"1,keyasint,omitempty"` // counted from 0
	Tasks     [][]Task `cbor:"2,keyasint"`           // by step and index
	Remaining []int    `cbor:"3,keyasint"`           // number of tasks that are not done, by step
}

// NewOccurrence returns an occurrence of the submission of which no task has been started.
func (s Submission) NewOccurrence(number int) *Occurrence {
	o := s.freshOccurrence()
	o.Number = number
	for i, tasks := range o.Tasks {
		o.Tasks[i] = slices.Clone(tasks)
	}
	return o
}

// idleTasks are the tasks of all occurrences that have not begun. They are never modified.
var idleTasks [maxTasks]Task

// freshOccurrence returns an occurrence whose tasks are shared and must not be modified.
func (s Submission) freshOccurrence() *Occurrence {
	o := &Occurrence{Tasks: make([][]Task, len(s.Steps)), Remaining: make([]int, len(s.Steps))}
	for i := range s.Steps {
		n := s.Steps[i].Tasks
		o.Tasks[i], o.Remaining[i] = idleTasks[:n:n], n
	}
	return o
}

// done reports whether all tasks are done.
func (o *Occurrence) done() bool {
	return !slices.ContainsFunc(o.Remaining, func(n int) bool { return n > 0 })
}

// busy reports whether a task has an open run.
func (o *Occurrence) busy() bool {
	return slices.ContainsFunc(o.Tasks, func(tasks []Task) bool {
		return slices.ContainsFunc(tasks, func(t Task) bool { return len(t.Runs) > 0 })
	})
}

// task returns a task, or nil if it doesn't exist.
func (o *Occurrence) task(step, index int) *Task {
	if step < 0 || step >= len(o.Tasks) || index < 0 || index >= len(o.Tasks[step]) {
		return nil
	}
	return &o.Tasks[step][index]
}

// begun returns an occurrence of which a task has been started and that is not released, or nil.
func (j *Job) begun(number int) *Occurrence {
	if i, found := j.find(number); found {
		return j.Begun[i]
	}
	return nil
}

// find returns the position of an occurrence in j.Begun, or the position at which it has to be inserted.
func (j *Job) find(number int) (int, bool) {
	i := sort.Search(len(j.Begun), func(i int) bool { return j.Begun[i].Number >= number })
	return i, i < len(j.Begun) && j.Begun[i].Number == number
}

// begin returns an occurrence whose tasks may be modified, or nil if it doesn't exist or has been released. Its tasks take memory
// from now on.
func (j *Job) begin(number int) *Occurrence {
	i, found := j.find(number)
	switch {
	case found:
		return j.Begun[i]
	case j.fresh == nil || number < 0 || number >= j.Submission.Occurrences() || j.Finished.Has(number):
		return nil
	}
	j.Begun = slices.Insert(j.Begun, i, j.Submission.NewOccurrence(number))
	return j.Begun[i]
}

// Occurrence returns the progress of an occurrence, or nil if it doesn't exist, is done or belongs to a released job. The caller
// must not modify it.
func (j *Job) Occurrence(number int) *Occurrence {
	if o := j.begun(number); o != nil {
		return o
	}
	if number < 0 || number >= j.Submission.Occurrences() || j.Finished.Has(number) {
		return nil
	}
	return j.fresh
}

// NotBegun returns the numbers of the occurrences of which no task has been started, in ascending order.
func (j *Job) NotBegun() iter.Seq[int] {
	return func(yield func(int) bool) {
		begun, finished := j.Begun, j.Finished
		for n := 0; n < j.Submission.Occurrences(); n++ {
			switch {
			case len(begun) > 0 && begun[0].Number == n:
				begun = begun[1:]
			case len(finished) > 0 && finished[0].First == n:
				n = finished[0].Last
				finished = finished[1:]
			case !yield(n):
				return
			}
		}
	}
}

// allDone reports whether all tasks of all occurrences are done.
func (j *Job) allDone() bool {
	n := j.Finished.Count()
	for _, o := range j.Begun {
		if o.done() {
			n++
		}
	}
	return n == j.Submission.Occurrences()
}

// releaseOccurrence frees the tasks of an occurrence that is done and has no open runs.
func (j *Job) releaseOccurrence(number int) {
	i, found := j.find(number)
	if !found || !j.Begun[i].done() || j.Begun[i].busy() {
		return
	}
	j.Begun = slices.Delete(j.Begun, i, i+1)
	j.Finished.Add(number)
}

// Span is a range of numbers, both ends included.
type Span struct {
	_           struct{} `cbor:",toarray"`
	First, Last int
}

// Spans is a set of numbers as ascending ranges that neither overlap nor touch. The zero value is empty.
type Spans []Span

// Has reports whether the set contains a number.
func (s Spans) Has(n int) bool {
	i := sort.Search(len(s), func(i int) bool { return s[i].Last >= n })
	return i < len(s) && s[i].First <= n
}

// Count returns how many numbers the set contains.
func (s Spans) Count() int {
	n := 0
	for _, r := range s {
		n += r.Last - r.First + 1
	}
	return n
}

// Add adds a number.
func (s *Spans) Add(n int) {
	if s.Has(n) {
		return
	}
	i := sort.Search(len(*s), func(i int) bool { return (*s)[i].First > n })
	before, after := i > 0 && (*s)[i-1].Last == n-1, i < len(*s) && (*s)[i].First == n+1
	switch {
	case before && after:
		(*s)[i-1].Last = (*s)[i].Last
		*s = slices.Delete(*s, i, i+1)
	case before:
		(*s)[i-1].Last = n
	case after:
		(*s)[i].First = n
	default:
		*s = slices.Insert(*s, i, Span{First: n, Last: n})
	}
}
