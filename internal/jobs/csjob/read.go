package csjob

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Changes increases with every change of the table.
func (t *Table) Changes() uint64 { return t.changes }

// Config returns the configuration in force, or nil where there is none.
func (t *Table) Config() *Config { return t.state.Config }

// Route returns the queue of a request by the configuration in force, or nil.
func (t *Table) Route(host, path string) *Queue { return t.routing.find(host, path) }

// Queue returns a queue of the configuration in force, or nil.
func (t *Table) Queue(k QueueKey) *Queue {
	for _, q := range t.routing[k.Host] {
		if q.Key == k {
			return q
		}
	}
	return nil
}

// queueOf returns the newest settings of the queue of a job, which may be out of force.
func (t *Table) queueOf(j *Job) *Queue {
	if j.queue == nil {
		return &Queue{}
	}
	return j.queue
}

// QueueOf returns the newest settings of the queue of a job. The queue may have left the configuration since.
func (t *Table) QueueOf(j *Job) Queue { return *t.queueOf(j) }

// SettingsOf is QueueOf without a copy. The caller must not change them.
func (t *Table) SettingsOf(j *Job) *Queue { return t.queueOf(j) }

// Job returns a job, or nil.
func (t *Table) Job(id ID) *Job { return t.state.Jobs[id] }

// Active returns the jobs that are not final or have open runs, in order of acceptance. The caller must not change it.
func (t *Table) Active() []*Job { return t.active }

// Lasting returns those of Active that have tasks that last. The caller must not change it.
func (t *Table) Lasting() []*Job { return t.lasting }

// Accepted returns all jobs, also ended ones, in order of acceptance.
func (t *Table) Accepted() []*Job {
	out := make([]*Job, 0, len(t.state.Jobs))
	for _, j := range t.state.Jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	return out
}

// Pending returns the number of jobs of a queue that have not started.
func (t *Table) Pending(k QueueKey) int {
	n := 0
	for _, j := range t.active {
		if j.Submission.Queue == k && j.State == Queued {
			n++
		}
	}
	return n
}

// LastOrder returns who ordered a VM last and when, and false where nobody has.
func (t *Table) LastOrder(id csmodel.VMID) (Ordering, bool) {
	o, ok := t.state.Ordered[id]
	return o, ok
}

// Target returns a target, and false where it is not known.
func (t *Table) Target(id TargetID) (Target, bool) {
	o, ok := t.state.Targets[id]
	return o, ok
}

// AnyTarget tells whether f is true for any target.
func (t *Table) AnyTarget(f func(TargetID) bool) bool {
	for id := range t.state.Targets {
		if f(id) {
			return true
		}
	}
	return false
}

// Targets returns all targets in ascending order of their names.
func (t *Table) Targets() []Target {
	out := make([]Target, 0, len(t.state.Targets))
	for _, id := range csmodel.SortedKeys(t.state.Targets) {
		out = append(out, t.state.Targets[id])
	}
	return out
}

// TasksOn returns the tasks with open runs on a life of a target, in order of their names.
func (t *Table) TasksOn(l Life) []TaskKey {
	out := make([]TaskKey, 0, len(t.runs[l]))
	for k := range t.runs[l] {
		out = append(out, k)
	}
	slices.SortFunc(out, compareTasks)
	return out
}

// EachTaskOn calls f for the tasks with open runs on a life of a target, in no order.
func (t *Table) EachTaskOn(l Life, f func(TaskKey)) {
	for k := range t.runs[l] {
		f(k)
	}
}

// Busy tells whether a life of a target has open runs.
func (t *Table) Busy(l Life) bool { return len(t.runs[l]) > 0 }

// BusyLives returns the lives with open runs.
func (t *Table) BusyLives() []Life {
	out := make([]Life, 0, len(t.runs))
	for l := range t.runs {
		out = append(out, l)
	}
	return out
}

func compareTasks(a, b TaskKey) int {
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

// Wave returns a wave, or nil.
func (t *Table) Wave(id csmodel.WaveID) *WaveState { return t.state.Waves[id] }

// Waves returns the waves in ascending order of their names.
func (t *Table) Waves() []*WaveState {
	out := make([]*WaveState, 0, len(t.state.Waves))
	for _, id := range csmodel.SortedKeys(t.state.Waves) {
		out = append(out, t.state.Waves[id])
	}
	return out
}

// VMOrders returns the orders to the platform that are in progress.
func (t *Table) VMOrders() map[csmodel.VMID]VMOrder { return t.state.VMs }
