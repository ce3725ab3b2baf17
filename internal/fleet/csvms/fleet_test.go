package csvms

import (
	"context"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	testMove   = 200 * time.Millisecond
	testUpkeep = 150 * time.Millisecond
	stageTerm  = 1
)

// Pattern: a wave over all VMs of two pools, two at a time.
func TestWaveKeepsItsLimit(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 3, "b": 2})
	w := csjob.Wave{ID: "1", AtOnce: 2, Deadline: time.Second, VMs: csmodel.SortedKeys(s.cloud.vms)}
	s.do(csjob.Command{Wave: &w})
	s.run(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	if got := s.cloud.most; got > w.AtOnce {
		t.Errorf("got %d VMs down at once, want at most %d", got, w.AtOnce)
	}
	for id, life := range s.cloud.lives {
		if life != 1 {
			t.Errorf("VM %s was restarted %d times, want once", id, life)
		}
	}
}

// Pattern: the interface to the VMs is down when a new leader begins. VMs that it has not listed yet are not removed ones,
// so the wave must not count as completed without their maintenance.
func TestWaveWaitsForTheListOfVMs(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 2})
	s.do(csjob.Command{Wave: &csjob.Wave{ID: "1", AtOnce: 2, Deadline: time.Second, VMs: csmodel.SortedKeys(s.cloud.vms)}})
	s.cloud.mu.Lock()
	s.cloud.silent = 2
	s.cloud.mu.Unlock()
	s.run(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	for _, id := range csmodel.SortedKeys(s.cloud.vms) {
		if got, want := s.cloud.lives[id], 1; got != want {
			t.Errorf("VM %s had its maintenance %d times before the wave was completed, want %d", id, got, want)
		}
	}
}

// Pattern: a list of several pages is read while VMs come and go, and leaves out VMs that stay. The wave must not count as
// completed without their maintenance (rule MIXED).
func TestVMMissingInOneListIsNotRemoved(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 3})
	s.do(csjob.Command{Wave: &csjob.Wave{ID: "1", AtOnce: 3, Deadline: time.Second, VMs: csmodel.SortedKeys(s.cloud.vms)}})
	s.cloud.mu.Lock()
	s.cloud.hidden["a-1"], s.cloud.hidden["a-2"] = 1, 2
	s.cloud.mu.Unlock()
	s.run(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	for _, id := range csmodel.SortedKeys(s.cloud.vms) {
		if got, want := s.cloud.lives[id], 1; got != want {
			t.Errorf("VM %s had its maintenance %d times before the wave was completed, want %d", id, got, want)
		}
	}
}

// Pattern: lists leave out a VM. It counts as removed only by enough lists in a row over enough time, and one list that
// names it starts the count anew. A wave over VMs that are removed must still be completed.
func TestEvidenceThatAVMIsRemoved(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		listed []bool // in the lists so far
		every  time.Duration
		ended  bool // the target that ran there
		want   bool
	}{
		{"one list", []bool{false}, time.Second, false, false},
		{"many lists within a moment", slices.Repeat([]bool{false}, absentLists+1), time.Second, false, false},
		{"two lists far apart", []bool{false, false}, 2 * absentFor, false, false},
		{"its target has ended", slices.Repeat([]bool{false}, endedAbsentLists), endedAbsentFor / 2, true, true},
		{"its target has just ended", []bool{true, false, false}, endedAbsentFor, true, false},
		{"named in between", append(slices.Repeat([]bool{false}, absentLists), true, false, false), absentFor / 4, false, false},
		{"named last", append(slices.Repeat([]bool{false}, absentLists), true), absentFor / 4, false, false},
		{"absent for long", append([]bool{true}, slices.Repeat([]bool{false}, absentLists)...), absentFor / 4, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := New(Options{Log: zap.NewNop()})
			f.tenants["a-0"] = "target"
			g := &group{}
			if !c.ended {
				life := csjob.Life{Target: "target", Born: 1}
				if _, err := g.Propose(t.Context(), csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life}}}}); err != nil {
					t.Fatal(err)
				}
			}
			f.listedAt = time.Unix(1000, 0)
			got := false
			for _, listed := range c.listed {
				f.listedAt = f.listedAt.Add(c.every)
				for range 3 { // several decisions use one list
					got = f.removed(&g.table, "a-0", listed)
				}
			}
			if got != c.want {
				t.Errorf("got removed %t, want %t", got, c.want)
			}
		})
	}
}

