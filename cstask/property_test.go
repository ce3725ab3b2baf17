package cstask

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const propertyTestCommands = 100_000

// model tracks the expected state of each task independently of the table.
type model struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	table    *Table // restored from snapshots of itself
	replica  *Table // applies the same commands without restores
	now      time.Time
	accepted map[csmodel.TaskID]Submit
	ended    map[csmodel.TaskID]State
	// evicted are accepted tasks whose records the table has removed.
	evicted      csmodel.Set[csmodel.TaskID]
	sentCommands []Command
	submitted    int
}

func (m *model) failf(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("seed %d: %s", m.seed, fmt.Sprintf(format, args...))
}

// Guards against tasks that finish twice, are lost, leave a final state or are admitted again after the removal of their
// record, under duplicated, reordered and stale commands, and against replicas that differ after a restore.
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
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: baseTime, table: New(limits), replica: New(limits),
		accepted: make(map[csmodel.TaskID]Submit), ended: make(map[csmodel.TaskID]State), evicted: make(csmodel.Set[csmodel.TaskID]),
	}
}

func (m *model) run() {
	for i := range propertyTestCommands {
		m.now = m.now.Add(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
		m.apply(m.nextCommand())
		if i%2500 == 2499 {
			m.restore()
			m.checkInvariants()
		}
	}
	if len(m.ended) < propertyTestCommands/50 {
		m.failf("only %d tasks ended", len(m.ended))
	}
}

// nextCommand returns a new command or, in a third of the cases, an earlier one. The latter is a duplicate, reordered and
// often stale.
func (m *model) nextCommand() Command {
	if len(m.sentCommands) > 0 && m.rng.IntN(3) == 0 {
		return m.sentCommands[m.rng.IntN(len(m.sentCommands))]
	}
	c := m.newCommand()
	if len(m.sentCommands) < 2000 {
		m.sentCommands = append(m.sentCommands, c)
	} else {
		m.sentCommands[m.rng.IntN(len(m.sentCommands))] = c
	}
	return c
}

func (m *model) newCommand() Command {
	id := csmodel.TaskID(fmt.Sprint(max(0, m.submitted-m.rng.IntN(200)-1)))
	task, _ := m.table.Get(id)
	fence := task.Fence
	if m.rng.IntN(10) == 0 {
		fence--
	}
	vm := csmodel.VMID(fmt.Sprint(m.rng.IntN(20)))
	switch n := m.rng.IntN(100); {
	case n < 20:
		m.submitted++
		s := newSubmit(fmt.Sprint(m.submitted))
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
		m.checkTransition(c, got)
	}
}

// checkTransition checks the result of a command that changed the table against the model, and updates the model.
func (m *model) checkTransition(c Command, r Result) {
	end := func(id csmodel.TaskID, s State) {
		if before, ok := m.ended[id]; ok {
			m.failf("task %s reached state %d after state %d", id, s, before)
		}
		m.ended[id] = s
	}
	switch c := c.(type) {
	case Submit:
		if _, ok := m.accepted[c.ID]; ok || m.evicted.Has(c.ID) {
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
		m.failf("snapshots of the replicas differ: %d and %d bytes, error %v", len(data), len(other), err)
	}
	m.table = New(Limits{})
	if err := m.table.Restore(data); err != nil {
		m.failf("restore: %v", err)
	}
}

// checkInvariants checks that each accepted task has the state in the table that the model expects, and that the counts and
// leases of the table are consistent.
func (m *model) checkInvariants() {
	for id, s := range m.accepted {
		task, ok := m.table.Get(id)
		state, ended := m.ended[id]
		switch {
		case !ok && !ended:
			m.failf("task %s is lost", id)
		case !ok:
			m.apply(s) // must be refused; checkTransition verifies that
			delete(m.accepted, id)
			m.evicted.Add(id)
		case ended && task.State != state || !ended && task.State.Ended():
			m.failf("task %s: got state %d, want %d", id, task.State, state)
		}
	}
	c := m.table.Counts()
	if got := c.Waiting + c.Leased + c.SetAside; got != len(m.table.tasks) {
		m.failf("counts add up to %d of %d unfinished tasks", got, len(m.table.tasks))
	}
	for vm, leases := range m.table.leasesByVM {
		for i, r := range leases.records {
			if r.run.index != i || r.run.vm != vm || r.state != StateLeased {
				m.failf("leases of VM %s list at index %d task %s, which has VM %s and index %d", vm, i, r.id, r.run.vm, r.run.index)
			}
		}
	}
}
