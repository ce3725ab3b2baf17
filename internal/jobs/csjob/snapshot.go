package csjob

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Snapshot implements csraft.Machine.
func (t *Table) Snapshot() ([]byte, error) {
	t.prepare()
	return codec.Marshal(t.state)
}

// Restore implements csraft.Machine.
func (t *Table) Restore(b []byte) error {
	var s state
	if err := cbor.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrCodec, err)
	}
	*t = Table{Retention: t.Retention, changes: t.changes + 1, log: changeLog{since: t.changes + 1}}
	if s.Jobs == nil {
		return nil
	}
	t.prepare()
	t.state = s
	t.fill()
	return nil
}

// fill derives the indexes from the state.
func (t *Table) fill() {
	s := &t.state
	if s.Config != nil {
		t.routing = newRouting(s.Config)
	}
	if s.Ordered == nil {
		s.Ordered = map[csmodel.VMID]Ordering{}
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
	for _, j := range s.Jobs {
		j.queue = t.queues[queueName(j.Submission.Queue)]
		if j.State.Final() && j.Open == 0 {
			continue
		}
		t.activate(j)
		j.eachRun(func(k TaskKey, r Run) { t.note(r.Life, k, 1) })
	}
	slices.SortFunc(t.active, compareOrder)
	slices.SortFunc(t.lasting, compareOrder)
}

func compareOrder(a, b *Job) int { return cmp.Compare(a.Order, b.Order) }

// eachRun calls f for all open runs.
func (j *Job) eachRun(f func(TaskKey, Run)) {
	for o, steps := range j.Tasks {
		for s, tasks := range steps {
			for i := range tasks {
				for _, r := range tasks[i].Runs {
					f(TaskKey{Job: j.Submission.ID, Occurrence: o, Step: s, Index: i}, r)
				}
			}
		}
	}
}
