package csjob

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// DefaultRetention is how long an ended job stays in the table.
const DefaultRetention = 3 * time.Minute

// pruneInterval is the number of log entries between two scans for jobs past their retention.
const pruneInterval = 256

// Table is the replicated state. It implements csraft.Machine. The zero value is an empty table that is ready to use. A Table
// is not safe for concurrent use.
type Table struct {
	// Retention is how long an ended job stays in the table. It must be the same on all nodes. Zero is DefaultRetention.
	Retention time.Duration

	state       state
	routing     routing
	active      []*Job                          // not ended, or with open runs; in order of acceptance
	longRunning []*Job                          // the active jobs with long-running steps; in order of acceptance
	queues      map[string]*Queue               // latest settings by queueName
	openRuns    map[Incarnation]map[TaskKey]int // number of open runs
	accounts    map[csmodel.AccountID]*Account  // of the current configuration
	keys        map[KeyDigest]*Account          // the same accounts by the digests of their keys
	footprint   Footprint                       // estimated memory of the jobs; see sizes.go
	freed       csmodel.Bytes                   // released since the table was created or restored
	owners      map[Owner]*ownerUsage           // whom footprint is attributed to
	usage       accountUsage
	changes     uint64 // number of the latest change
	log         changeLog
}

// state is the part of the table that a snapshot contains.
type state struct {
	Config     *Config                       `cbor:"1,keyasint,omitempty"`
	Queues     map[string]Queue              `cbor:"2,keyasint"` // latest settings of every queue that has had jobs, by queueName
	Jobs       map[ID]*Job                   `cbor:"3,keyasint,omitempty"`
	Targets    map[TargetID]Target           `cbor:"4,keyasint"`
	Waves      map[csmodel.WaveID]*WaveState `cbor:"5,keyasint"`
	VMOrders   map[csmodel.VMID]VMOrder      `cbor:"6,keyasint"`            // orders in progress
	LastMoves  map[csmodel.VMID]time.Time    `cbor:"7,keyasint"`            // time of the last move to another pool
	Applied    uint64                        `cbor:"8,keyasint"`            // number of applied log entries
	LastOrders map[csmodel.VMID]LastVMOrder  `cbor:"9,keyasint,omitempty"`  // last order for each VM
	Uploads    map[string]*upload            `cbor:"10,keyasint,omitempty"` // commands with missing parts, by digest
	// Cancelled holds when jobs were cancelled that were not known, by JobRef.name.
	Cancelled map[string]time.Time `cbor:"11,keyasint,omitempty"`
	RunTimes  *RunTimes            `cbor:"20,keyasint,omitempty"` // learned from finished runs
	// Buckets holds when the token bucket of an account is full. That of any other account is full.
	Buckets map[csmodel.AccountID]time.Time `cbor:"12,keyasint,omitempty"`
}

// WaveState is a wave with its progress.
type WaveState struct {
	Wave     Wave                       `cbor:"1,keyasint"`
	Accepted time.Time                  `cbor:"2,keyasint"`
	Begun    map[csmodel.VMID]time.Time `cbor:"3,keyasint"` // when the order for the VM was committed
	Done     csmodel.Set[csmodel.VMID]  `cbor:"4,keyasint"` // a removed VM is in Done but not in Begun
}

// Removed reports whether a VM counts as done because the platform no longer listed it.
func (w *WaveState) Removed(id csmodel.VMID) bool {
	_, begun := w.Begun[id]
	return w.Done.Has(id) && !begun
}

// Completed reports whether every VM of the wave has had its maintenance or been removed.
func (w *WaveState) Completed() bool {
	for _, vm := range w.Wave.VMs {
		if !w.Done.Has(vm) {
			return false
		}
	}
	return true
}

// initialize creates the maps of a zero Table.
func (t *Table) initialize() {
	s := &t.state
	if s.Jobs != nil {
		return
	}
	s.Queues = map[string]Queue{}
	s.Jobs = map[ID]*Job{}
	s.Targets = map[TargetID]Target{}
	s.Waves = map[csmodel.WaveID]*WaveState{}
	s.VMOrders = map[csmodel.VMID]VMOrder{}
	s.LastMoves = map[csmodel.VMID]time.Time{}
	s.LastOrders = map[csmodel.VMID]LastVMOrder{}
	s.Uploads = map[string]*upload{}
	s.Cancelled = map[string]time.Time{}
	t.openRuns = map[Incarnation]map[TaskKey]int{}
	t.queues = map[string]*Queue{}
}

// Apply implements csraft.Machine. The result is an encoded Verdict.
func (t *Table) Apply(e csraft.Entry) []byte {
	t.initialize()
	t.changes++
	t.state.Applied++
	at := e.At.UTC().Truncate(time.Millisecond)
	v := t.applyEncoded(e.Data, e.Term, at, e.Index)
	if t.state.Applied%pruneInterval == 0 {
		t.pruneEnded(at)
	}
	return encodeVerdict(v)
}

func (t *Table) applyEncoded(data []byte, term csmodel.Term, at time.Time, index csmodel.Index) Verdict {
	c, err := decodeCommand(data)
	switch {
	case err != nil || (c.Term != 0 && c.Term != term):
		return Refused
	case c.Part == nil:
		return t.apply(c, at, index)
	}
	whole, v := t.addPart(*c.Part, at)
	if v != Accepted {
		return v
	}
	if c, err = decodeCommand(whole); err != nil || (c.Term != 0 && c.Term != term) {
		return Refused
	}
	return t.apply(c, at, index)
}

