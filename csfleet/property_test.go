package csfleet

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/cstask"
)

const (
	propertyCommands = 100_000
	propertySeeds    = 4
	snapshotEvery    = 2000
)

// Guards I1 and I2, and tasks that finish twice or are lost, while two planners race on duplicated, reordered, dropped
// and stale commands with lost VMs, zone cuts, crashes of planners and restores. Afterwards, without faults, no VM may be
// stuck in a step, every VM must be maintained and every task must end.
func TestMachineProperties(t *testing.T) {
	for seed := uint64(1); seed <= propertySeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			for w.commands < propertyCommands {
				w.step()
			}
			w.settle()
		})
	}
}

func (w *world) failf(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, command %d: %s", w.seed, w.commands, fmt.Sprintf(format, args...))
}

// apply runs a command on both machines and checks the invariants.
func (w *world) apply(c Command) {
	w.commands++
	data, err := Encode(c)
	if err != nil {
		w.failf("encode %T: %v", c, err)
	}
	before := w.machine.VMs()
	e := csraft.Entry{At: w.now, Data: data}
	encoded := w.machine.Apply(e)
	if other := w.replica.Apply(e); !bytes.Equal(encoded, other) {
		w.failf("%T: results differ between replicas", c)
	}
	r, err := DecodeResult(encoded)
	if err != nil {
		w.failf("result of %T: %v", c, err)
	}
	w.checkVMs(c, r, before)
	if tasks, ok := c.(Tasks); ok {
		for i, x := range tasks.Commands {
			w.checkTask(x, r.Tasks[i])
		}
	}
	if w.commands%snapshotEvery == 0 {
		w.restore()
	}
}

// unavailable counts by the definition on the design page, independent of the machine's counts. voluntary counts the
// VMs that are lent or in a step.
func (w *world) unavailable(id csmodel.PoolID) (all, voluntary int) {
	for _, v := range w.machine.order {
		if v.Home != id {
			continue
		}
		away := v.Pool != v.Home
		if ok, _ := w.machine.Reachable(v.Zone); away || v.State != Serving || !ok {
			all++
		}
		if away || v.State != Serving && v.State != Lost {
			voluntary++
		}
	}
	return all, voluntary
}

// checkVMs checks I1 and I2 after a command.
func (w *world) checkVMs(c Command, r Result, before []VM) {
	for _, p := range w.machine.Pools() {
		all, voluntary := w.unavailable(p.Name)
		if got := w.machine.Unavailable(p.Name); got != all {
			w.failf("%T: pool %s counts %d unavailable VMs, want %d", c, p.Name, got, all)
		}
		if voluntary > p.Budget {
			w.failf("%T %+v: %d VMs of pool %s are out of service by plan, budget %d", c, c, voluntary, p.Name, p.Budget)
		}
	}
	w.checkStart(c, r, before)
	_, handover := c.(HandOver)
	for _, old := range before {
		v, ok := w.machine.VM(old.ID)
		if _, removal := c.(RemoveVM); !ok && !removal {
			w.failf("%T: VM %s vanished", c, old.ID)
		}
		if ok && v.Pool != old.Pool && (!handover || r.Status != OK || v.Fence != old.Fence) {
			w.failf("%T: VM %s changed pool from %s to %s", c, old.ID, old.Pool, v.Pool)
		}
		if ok && v.Fence < old.Fence {
			w.failf("%T: fence of VM %s went back", c, old.ID)
		}
	}
}

// checkStart checks the budget and the zone at the start of a voluntary step.
func (w *world) checkStart(c Command, r Result, before []VM) {
	var id csmodel.VMID
	var to csmodel.PoolID
	switch c := c.(type) {
	case StartMove:
		id, to = c.VM, c.To
	case StartReboot:
		id = c.VM
	default:
		return
	}
	if r.Status != OK {
		return
	}
	v, _ := w.machine.VM(id)
	pool := w.machine.pools[v.Home]
	all, _ := w.unavailable(v.Home)
	if all > pool.config.Budget && to != v.Home {
		w.failf("%T %+v accepted with %d unavailable, budget %d", c, c, all, pool.config.Budget)
	}
	if ok, _ := w.machine.Reachable(v.Zone); !ok {
		w.failf("%T %+v accepted in a zone that is cut", c, c)
	}
	for _, old := range before {
		if old.ID == id && old.State != Serving {
			w.failf("%T %+v accepted from state %d", c, c, old.State)
		}
	}
}

