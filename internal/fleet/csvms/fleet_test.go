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
	testMoveTime        = 200 * time.Millisecond
	testMaintenanceTime = 150 * time.Millisecond
	testTerm            = 1
)

// Pattern: a wave over all VMs of two pools, two down at once.
func TestWaveConcurrencyLimit(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 3, "b": 2})
	w := csjob.Wave{ID: "1", MaxConcurrent: 2, Deadline: time.Second, VMs: csmodel.SortedKeys(h.platform.vms)}
	h.apply(csjob.Command{Wave: &w})
	h.runUntil(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	if got := h.platform.maxDown; got > w.MaxConcurrent {
		t.Errorf("got %d VMs down at once, want at most %d", got, w.MaxConcurrent)
	}
	for id, restarts := range h.platform.restarts {
		if restarts != 1 {
			t.Errorf("VM %s was restarted %d times, want once", id, restarts)
		}
	}
}

// Pattern: the platform's API for VMs is down when a new leader begins. VMs that are not listed yet do not count as removed, so
// the wave must not be completed without their maintenance.
func TestWaveWaitsForFirstVMList(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 2})
	h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", MaxConcurrent: 2, Deadline: time.Second, VMs: csmodel.SortedKeys(h.platform.vms)}})
	h.platform.mu.Lock()
	h.platform.failingLists = 2
	h.platform.mu.Unlock()
	h.runUntil(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	h.platform.mu.Lock()
	defer h.platform.mu.Unlock()
	for _, id := range csmodel.SortedKeys(h.platform.vms) {
		if got, want := h.platform.restarts[id], 1; got != want {
			t.Errorf("VM %s had its maintenance %d times before the wave was completed, want %d", id, got, want)
		}
	}
}

// Pattern: a list of several pages is read while VMs come and go, and leaves out VMs that still exist. The wave must not be
// completed without their maintenance (rule MIXED).
func TestVMMissingFromOneListIsNotRemoved(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 3})
	h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", MaxConcurrent: 3, Deadline: time.Second, VMs: csmodel.SortedKeys(h.platform.vms)}})
	h.platform.mu.Lock()
	h.platform.hiddenLists["a-1"], h.platform.hiddenLists["a-2"] = 1, 2
	h.platform.mu.Unlock()
	h.runUntil(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	h.platform.mu.Lock()
	defer h.platform.mu.Unlock()
	for _, id := range csmodel.SortedKeys(h.platform.vms) {
		if got, want := h.platform.restarts[id], 1; got != want {
			t.Errorf("VM %s had its maintenance %d times before the wave was completed, want %d", id, got, want)
		}
	}
}

// Pattern: lists leave out a VM. It counts as removed only after enough consecutive lists over enough time, and one list that
// names it restarts the count. A wave over removed VMs must still be completed.
func TestTrackAbsence(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		listed   []bool // whether each list names the VM
		interval time.Duration
		ended    bool // the target that ran there has ended
		want     bool
	}{
		{"one list", []bool{false}, time.Second, false, false},
		{"many lists in a short time", slices.Repeat([]bool{false}, minAbsentLists+1), time.Second, false, false},
		{"two lists far apart", []bool{false, false}, 2 * minAbsentTime, false, false},
		{"its target has ended", slices.Repeat([]bool{false}, minAbsentListsEnded), minAbsentTimeEnded / 2, true, true},
		{"its target has just ended", []bool{true, false, false}, minAbsentTimeEnded, true, false},
		{"listed in between", append(slices.Repeat([]bool{false}, minAbsentLists), true, false, false), minAbsentTime / 4, false, false},
		{"listed last", append(slices.Repeat([]bool{false}, minAbsentLists), true), minAbsentTime / 4, false, false},
		{"missing for long enough", append([]bool{true}, slices.Repeat([]bool{false}, minAbsentLists)...), minAbsentTime / 4, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := New(Options{Log: zap.NewNop()})
			f.lastTargets["a-0"] = "target"
			g := &fakeGroup{}
			if !c.ended {
				incarnation := csjob.Incarnation{Target: "target", StartedAtMs: 1}
				if _, err := g.Propose(t.Context(), csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation}}}}); err != nil {
					t.Fatal(err)
				}
			}
			f.listedAt = time.Unix(1000, 0)
			got := false
			for _, listed := range c.listed {
				f.listedAt = f.listedAt.Add(c.interval)
				for range 3 { // several decisions use one list
					got = f.trackAbsence(&g.table, "a-0", listed)
				}
			}
			if got != c.want {
				t.Errorf("got removed %t, want %t", got, c.want)
			}
		})
	}
}

