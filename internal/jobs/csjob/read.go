package csjob

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Changes returns the number of the latest change. It increases with every applied command and every restored snapshot.
func (t *Table) Changes() uint64 { return t.changes }

// Config returns the current configuration, or nil if there is none.
func (t *Table) Config() *Config { return t.state.Config }

// Route returns the queue of a request in the current configuration, or nil.
func (t *Table) Route(host, path string) *Queue { return t.routing.find(host, path) }

// Queue returns a queue of the current configuration, or nil.
func (t *Table) Queue(k QueueKey) *Queue {
	for _, q := range t.routing[k.Host] {
		if q.Key == k {
			return q
		}
	}
	return nil
}

// HasPool reports whether the current configuration has a pool.
func (t *Table) HasPool(id csmodel.PoolID) bool {
	c := t.state.Config
	return c != nil && slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.ID == id })
}

// queueOf returns the latest settings of the queue of a job, which the current configuration may no longer contain.
func (t *Table) queueOf(j *Job) *Queue {
	if j.queue == nil {
		return &Queue{}
	}
	return j.queue
}

// QueueOf returns the latest settings of the queue of a job. The current configuration may no longer contain the queue.
func (t *Table) QueueOf(j *Job) Queue { return *t.queueOf(j) }

// QueueSettings is like QueueOf but makes no copy. The caller must not modify the settings.
func (t *Table) QueueSettings(j *Job) *Queue { return t.queueOf(j) }

// Job returns a job, or nil if it is unknown or past its retention.
func (t *Table) Job(id ID) *Job { return t.state.Jobs[id] }

// Active returns the jobs that have not ended or have open runs, in order of acceptance. The caller must not modify the slice.
func (t *Table) Active() []*Job { return t.active }

// LongRunning returns the active jobs with long-running tasks, in order of acceptance. The caller must not modify the slice.
func (t *Table) LongRunning() []*Job { return t.longRunning }

// Accepted returns all jobs within their retention, including ended ones, in order of acceptance.
func (t *Table) Accepted() []*Job {
	out := make([]*Job, 0, len(t.state.Jobs))
	for _, j := range t.state.Jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.AcceptIndex, b.AcceptIndex) })
	return out
}

// Pending returns the number of jobs of a queue of which no target has confirmed the start of a task.
func (t *Table) Pending(k QueueKey) int {
	n := 0
	for _, j := range t.active {
		if j.Submission.Queue == k && j.State == Queued {
			n++
		}
	}
	return n
}

// LastOrder returns who sent the last order for a VM and when, and false if there has been none.
func (t *Table) LastOrder(id csmodel.VMID) (LastVMOrder, bool) {
	o, ok := t.state.LastOrders[id]
	return o, ok
}

// Target returns the record of a target, and false if it is unknown.
func (t *Table) Target(id TargetID) (Target, bool) {
	o, ok := t.state.Targets[id]
	return o, ok
}

// AnyTarget reports whether f returns true for any target.
func (t *Table) AnyTarget(f func(TargetID) bool) bool {
	for id := range t.state.Targets {
		if f(id) {
			return true
		}
	}
	return false
}

// Targets returns all targets in ascending order of their identifiers.
func (t *Table) Targets() []Target {
	out := make([]Target, 0, len(t.state.Targets))
	for _, id := range csmodel.SortedKeys(t.state.Targets) {
		out = append(out, t.state.Targets[id])
	}
	return out
}

// TasksOn returns the tasks with open runs on an incarnation of a target, in ascending order of their keys.
func (t *Table) TasksOn(l Incarnation) []TaskKey {
	out := make([]TaskKey, 0, len(t.openRuns[l]))
	for k := range t.openRuns[l] {
		out = append(out, k)
	}
	slices.SortFunc(out, compareTaskKeys)
	return out
}

// EachTaskOn calls f for each task with open runs on an incarnation of a target, in no particular order.
func (t *Table) EachTaskOn(l Incarnation, f func(TaskKey)) {
	for k := range t.openRuns[l] {
		f(k)
	}
}

// Busy reports whether an incarnation of a target has open runs.
func (t *Table) Busy(l Incarnation) bool { return len(t.openRuns[l]) > 0 }

// BusyIncarnations returns the incarnations with open runs, in no particular order.
func (t *Table) BusyIncarnations() []Incarnation {
	out := make([]Incarnation, 0, len(t.openRuns))
	for l := range t.openRuns {
		out = append(out, l)
	}
	return out
}

func compareTaskKeys(a, b TaskKey) int {
	switch {
	case a.Job != b.Job && a.Job < b.Job:
		return -1
	case a.Job != b.Job:
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	default:
		return a.Index - b.Index
	}
}

// Wave returns a wave, or nil if it is unknown.
func (t *Table) Wave(id csmodel.WaveID) *WaveState { return t.state.Waves[id] }

// Waves returns all waves in ascending order of their identifiers.
func (t *Table) Waves() []*WaveState {
	out := make([]*WaveState, 0, len(t.state.Waves))
	for _, id := range csmodel.SortedKeys(t.state.Waves) {
		out = append(out, t.state.Waves[id])
	}
	return out
}

// VMOrders returns the orders to the platform that are in progress. The caller must not modify the map.
func (t *Table) VMOrders() map[csmodel.VMID]VMOrder { return t.state.VMOrders }
