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
	snapshotInterval = 2000
)

// Guards the invariants I1 and I2 (voluntary steps stay within the availability budget; a VM changes its pool only by a
// handover) and against tasks that end twice or are lost, while two planners race with duplicated, reordered, dropped
// and stale commands, lost VMs, zone partitions, planner restarts and restores. Afterwards, without faults, no VM may
// remain in a step, every VM must be maintained and every task must end.
func TestMachineProperties(t *testing.T) {
	for seed := uint64(1); seed <= propertySeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed)
			for s.commands < propertyCommands {
				s.step()
			}
			s.runWithoutFaults()
		})
	}
}

func (s *simulation) failf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d, command %d: %s", s.seed, s.commands, fmt.Sprintf(format, args...))
}

// apply runs a command on both machines and checks the invariants.
func (s *simulation) apply(c Command) {
	s.commands++
	data, err := Encode(c)
	if err != nil {
		s.failf("encode %T: %v", c, err)
	}
	before := s.machine.VMs()
	e := csraft.Entry{At: s.now, Data: data}
	encoded := s.machine.Apply(e)
	if other := s.replica.Apply(e); !bytes.Equal(encoded, other) {
		s.failf("%T: results differ between replicas", c)
	}
	r, err := DecodeResult(encoded)
	if err != nil {
		s.failf("result of %T: %v", c, err)
	}
	s.checkVMs(c, r, before)
	if tasks, ok := c.(Tasks); ok {
		for i, x := range tasks.Commands {
			s.checkTask(x, r.Tasks[i])
		}
	}
	if s.commands%snapshotInterval == 0 {
		s.restore()
	}
}

// countUnavailable counts unavailable VMs by the definition on the design page, independently of the machine's counts.
// voluntary is the number of VMs that are lent or in a step.
func (s *simulation) countUnavailable(id csmodel.PoolID) (all, voluntary int) {
	for _, v := range s.machine.sortedVMs {
		if v.Home != id {
			continue
		}
		lent := v.Pool != v.Home
		if ok, _ := s.machine.Reachable(v.Zone); lent || v.State != Serving || !ok {
			all++
		}
		if lent || v.State != Serving && v.State != Lost {
			voluntary++
		}
	}
	return all, voluntary
}

// checkVMs checks I1 and I2 after a command.
func (s *simulation) checkVMs(c Command, r Result, before []VM) {
	for _, p := range s.machine.Pools() {
		all, voluntary := s.countUnavailable(p.Name)
		if got := s.machine.Unavailable(p.Name); got != all {
			s.failf("%T: pool %s counts %d unavailable VMs, want %d", c, p.Name, got, all)
		}
		if voluntary > p.Budget {
			s.failf("%T %+v: %d VMs of pool %s are voluntarily out of service, budget %d", c, c, voluntary, p.Name, p.Budget)
		}
	}
	s.checkStepStart(c, r, before)
	_, handover := c.(HandOver)
	for _, old := range before {
		v, ok := s.machine.VM(old.ID)
		if _, removal := c.(RemoveVM); !ok && !removal {
			s.failf("%T: VM %s disappeared", c, old.ID)
		}
		handed := handover && r.Status == OK && v.Fence == old.Fence
		if ok && v.Pool != old.Pool && !handed {
			s.failf("%T: VM %s changed pool from %s to %s", c, old.ID, old.Pool, v.Pool)
		}
		if ok && v.Fence < old.Fence {
			s.failf("%T: fence of VM %s decreased", c, old.ID)
		}
	}
}

// checkStepStart checks the budget and the zone at the start of a voluntary step.
func (s *simulation) checkStepStart(c Command, r Result, before []VM) {
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
	v, _ := s.machine.VM(id)
	pool := s.machine.pools[v.Home]
	all, _ := s.countUnavailable(v.Home)
	if all > pool.config.Budget && to != v.Home {
		s.failf("%T %+v accepted with %d unavailable, budget %d", c, c, all, pool.config.Budget)
	}
	if ok, _ := s.machine.Reachable(v.Zone); !ok {
		s.failf("%T %+v accepted in an unreachable zone", c, c)
	}
	for _, old := range before {
		if old.ID == id && old.State != Serving {
			s.failf("%T %+v accepted from state %d", c, c, old.State)
		}
	}
}

func (s *simulation) checkTask(c cstask.Command, r cstask.Result) {
	if r.Status != cstask.OK {
		return
	}
	end := func(id csmodel.TaskID, state cstask.State) {
		if old, ok := s.ended[id]; ok {
			s.failf("task %s reached state %d after %d", id, state, old)
		}
		s.ended[id] = state
	}
	switch c := c.(type) {
	case cstask.Submit:
		if s.accepted.Has(c.ID) {
			s.failf("task %s was admitted twice", c.ID)
		}
		s.accepted.Add(c.ID)
	case cstask.Lease:
		s.startTask(c)
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

func (s *simulation) startTask(c cstask.Lease) {
	r, _ := s.machine.VM(c.VM)
	if r.State != Serving {
		s.failf("task %s was leased to VM %s in state %d", c.ID, c.VM, r.State)
	}
	v := s.byID[c.VM]
	if s.isolated(v) || s.silent(v) || v.draining {
		return
	}
	v.tasks[c.ID] = simulatedTask{fence: c.Fence, until: s.now.Add(time.Duration(10+s.rng.IntN(100)) * time.Second)}
}

// restore replaces the machine by one restored from its snapshot and gives the second planner the state at the last
// restore.
func (s *simulation) restore() {
	data, err := s.machine.Snapshot()
	if err != nil {
		s.failf("snapshot: %v", err)
	}
	other, err := s.replica.Snapshot()
	if err != nil || !bytes.Equal(data, other) {
		s.failf("snapshots of the replicas differ, error %v", err)
	}
	s.staleMachine = s.machine
	s.machine = New(Options{})
	if err := s.machine.Restore(data); err != nil {
		s.failf("restore: %v", err)
	}
	if !reflect.DeepEqual(s.machine.VMs(), s.replica.VMs()) {
		s.failf("VMs differ after a restore")
	}
	for id := range s.accepted {
		_, kept := s.machine.Tasks().Get(id)
		if _, ended := s.ended[id]; !kept && !ended {
			s.failf("task %s is lost", id)
		}
	}
}

// runWithoutFaults runs six hours without faults and checks that every step, pass and task ends.
func (s *simulation) runWithoutFaults() {
	s.faultFree = true
	s.partitionedUntil = time.Time{}
	s.inFlight = nil
	for _, id := range []csmodel.WaveID{"0", "1"} {
		s.apply(ResumeWave{Wave: id, Operator: true})
	}
	from := s.now
	for s.now.Before(from.Add(6 * time.Hour)) {
		s.step()
	}
	for _, v := range s.machine.VMs() {
		if v.State != Serving && v.Step != StepReboot || v.Lent() {
			s.failf("VM %s is stuck in state %d of pool %s, home %s", v.ID, v.State, v.Pool, v.Home)
		}
		if v.Maintained.Before(from) {
			s.failf("VM %s was last maintained at %s, before %s; waves %+v", v.ID, v.Maintained, from, s.progress)
		}
	}
	if c := s.machine.Tasks().Counts(); c.Waiting+c.Leased > 0 {
		s.failf("%d tasks wait and %d are leased, want none", c.Waiting, c.Leased)
	}
	finished := 0
	for _, state := range s.ended {
		if state == cstask.StateFinished {
			finished++
		}
	}
	s.t.Logf("seed %d: %d commands, %d tasks accepted, %d finished", s.seed, s.commands, len(s.accepted), finished)
}