// Pattern: a VM of a wave is removed for good before its maintenance or during it. The wave must not wait for it forever.
func TestWaveCompletesWithoutRemovedVM(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 2})
	h.apply(csjob.Command{
		Wave: &csjob.Wave{ID: "1", MaxConcurrent: 2, Deadline: time.Second, VMs: []csmodel.VMID{"a-0", "a-1", "removed-0", "removed-1"}},
		VMs:  []csjob.VMOrder{{VM: "removed-1", Wave: "1"}},
	})
	h.runUntil(30*time.Second, func(*csjob.Table) bool { return len(h.fleet.absences) == 2 })
	h.fleet.mu.Lock()
	for _, a := range h.fleet.absences { // as if they had been missing for long enough
		a.lists = minAbsentLists
		a.since = a.since.Add(-minAbsentTime)
	}
	h.fleet.mu.Unlock()
	h.runUntil(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
}

// Pattern: the last open VM of a wave is removed. After the wave the VMs must not be listed again and again, because the platform
// limits and charges listings.
func TestNoListingForRemovedVMAfterWave(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
	h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", MaxConcurrent: 2, Deadline: time.Second, VMs: []csmodel.VMID{"a-0", "removed-0"}}})
	h.runUntil(30*time.Second, func(t *csjob.Table) bool { return len(h.fleet.absences) == 1 && t.Wave("1").Done.Has("a-0") })
	h.fleet.mu.Lock()
	for _, a := range h.fleet.absences { // as if it had been missing for long enough
		a.lists = minAbsentLists
		a.since = a.since.Add(-minAbsentTime)
	}
	h.fleet.mu.Unlock()
	h.runUntil(30*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	h.runUntil(5*time.Second, func(*csjob.Table) bool { return len(h.fleet.absences) == 0 })
}

// Pattern: the leader changes without a fault, because it was slow. The new one must not send an order for a VM within the time
// in which two holders must not do so (rule ONE); the same store need not wait when it leads again.
func TestNewLeaderWaitsForHandoverDelay(t *testing.T) {
	t.Parallel()
	const handoverDelay = 1500 * time.Millisecond
	cases := []struct {
		name   string
		answer bool // the order of the earlier leader is answered
		next   csjob.Holder
		wait   bool
	}{
		{"open order of another holder", false, "b", true},
		{"finished order of another holder", true, "b", true},
		{"open order of the same holder", false, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
			h.platform.limitOrders = !c.answer
			h.leadAs("a", handoverDelay)
			vms := []csmodel.VMID{"a-0"}
			h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", MaxConcurrent: 1, Deadline: time.Second, VMs: vms}})
			h.runUntil(20*time.Second, func(t *csjob.Table) bool {
				h.platform.mu.Lock()
				defer h.platform.mu.Unlock()
				return len(h.platform.sentAt) > 0 && (!c.answer || t.Wave("1").Completed())
			})
			h.fleet.Reset()
			h.platform.mu.Lock()
			h.platform.limitOrders = false
			before, last := len(h.platform.sentAt), h.platform.sentAt[len(h.platform.sentAt)-1]
			h.platform.mu.Unlock()
			h.leadAs(c.next, handoverDelay)
			if c.answer {
				last = time.Now()
				h.apply(csjob.Command{Wave: &csjob.Wave{ID: "2", MaxConcurrent: 1, Deadline: time.Second, VMs: vms}})
			}
			h.runUntil(20*time.Second, func(t *csjob.Table) bool {
				w := t.Wave("2")
				return t.Wave("1").Completed() && (w == nil || w.Completed())
			})
			h.platform.mu.Lock()
			defer h.platform.mu.Unlock()
			gap := h.platform.sentAt[before].Sub(last)
			if got := gap >= handoverDelay; got != c.wait {
				t.Errorf("got the next order after %v, want at least %v: %t", gap, handoverDelay, c.wait)
			}
		})
	}
}