// Pattern: a VM of a wave is removed for good before its maintenance or during it. The wave must not wait for it for ever.
func TestWaveEndsWithoutARemovedVM(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 2})
	s.do(csjob.Command{
		Wave: &csjob.Wave{ID: "1", AtOnce: 2, Deadline: time.Second, VMs: []csmodel.VMID{"a-0", "a-1", "removed-0", "removed-1"}},
		VMs:  []csjob.VMOrder{{VM: "removed-1", Wave: "1"}},
	})
	s.run(30*time.Second, func(*csjob.Table) bool { return len(s.fleet.absences) == 2 })
	s.fleet.mu.Lock()
	for _, a := range s.fleet.absences { // as if the lists had left them out for long
		a.lists = absentLists
		a.since = a.since.Add(-absentFor)
	}
	s.fleet.mu.Unlock()
	s.run(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
}

// Pattern: the last open VM of a wave is removed. The list of VMs must not be asked for again and again after the wave, because
// the platform bounds and charges the readings.
func TestRemovedVMIsNotLookedForAfterItsWave(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	s.do(csjob.Command{Wave: &csjob.Wave{ID: "1", AtOnce: 2, Deadline: time.Second, VMs: []csmodel.VMID{"a-0", "removed-0"}}})
	s.run(30*time.Second, func(t *csjob.Table) bool { return len(s.fleet.absences) == 1 && t.Wave("1").Done.Has("a-0") })
	s.fleet.mu.Lock()
	for _, a := range s.fleet.absences { // as if the lists had left it out for long
		a.lists = absentLists
		a.since = a.since.Add(-absentFor)
	}
	s.fleet.mu.Unlock()
	s.run(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	s.run(5*time.Second, func(*csjob.Table) bool { return len(s.fleet.absences) == 0 })
}

// Pattern: the leader changes without a fault, because it was slow. The new one must not order a VM within the time in which
// two holders must not take turns (rule ONE); the same store that leads again need not wait.
func TestNewLeaderWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	const turn = 1500 * time.Millisecond
	cases := []struct {
		name   string
		answer bool // the order of the earlier leader is answered
		next   csjob.Holder
		wait   bool
	}{
		{"open order of another holder", false, "b", true},
		{"order of another holder that has ended", true, "b", true},
		{"open order of the same holder", false, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, map[csmodel.PoolID]int{"a": 1})
			s.cloud.mute = !c.answer
			s.leadAs("a", turn)
			vms := []csmodel.VMID{"a-0"}
			s.do(csjob.Command{Wave: &csjob.Wave{ID: "1", AtOnce: 1, Deadline: time.Second, VMs: vms}})
			s.run(20*time.Second, func(t *csjob.Table) bool {
				s.cloud.mu.Lock()
				defer s.cloud.mu.Unlock()
				return len(s.cloud.sentAt) > 0 && (!c.answer || t.Wave("1").Completed())
			})
			s.fleet.Reset()
			s.cloud.mu.Lock()
			s.cloud.mute = false
			before, last := len(s.cloud.sentAt), s.cloud.sentAt[len(s.cloud.sentAt)-1]
			s.cloud.mu.Unlock()
			s.leadAs(c.next, turn)
			if c.answer {
				last = time.Now()
				s.do(csjob.Command{Wave: &csjob.Wave{ID: "2", AtOnce: 1, Deadline: time.Second, VMs: vms}})
			}
			s.run(20*time.Second, func(t *csjob.Table) bool {
				w := t.Wave("2")
				return t.Wave("1").Completed() && (w == nil || w.Completed())
			})
			s.cloud.mu.Lock()
			defer s.cloud.mu.Unlock()
			gap := s.cloud.sentAt[before].Sub(last)
			if got := gap >= turn; got != c.wait {
				t.Errorf("got the next order after %v, want at least %v: %t", gap, turn, c.wait)
			}
		})
	}
}

