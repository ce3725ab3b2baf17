package csjob

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Snapshot implements csraft.Machine. It returns the state in CBOR, and an error if the state can't be encoded.
func (t *Table) Snapshot() ([]byte, error) { return t.AppendSnapshot(nil) }

// jobsField is the encoded key of state.Jobs.
const jobsField = 3

// AppendSnapshot implements csgroup.SnapshotAppender. The jobs are encoded one by one, because an encoder holds a copy of what it encodes.
func (t *Table) AppendSnapshot(b []byte) ([]byte, error) {
	t.initialize()
	others := t.state
	others.Jobs = nil
	head, err := encMode.Marshal(others)
	if err != nil {
		return nil, err
	}
	head[0]++ // the number of fields, which is below 24
	w := &appendWriter{b: append(b, head...)}
	w.b = binary.BigEndian.AppendUint64(append(w.b, jobsField, 0xbb), uint64(len(t.state.Jobs))) // a map with a length of 8 bytes
	e := encMode.NewEncoder(w)
	for id, j := range t.state.Jobs {
		if err := errors.Join(e.Encode(id), e.Encode(j)); err != nil {
			return nil, err
		}
	}
	return w.b, nil
}

// appendWriter is an io.Writer that appends to a slice.
type appendWriter struct{ b []byte }

// Write implements io.Writer.
func (w *appendWriter) Write(p []byte) (int, error) {
	w.b = append(w.b, p...)
	return len(p), nil
}

// Restore implements csraft.Machine. It replaces the table by a snapshot. If the snapshot can't be decoded, it returns ErrCodec, and the
// table is empty.
func (t *Table) Restore(b []byte) error {
	// The former state is released first, because both together may exceed the memory of the process.
	*t = Table{Retention: t.Retention, changes: t.changes + 1, log: changeLog{droppedUpTo: t.changes + 1}}
	var s state
	if err := decMode.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrCodec, err)
	}
	if s.Jobs == nil {
		return nil
	}
	t.initialize()
	t.state = s
	t.rebuildIndexes()
	return nil
}

// rebuildIndexes derives the indexes that a snapshot doesn't contain, and creates the maps that it leaves out when empty.
func (t *Table) rebuildIndexes() {
	s := &t.state
	if s.Config != nil {
		t.routing = newRouting(s.Config)
		t.indexAccounts()
	}
	if s.LastOrders == nil {
		s.LastOrders = map[csmodel.VMID]LastVMOrder{}
	}
	if s.Uploads == nil {
		s.Uploads = map[string]*upload{}
	}
	if s.Cancelled == nil {
		s.Cancelled = map[string]time.Time{}
	}
	for _, w := range s.Waves {
		if w.Begun == nil {
			w.Begun = map[csmodel.VMID]time.Time{}
		}
		if w.Done == nil {
			w.Done = csmodel.NewSet[csmodel.VMID]()
		}
	}
	for _, q := range s.Queues {
		t.setQueue(q)
	}
	t.resizeCancelled()
	for _, j := range s.Jobs {
		j.queue = t.queues[queueName(j.Submission.Queue)]
		if j.Released() {
			t.resize(j)
			continue
		}
		j.fresh = j.Submission.freshOccurrence()
		j.migrate()
		t.resize(j)
		t.addActive(j)
		j.eachRun(func(k TaskKey, r Run) {
			t.countUsage(j, k.Step, false)
			t.addOpenRuns(r.Incarnation, k, 1)
		})
	}
	slices.SortFunc(t.active, compareAcceptance)
	slices.SortFunc(t.longRunning, compareAcceptance)
}

// migrate converts the progress in a snapshot of an earlier version, which held the tasks of all occurrences.
func (j *Job) migrate() {
	for number, tasks := range j.OldTasks {
		o := &Occurrence{Number: number, Tasks: tasks, Remaining: j.OldCounts[number]}
		switch {
		case o.done() && !o.busy():
			j.Finished.Add(number)
		case !reflect.DeepEqual(tasks, j.fresh.Tasks):
			j.Begun = append(j.Begun, o)
		}
	}
	j.OldTasks, j.OldCounts = nil, nil
}

func compareAcceptance(a, b *Job) int { return cmp.Compare(a.AcceptIndex, b.AcceptIndex) }

// eachRun calls f for each open run of the job.
func (j *Job) eachRun(f func(TaskKey, Run)) {
	for _, o := range j.Begun {
		for s, tasks := range o.Tasks {
			for i := range tasks {
				for _, r := range tasks[i].Runs {
					f(TaskKey{Job: j.Submission.ID, Occurrence: o.Number, Step: s, Index: i}, r)
				}
			}
		}
	}
}