// Pattern: the lease of a leader ends between a decision and its order. A later leader may already have sent an order for the VM.
func TestNoOrderWithoutLease(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
	h.group.notLeading = true
	h.fleet.mu.Lock()
	o := csjob.VMOrder{VM: "a-0", Pool: "a"}
	state := &openOrder{order: o}
	h.fleet.sendOrder(csrun.Round{Now: time.Now(), Fence: 1}, o, state)
	h.fleet.mu.Unlock()
	for busy := true; busy; time.Sleep(time.Millisecond) {
		h.fleet.mu.Lock()
		busy = state.inFlight
		h.fleet.mu.Unlock()
	}
	h.platform.mu.Lock()
	defer h.platform.mu.Unlock()
	if got := len(h.platform.sentAt); got > 0 {
		t.Errorf("got %d orders without a lease, want none", got)
	}
}

// Pattern: the leader is lost after a VM has returned from its maintenance and before that was recorded. The repeated order must
// not end the new incarnation of the VM's target.
func TestRepeatedOrderKeepsNewTarget(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
	before, after := csjob.Incarnation{Target: "a-0.0", StartedAtMs: 1}, csjob.Incarnation{Target: "a-0.1", StartedAtMs: 1}
	h.apply(csjob.Command{
		Wave:    &csjob.Wave{ID: "1", MaxConcurrent: 1, VMs: []csmodel.VMID{"a-0"}, Deadline: time.Second},
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: before, Pool: "a"}}},
		VMs:     []csjob.VMOrder{{VM: "a-0", Wave: "1", Incarnation: before}},
	})
	if _, err := h.platform.Maintain(context.Background(), "a-0", "1", 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * testMaintenanceTime)
	h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: after, Pool: "a"}}}})
	h.lead()
	h.runUntil(20*time.Second, func(t *csjob.Table) bool { return t.Wave("1").Completed() })
	h.group.View(func(table *csjob.Table) {
		if _, ok := table.Target(after.Target); !ok {
			t.Error("the repeated order ended the new incarnation")
		}
		if _, ok := table.Target(before.Target); ok {
			t.Error("the earlier incarnation is still in the table")
		}
	})
}

// Pattern: an availability zone is cut off while VMs there are drained for another pool. They never arrive, so they must not
// count as its supply.
func TestUnresponsiveTargetIsNotSupply(t *testing.T) {
	incarnation := csjob.Incarnation{Target: "a-0.0", StartedAtMs: 1}
	cases := []struct {
		name   string
		usable bool
		want   int // VMs of the other pool
	}{
		{"the target responds", true, 1},
		{"the target does not respond", false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, map[csmodel.PoolID]int{"a": 1, "b": 0})
			h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation, Pool: "a"}}}})
			for _, v := range h.platform.list() {
				h.fleet.vms[v.ID] = v
			}
			h.fleet.reservations["a-0"] = &reservation{order: csjob.VMOrder{VM: "a-0", Pool: "b", Incarnation: incarnation}}
			pools := map[csmodel.PoolID]*PoolView{"a": {ID: "a"}, "b": {ID: "b"}}
			h.group.View(func(table *csjob.Table) {
				h.fleet.collectCandidates(csrun.Round{
					Now: time.Now(), Table: table, Busy: func(csjob.Incarnation) bool { return true },
					Load: func(csjob.Incarnation) csrun.Load { return csrun.Load{} }, Usable: func(csjob.Incarnation) bool { return c.usable },
				}, pools)
			})
			if got := pools["b"].VMs; got != c.want {
				t.Errorf("got %d VMs on their way, want %d", got, c.want)
			}
			if got, want := h.fleet.reservations["a-0"] != nil, c.usable; got != want {
				t.Errorf("got the move still planned %t, want %t", got, want)
			}
		})
	}
}
