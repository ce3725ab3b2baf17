package cstask

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const propertyCommands = 100_000

// model is what callers and workers know of the tasks, independent of the table.
type model struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	table    *Table // restored from snapshots of itself
	replica  *Table // applies the same commands without restores
	now      time.Time
	accepted map[csmodel.TaskID]Submit
	ended    map[csmodel.TaskID]State
	// forgotten are accepted tasks that the table no longer holds.
	forgotten csmodel.Set[csmodel.TaskID]
	sent      []Command
	next      int
}

func (m *model) failf(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("seed %d: %s", m.seed, fmt.Sprintf(format, args...))
}

// Guards against tasks that finish twice, are lost, leave a final state or come back after they were forgotten, under
// duplicated, reordered and stale commands; and against replicas that differ after a restore.
func TestTableProperties(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			newModel(t, seed).run()
		})
	}
}

func newModel(t *testing.T, seed uint64) *model {
	limits := Limits{Retention: time.Hour, Ended: 500}
	return &model{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, table: New(limits), replica: New(limits),
		accepted: make(map[csmodel.TaskID]Submit), ended: make(map[csmodel.TaskID]State), forgotten: make(csmodel.Set[csmodel.TaskID]),
	}
}

func (m *model) run() {
	for i := range propertyCommands {
		m.now = m.now.Add(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
		m.apply(m.choose())
		if i%2500 == 2499 {
			m.restore()
			m.checkAll()
		}
	}
	if len(m.ended) < propertyCommands/50 {
		m.failf("only %d tasks ended", len(m.ended))
	}
}

// choose returns a new command or, in a third of the cases, an earlier one: a duplicate, reordered and often stale.
func (m *model) choose() Command {
	if len(m.sent) > 0 && m.rng.IntN(3) == 0 {
		return m.sent[m.rng.IntN(len(m.sent))]
	}
	c := m.create()
	if len(m.sent) < 2000 {
		m.sent = append(m.sent, c)
	} else {
		m.sent[m.rng.IntN(len(m.sent))] = c
	}
	return c
}

func (m *model) create() Command {
	id := csmodel.TaskID(fmt.Sprint(max(0, m.next-m.rng.IntN(200)-1)))
	task, _ := m.table.Get(id)
	fence := task.Fence
	if m.rng.IntN(10) == 0 {
		fence--
	}
	vm := csmodel.VMID(fmt.Sprint(m.rng.IntN(20)))
	switch n := m.rng.IntN(100); {
	case n < 20:
		m.next++
		s := submission(fmt.Sprint(m.next))
		s.Deadline = m.now.Add(time.Duration(m.rng.IntN(120)-30) * time.Minute)
		s.Payload = make([]byte, m.rng.IntN(64))
		return s
	case n < 50:
		return Lease{ID: id, VM: vm, Fence: fence, Expiry: m.now.Add(time.Duration(m.rng.IntN(300)) * time.Second)}
	case n < 60:
		return Finish{ID: id, Fence: fence, Result: []byte("r"), Used: Usage{CPU: 500, Memory: csmodel.MiB, Runtime: time.Second}}
	case n < 67:
		return Fail{ID: id, Fence: fence, Final: m.rng.IntN(4) == 0, Overrun: m.rng.IntN(4) == 0}
	case n < 75:
		return Checkpoint{ID: id, Fence: fence, Sequence: m.rng.Uint64N(9), Data: make([]byte, m.rng.IntN(64)), Release: m.rng.IntN(4) == 0}
	case n < 80:
		return Cancel{ID: id}
	case n < 82:
		return CancelBatch{IDs: []csmodel.TaskID{id, "unknown", id}}
	case n < 87:
		return Renew{VMs: []csmodel.VMID{vm}, Except: []csmodel.TaskID{id}, Expiry: m.now.Add(time.Minute)}
	case n < 90:
		return SetAside{ID: id, Fence: fence, Reason: ReasonTooLarge}
	case n < 95:
		return Retry{ID: id, Fence: fence}
	default:
		return Expire{}
	}
}

func (m *model) apply(c Command) {
	data, err := Encode(c)
	if err != nil {
		m.failf("encode %T: %v", c, err)
	}
	decoded, err := Decode(data)
	if err != nil {
		m.failf("decode %T: %v", c, err)
	}
	got := m.table.Apply(decoded, m.now)
	if other := m.replica.Apply(decoded, m.now); got != other {
		m.failf("%T: results differ between replicas: %+v and %+v", c, got, other)
	}
	if got.Status == OK {
		m.follow(c, got)
	}
}

// follow checks a command that changed the table against what was known before.
func (m *model) follow(c Command, r Result) {
	end := func(id csmodel.TaskID, s State) {
		if before, ok := m.ended[id]; ok {
			m.failf("task %s reached state %d after state %d", id, s, before)
		}
		m.ended[id] = s
	}
	switch c := c.(type) {
	case Submit:
		if _, ok := m.accepted[c.ID]; ok || m.forgotten.Has(c.ID) {
			m.failf("task %s was admitted twice", c.ID)
		}
		m.accepted[c.ID] = c
	case Finish:
		end(c.ID, StateFinished)
	case Cancel:
		end(c.ID, StateCancelled)
	case CancelBatch:
		if r.Count == 1 {
			end(c.IDs[0], StateCancelled)
		}
		if r.Count > 1 {
			m.failf("%d tasks cancelled for one id", r.Count)
		}
	case Fail:
		if r.State == StateFailed {
			end(c.ID, StateFailed)
		}
	default:
	}
}

func (m *model) restore() {
	data, err := m.table.Snapshot()
	if err != nil {
		m.failf("snapshot: %v", err)
	}
	other, err := m.replica.Snapshot()
	if err != nil || !bytes.Equal(data, other) {
		m.failf("snapshots of the replicas differ, %d and %d bytes, error %v", len(data), len(other), err)
	}
	m.table = New(Limits{})
	if err := m.table.Restore(data); err != nil {
		m.failf("restore: %v", err)
	}
}

// checkAll checks that each accepted task is in the table in a state that the model knows, and the table's own counts.
func (m *model) checkAll() {
	for id, s := range m.accepted {
		task, ok := m.table.Get(id)
		state, ended := m.ended[id]
		switch {
		case !ok && !ended:
			m.failf("task %s is lost", id)
		case !ok:
			m.apply(s) // must be refused; follow checks that
			delete(m.accepted, id)
			m.forgotten.Add(id)
		case ended && task.State != state || !ended && task.State.Ended():
			m.failf("task %s: got state %d, want %d", id, task.State, state)
		}
	}
	c := m.table.Counts()
	if got := c.Waiting + c.Leased + c.SetAside; got != len(m.table.tasks) {
		m.failf("counts add up to %d of %d unfinished tasks", got, len(m.table.tasks))
	}
	for vm, h := range m.table.holders {
		for i, r := range h.records {
			if r.run.slot != i || r.run.vm != vm || r.state != StateLeased {
				m.failf("holder %s slot %d lists task %s at %s slot %d", vm, i, r.id, r.run.vm, r.run.slot)
			}
		}
	}
}
