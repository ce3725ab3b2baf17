package csjob

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// DefaultRetention is how long the state of an ended job can be read.
const DefaultRetention = 3 * time.Minute

// pruneEvery is the number of log entries between two searches for jobs past their retention.
const pruneEvery = 256

// Table is the replicated state. It implements csraft.Machine. The zero value is empty and works. It is not safe for
// concurrent use.
type Table struct {
	// Retention is the same on all nodes. Zero is DefaultRetention.
	Retention time.Duration

	state   state
	routing routing
	active  []*Job // not final, or with open runs, in order of acceptance
	lasting []*Job // those of active with steps that last
	queues  map[string]*Queue
	runs    map[Life]map[TaskKey]int
	changes uint64
	log     changeLog
}

// state is what a snapshot holds.
type state struct {
	Config  *Config                       `cbor:"1,keyasint,omitempty"`
	Queues  map[string]Queue              `cbor:"2,keyasint"` // every queue that has had jobs, by host and prefix
	Jobs    map[ID]*Job                   `cbor:"3,keyasint"`
	Targets map[TargetID]Target           `cbor:"4,keyasint"`
	Waves   map[csmodel.WaveID]*WaveState `cbor:"5,keyasint"`
	VMs     map[csmodel.VMID]VMOrder      `cbor:"6,keyasint"` // orders in progress
	Moved   map[csmodel.VMID]time.Time    `cbor:"7,keyasint"` // last move of a VM
	Applied uint64                        `cbor:"8,keyasint"`
	Ordered map[csmodel.VMID]Ordering     `cbor:"9,keyasint,omitempty"` // last order for a VM
}

// WaveState is a wave and its progress.
type WaveState struct {
	Wave     Wave                       `cbor:"1,keyasint"`
	Accepted time.Time                  `cbor:"2,keyasint"`
	Begun    map[csmodel.VMID]time.Time `cbor:"3,keyasint"`
	Done     csmodel.Set[csmodel.VMID]  `cbor:"4,keyasint"` // a VM that counts as removed is done and not begun
}

// Removed tells whether a VM counts as done because the platform did not list it any more.
func (w *WaveState) Removed(id csmodel.VMID) bool {
	_, begun := w.Begun[id]
	return w.Done.Has(id) && !begun
}

// Completed tells whether every VM of the wave has had its maintenance.
func (w *WaveState) Completed() bool {
	for _, vm := range w.Wave.VMs {
		if !w.Done.Has(vm) {
			return false
		}
	}
	return true
}

func (t *Table) prepare() {
	s := &t.state
	if s.Jobs != nil {
		return
	}
	s.Queues = map[string]Queue{}
	s.Jobs = map[ID]*Job{}
	s.Targets = map[TargetID]Target{}
	s.Waves = map[csmodel.WaveID]*WaveState{}
	s.VMs = map[csmodel.VMID]VMOrder{}
	s.Moved = map[csmodel.VMID]time.Time{}
	s.Ordered = map[csmodel.VMID]Ordering{}
	t.runs = map[Life]map[TaskKey]int{}
	t.queues = map[string]*Queue{}
}

// Apply implements csraft.Machine. The result is an encoded Verdict.
func (t *Table) Apply(e csraft.Entry) []byte {
	t.prepare()
	t.changes++
	t.state.Applied++
	c, err := decodeCommand(e.Data)
	if err != nil || (c.Term != 0 && c.Term != e.Term) {
		return verdict(Refused)
	}
	at := e.At.UTC().Truncate(time.Millisecond)
	v := t.apply(c, at, e.Index)
	if t.state.Applied%pruneEvery == 0 {
		t.prune(at)
	}
	return verdict(v)
}

func verdict(v Verdict) []byte { return []byte{byte(v)} }

// ParseVerdict returns the result of a command.
func ParseVerdict(b []byte) Verdict {
	if len(b) != 1 {
		return Refused
	}
	return Verdict(b[0])
}