func (w *world) checkTask(c cstask.Command, r cstask.Result) {
	if r.Status != cstask.OK {
		return
	}
	end := func(id csmodel.TaskID, s cstask.State) {
		if old, ok := w.ended[id]; ok {
			w.failf("task %s reached state %d after %d", id, s, old)
		}
		w.ended[id] = s
	}
	switch c := c.(type) {
	case cstask.Submit:
		if w.accepted.Has(c.ID) {
			w.failf("task %s was admitted twice", c.ID)
		}
		w.accepted.Add(c.ID)
	case cstask.Lease:
		w.begin(c)
	case cstask.Finish:
		end(c.ID, cstask.StateFinished)
	case cstask.Cancel:
		end(c.ID, cstask.StateCancelled)
	case cstask.Fail:
		if r.State == cstask.StateFailed {
			end(c.ID, cstask.StateFailed)
		}
	default:
	}
}

func (w *world) begin(c cstask.Lease) {
	r, _ := w.machine.VM(c.VM)
	if r.State != Serving {
		w.failf("task %s was leased to VM %s in state %d", c.ID, c.VM, r.State)
	}
	v := w.byID[c.VM]
	if w.cut(v) || w.silent(v) || v.draining {
		return
	}
	v.tasks[c.ID] = worldTask{fence: c.Fence, until: w.now.Add(time.Duration(10+w.rng.IntN(100)) * time.Second)}
}

// restore replaces the machine by its snapshot and shows the second planner an older state.
func (w *world) restore() {
	data, err := w.machine.Snapshot()
	if err != nil {
		w.failf("snapshot: %v", err)
	}
	other, err := w.replica.Snapshot()
	if err != nil || !bytes.Equal(data, other) {
		w.failf("snapshots of the replicas differ, error %v", err)
	}
	w.old = w.machine
	w.machine = New(Options{})
	if err := w.machine.Restore(data); err != nil {
		w.failf("restore: %v", err)
	}
	if !reflect.DeepEqual(w.machine.VMs(), w.replica.VMs()) {
		w.failf("VMs differ after a restore")
	}
	for id := range w.accepted {
		_, kept := w.machine.Tasks().Get(id)
		if _, ended := w.ended[id]; !kept && !ended {
			w.failf("task %s is lost", id)
		}
	}
}

// settle runs without faults and checks that everything ends.
func (w *world) settle() {
	w.calm = true
	w.cutUntil = time.Time{}
	w.network = nil
	for _, id := range []csmodel.WaveID{"0", "1"} {
		w.apply(ResumeWave{Wave: id, Operator: true})
	}
	from := w.now
	for w.now.Before(from.Add(6 * time.Hour)) {
		w.step()
	}
	for _, v := range w.machine.VMs() {
		if v.State != Serving && v.Step != StepReboot || v.Lent() {
			w.failf("VM %s is stuck in state %d of pool %s, home %s", v.ID, v.State, v.Pool, v.Home)
		}
		if v.Maintained.Before(from) {
			w.failf("VM %s was last maintained at %s, before %s; waves %+v", v.ID, v.Maintained, from, w.progress)
		}
	}
	if c := w.machine.Tasks().Counts(); c.Waiting+c.Leased > 0 {
		w.failf("%d tasks wait and %d are leased, want none", c.Waiting, c.Leased)
	}
	finished := 0
	for _, s := range w.ended {
		if s == cstask.StateFinished {
			finished++
		}
	}
	w.t.Logf("seed %d: %d commands, %d tasks accepted, %d finished", w.seed, w.commands, len(w.accepted), finished)
}