func encodeVerdict(v Verdict) []byte { return []byte{byte(v)} }

// ParseVerdict decodes the result of Apply. It returns Refused for anything else.
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
		if o.Outcome != OutcomeNotStarted {
			t.begin(o.Task.Job)
		}
		t.endRun(o, at)
	}
	for _, id := range c.Begun {
		t.begin(id)
	}
	for _, o := range c.Targets {
		t.changeTarget(o, at)
	}
	for _, o := range c.Starts {
		t.startRun(o, at)
	}
	if c.Wave != nil {
		t.addWave(*c.Wave, at)
	}
	for _, o := range c.VMs {
		t.applyVMOrder(o, at)
	}
	return v
}

// configure replaces the configuration by a newer version.
func (t *Table) configure(c *Config) Verdict {
	current := t.state.Config
	switch {
	case c.Validate() != nil:
		return Refused
	case current != nil && c.Version < current.Version:
		return StaleVersion
	case current != nil && c.Version == current.Version && !bytes.Equal(c.Document, current.Document):
		return VersionConflict
	case current != nil && c.Version == current.Version:
		return Accepted
	}
	t.state.Config = c
	t.routing = newRouting(c)
	t.indexAccounts()
	for _, q := range c.Queues {
		if _, used := t.state.Queues[queueName(q.Key)]; used {
			t.setQueue(q)
		}
	}
	return Accepted
}

// setQueue replaces the latest settings of a queue. Its jobs share the returned pointer.
func (t *Table) setQueue(q Queue) *Queue {
	name := queueName(q.Key)
	t.state.Queues[name] = q
	shared := t.queues[name]
	if shared == nil {
		shared = &Queue{}
		t.queues[name] = shared
	}
	*shared = q
	return shared
}

// queueName returns the key of a queue in state.Queues.
func queueName(k QueueKey) string { return k.Host + " " + k.Prefix }

// submit adds a job. A repeated submission of the same account to the same queue has no effect. A job that was cancelled before its submission arrived, for
// example because the network delayed it, is cancelled from the start.
func (t *Table) submit(s Submission, at time.Time, index csmodel.Index) Verdict {
	if j := t.state.Jobs[s.ID]; j != nil {
		if j.Submission.Queue != s.Queue || !t.MayAccess(j, s.Account) {
			return Refused
		}
		return Accepted
	}
	q := t.Queue(s.Queue)
	if q == nil {
		return UnknownQueue
	}
	if !t.admits(q, s.Account) {
		return Unauthorized
	}
	if s.Validate() != nil {
		return Refused
	}
	j := NewJob(s, at, index)
	j.queue = t.setQueue(*q)
	t.state.Jobs[s.ID] = j
	t.addActive(j)
	t.resize(j)
	if t.cancelledBefore(s) {
		t.finishJob(j, Cancelled, at)
		return Accepted
	}
	j.Surplus = !t.takeToken(s.Account, at)
	return Accepted
}

// cancel ends a job. The cancellation of an unknown job is kept, because its submission may still be on its way. The job of another
// account counts as unknown.
func (t *Table) cancel(r JobRef, at time.Time) Verdict {
	j := t.state.Jobs[r.ID]
	if j == nil || j.Submission.Queue != r.Queue || !t.MayAccess(j, r.Account) {
		t.recordCancellation(r, at)
		return UnknownJob
	}
	if !j.State.Final() {
		t.finishJob(j, Cancelled, at)
	}
	return Accepted
}

func (t *Table) finishJob(j *Job, s State, at time.Time) {
	j.State = s
	j.Ended = at
	t.recordJobChange(j)
	t.log.add(change{number: t.changes, ended: j})
	t.releaseEnded(j)
}

// releaseEnded frees the tasks and the specification of an ended job without open runs, and removes it from the active jobs.
func (t *Table) releaseEnded(j *Job) {
	if !j.Released() {
		return
	}
	j.Begun, j.Finished, j.fresh = nil, nil, nil
	j.Submission.Spec = ""
	t.resize(j)
	t.active, t.longRunning = removeJob(t.active, j), removeJob(t.longRunning, j)
}

// removeJob removes a job from a list in order of acceptance.
func removeJob(list []*Job, j *Job) []*Job {
	i, _ := slices.BinarySearchFunc(list, j.AcceptIndex, func(o *Job, n csmodel.Index) int { return cmp.Compare(o.AcceptIndex, n) })
	for ; i < len(list) && list[i].AcceptIndex == j.AcceptIndex; i++ {
		if list[i] == j {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// addActive adds a job to the active jobs.
func (t *Table) addActive(j *Job) {
	t.active = append(t.active, j)
	if j.hasLongRunning() {
		t.longRunning = append(t.longRunning, j)
	}
}

// pruneEnded deletes the ended jobs and the cancellations of unknown jobs that are past their retention.
func (t *Table) pruneEnded(at time.Time) {
	retention := t.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	for id, j := range t.state.Jobs {
		if j.Released() && at.Sub(j.Ended) > retention {
			delete(t.state.Jobs, id)
			t.detach(j.usage, j.footprint)
		}
	}
	for name, cancelledAt := range t.state.Cancelled {
		if at.Sub(cancelledAt) > retention {
			t.removeCancelled(name)
		}
	}
	t.pruneBuckets(at)
}