func (t *Table) apply(c Command, at time.Time, index csmodel.Index) Verdict {
	v := Accepted
	if c.Config != nil {
		v = t.configure(c.Config)
	}
	if c.Submit != nil {
		v = t.submit(*c.Submit, at, index)
	}
	if c.Cancel != nil {
		v = t.cancel(*c.Cancel, at)
	}
	for _, o := range c.Ends {
		t.end(o, at)
	}
	for _, o := range c.Targets {
		t.changeTarget(o, at)
	}
	for _, o := range c.Starts {
		t.begin(o, at)
	}
	if c.Wave != nil {
		t.addWave(*c.Wave, at)
	}
	for _, o := range c.VMs {
		t.orderVM(o, at)
	}
	return v
}

func (t *Table) configure(c *Config) Verdict {
	old := t.state.Config
	switch {
	case c.Validate() != nil:
		return Refused
	case old != nil && c.Version < old.Version:
		return Stale
	case old != nil && c.Version == old.Version && !bytes.Equal(c.Document, old.Document):
		return Conflict
	case old != nil && c.Version == old.Version:
		return Accepted
	}
	t.state.Config = c
	t.routing = newRouting(c)
	for _, q := range c.Queues {
		if _, used := t.state.Queues[queueName(q.Key)]; used {
			t.setQueue(q)
		}
	}
	return Accepted
}

// setQueue replaces the newest settings of a queue, for its jobs too.
func (t *Table) setQueue(q Queue) *Queue {
	name := queueName(q.Key)
	t.state.Queues[name] = q
	p := t.queues[name]
	if p == nil {
		p = &Queue{}
		t.queues[name] = p
	}
	*p = q
	return p
}

func queueName(k QueueKey) string { return k.Host + " " + k.Prefix }

func (t *Table) submit(s Submission, at time.Time, index csmodel.Index) Verdict {
	if j := t.state.Jobs[s.ID]; j != nil {
		if j.Submission.Queue != s.Queue {
			return Refused
		}
		return Accepted
	}
	q := t.Queue(s.Queue)
	if q == nil {
		return NoQueue
	}
	if s.Validate() != nil {
		return Refused
	}
	j := newJob(s, at, index)
	j.queue = t.setQueue(*q)
	t.state.Jobs[s.ID] = j
	t.activate(j)
	return Accepted
}

func (t *Table) cancel(r Ref, at time.Time) Verdict {
	j := t.state.Jobs[r.ID]
	if j == nil || j.Submission.Queue != r.Queue {
		return Unknown
	}
	if !j.State.Final() {
		t.finish(j, Cancelled, at)
	}
	return Accepted
}

func (t *Table) finish(j *Job, s State, at time.Time) {
	j.State = s
	j.Ended = at
	t.touchJob(j)
	t.log.add(change{at: t.changes, ended: j})
	t.retire(j)
}

// retire drops what an ended job no longer needs.
func (t *Table) retire(j *Job) {
	if !j.State.Final() || j.Open > 0 {
		return
	}
	j.Tasks, j.Left = nil, nil
	j.Submission.Spec = ""
	t.active, t.lasting = remove(t.active, j), remove(t.lasting, j)
}