// Pattern: the lease of a leader ends between a decision and its order. A later leader may order the VM already.
func TestNoOrderWithoutALease(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	s.group.follows = true
	s.fleet.mu.Lock()
	o := csjob.VMOrder{VM: "a-0", Pool: "a"}
	call := &orderCall{order: o}
	s.fleet.call(csrun.Round{Now: time.Now(), Fence: 1}, o, call)
	s.fleet.mu.Unlock()
	for busy := true; busy; time.Sleep(time.Millisecond) {
		s.fleet.mu.Lock()
		busy = call.busy
		s.fleet.mu.Unlock()
	}
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	if got := len(s.cloud.sentAt); got > 0 {
		t.Errorf("got %d orders without a lease, want none", got)
	}
}

// Pattern: the leader is lost after a VM has come back from its maintenance and before that was recorded. The repeated
// order must not end the new life of the VM's target.
func TestRepeatedOrderSparesTheNewLife(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	before, after := csjob.Life{Target: "a-0.0", Born: 1}, csjob.Life{Target: "a-0.1", Born: 1}
	s.do(csjob.Command{
		Wave:    &csjob.Wave{ID: "1", AtOnce: 1, VMs: []csmodel.VMID{"a-0"}, Deadline: time.Second},
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: before, Pool: "a"}}},
		VMs:     []csjob.VMOrder{{VM: "a-0", Wave: "1", Life: before}},
	})
	if _, err := s.cloud.Maintain(context.Background(), "a-0", "1", 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * testUpkeep)
	s.do(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: after, Pool: "a"}}}})
	s.lead()
	s.run(20*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	s.group.View(func(table *csjob.Table) {
		if _, ok := table.Target(after.Target); !ok {
			t.Error("the repeated order has ended the new life")
		}
		if _, ok := table.Target(before.Target); ok {
			t.Error("the earlier life is still in the table")
		}
	})
}

// Pattern: a zone is cut off while VMs there are emptied for another pool. They never arrive, so they must not count as its
// supply.
func TestSilentTargetIsNoSupply(t *testing.T) {
	life := csjob.Life{Target: "a-0.0", Born: 1}
	cases := []struct {
		name   string
		usable bool
		want   int // VMs of the other pool
	}{
		{"the target answers", true, 1},
		{"the target is silent", false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t, map[csmodel.PoolID]int{"a": 1, "b": 0})
			s.do(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life, Pool: "a"}}}})
			for _, v := range s.cloud.list() {
				s.fleet.vms[v.ID] = v
			}
			s.fleet.reserved["a-0"] = &reservation{order: csjob.VMOrder{VM: "a-0", Pool: "b", Life: life}}
			pools := map[csmodel.PoolID]*PoolView{"a": {ID: "a"}, "b": {ID: "b"}}
			s.group.View(func(table *csjob.Table) {
				s.fleet.candidates(csrun.Round{
					Now: time.Now(), Table: table, Busy: func(csjob.Life) bool { return true },
					Load: func(csjob.Life) csrun.Load { return csrun.Load{} }, Usable: func(csjob.Life) bool { return c.usable },
				}, pools)
			})
			if got := pools["b"].VMs; got != c.want {
				t.Errorf("got %d VMs on their way, want %d", got, c.want)
			}
			if got, want := s.fleet.reserved["a-0"] != nil, c.usable; got != want {
				t.Errorf("got the move still planned %t, want %t", got, want)
			}
		})
	}
}