// remove drops a job from a list in order of acceptance.
func remove(list []*Job, j *Job) []*Job {
	i, _ := slices.BinarySearchFunc(list, j.Order, func(o *Job, n csmodel.Index) int { return cmp.Compare(o.Order, n) })
	for ; i < len(list) && list[i].Order == j.Order; i++ {
		if list[i] == j {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// activate adds a job to the lists of active ones.
func (t *Table) activate(j *Job) {
	t.active = append(t.active, j)
	if j.lasts() {
		t.lasting = append(t.lasting, j)
	}
}

func (t *Table) prune(at time.Time) {
	keep := t.Retention
	if keep == 0 {
		keep = DefaultRetention
	}
	for id, j := range t.state.Jobs {
		if j.State.Final() && j.Open == 0 && at.Sub(j.Ended) > keep {
			delete(t.state.Jobs, id)
		}
	}
}

func (t *Table) begin(s Start, at time.Time) {
	j := t.state.Jobs[s.Task.Job]
	if j == nil || j.State.Final() {
		return
	}
	k := j.Task(s.Task)
	target, known := t.state.Targets[s.Life.Target]
	if k == nil || k.Done || s.Attempt <= k.Attempts || !known || target.Life != s.Life {
		return
	}
	if len(k.Runs) > 0 && !j.Submission.Steps[s.Task.Step].Copies {
		return
	}
	k.Attempts = s.Attempt
	k.Runs = append(k.Runs, Run{Attempt: s.Attempt, Life: s.Life, Since: at})
	j.Open++
	t.note(s.Life, s.Task, 1)
	if j.State == Queued {
		j.State = Running
	}
}

// note counts the open runs of a task on a target.
func (t *Table) note(l Life, k TaskKey, n int) {
	t.touchRun(l, k)
	m := t.runs[l]
	if m == nil {
		m = map[TaskKey]int{}
		t.runs[l] = m
	}
	if m[k] += n; m[k] <= 0 {
		delete(m, k)
	}
	if len(m) == 0 {
		delete(t.runs, l)
	}
}

func (t *Table) end(e End, at time.Time) {
	j := t.state.Jobs[e.Task.Job]
	if j == nil {
		return
	}
	k := j.Task(e.Task)
	if k == nil {
		return
	}
	i := slices.IndexFunc(k.Runs, func(r Run) bool { return r.Attempt == e.Attempt })
	if i < 0 {
		t.endUnheard(j, k, e, at)
		return
	}
	// A restarted target may run what was meant for its earlier life, so the life of the run counts here.
	life := k.Runs[i].Life
	k.Runs = slices.Delete(k.Runs, i, i+1)
	j.Open--
	t.note(life, e.Task, -1)
	t.touchGang(j, e.Task)
	if e.Checkpoint != "" && e.Attempt == k.Attempts {
		k.Checkpoint = e.Checkpoint
	}
	if e.Outcome == OutcomeUnrun {
		j.keepUnheard(e.Task, k, e.Attempt)
	}
	t.settle(j, k, e, at)
	t.retire(j)
}

// endUnheard takes in how a run ended that was given up with its target, or that counted as never started although a late
// start reached the target's next life. The target keeps the end until it is acknowledged, and the acknowledgement stands: a
// task that ended done must not start again after it.
func (t *Table) endUnheard(j *Job, k *Task, e End, at time.Time) {
	i := slices.Index(k.Unheard, e.Attempt)
	if i < 0 {
		return
	}
	k.Unheard = slices.Delete(k.Unheard, i, i+1)
	if e.Checkpoint != "" && e.Attempt == k.Attempts {
		k.Checkpoint = e.Checkpoint
	}
	t.settle(j, k, e, at)
	t.retire(j)
}

// settle draws the conclusions of an end for the task and its job.
func (t *Table) settle(j *Job, k *Task, e End, at time.Time) {
	step := j.Submission.Steps[e.Task.Step]
	if j.State.Final() || step.Lasting {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		t.done(j, k, e.Task, step)
		if j.complete() {
			t.finish(j, Completed, at)
		}
	case OutcomeFailed:
		counted := k
		if step.Gang {
			counted = &j.Tasks[e.Task.Occurrence][e.Task.Step][0]
		}
		counted.Failures++
		if q := t.queueOf(j); !k.Done && counted.Failures >= max(1, q.Attempts) {
			t.finish(j, Failed, at)
		}
	case OutcomeStopped, OutcomeLapsed, OutcomeBroken, OutcomeAlone, OutcomeUnrun:
	}
}

func (t *Table) done(j *Job, k *Task, key TaskKey, step Step) {
	left := &j.Left[key.Occurrence][key.Step]
	if step.Gang {
		for i := range j.Tasks[key.Occurrence][key.Step] {
			j.Tasks[key.Occurrence][key.Step][i].Done = true
			member := key
			member.Index = i
			t.touchRuns(member, &j.Tasks[key.Occurrence][key.Step][i])
		}
		*left = 0
		return
	}
	if !k.Done {
		k.Done = true
		t.touchRuns(key, k)
		*left--
	}
}

// complete tells whether all tasks are done.
func (j *Job) complete() bool {
	for _, steps := range j.Left {
		for _, n := range steps {
			if n > 0 {
				return false
			}
		}
	}
	return true
}
