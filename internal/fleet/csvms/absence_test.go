package csvms

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// TestRelistedVMIsMaintained guards against a wave that counts as completed without the maintenance of a VM that still exists
// (rule MIXED): the VM is missing from lists for so long that it counts as removed, and is listed again during the wave.
func TestRelistedVMIsMaintained(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		ordered []csjob.VMOrder // before the VM was missing
	}{
		{"not ordered", nil},
		{"ordered", []csjob.VMOrder{{VM: "a-1", Wave: "1"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, map[csmodel.PoolID]int{"a": 2})
			h.platform.mu.Lock()
			h.platform.limitOrders, h.platform.hiddenLists["a-1"] = true, 1000
			h.platform.mu.Unlock()
			h.apply(csjob.Command{
				Wave: &csjob.Wave{ID: "1", MaxConcurrent: 2, Deadline: time.Second, VMs: csmodel.SortedKeys(h.platform.vms)}, VMs: c.ordered,
			})
			h.runUntil(10*time.Second, func(*csjob.Table) bool { return h.fleet.absences["a-1"] != nil })
			h.fleet.mu.Lock()
			h.fleet.absences["a-1"].lists = minAbsentLists // as if it had been missing for long enough
			h.fleet.absences["a-1"].since = h.fleet.listedAt.Add(-minAbsentTime)
			h.fleet.mu.Unlock()
			h.runUntil(10*time.Second, func(table *csjob.Table) bool { return table.Wave("1").Done.Has("a-1") })
			h.platform.mu.Lock()
			h.platform.hiddenLists["a-1"] = 0
			h.platform.mu.Unlock()
			h.runUntil(10*time.Second, func(*csjob.Table) bool {
				h.fleet.mu.Lock()
				defer h.fleet.mu.Unlock()
				_, listed := h.fleet.vms["a-1"]
				return listed
			})
			h.platform.mu.Lock()
			h.platform.limitOrders = false
			h.platform.mu.Unlock()
			h.runUntil(30*time.Second, func(table *csjob.Table) bool { return table.Wave("1").Completed() })
			h.platform.mu.Lock()
			defer h.platform.mu.Unlock()
			if got, want := h.platform.restarts["a-1"], 1; got != want {
				t.Errorf("got %d maintenances of the VM before the wave was completed, want %d", got, want)
			}
		})
	}
}

// TestRelistedVMIsMaintainedOnce guards against a second order for a VM whose maintenance was accepted before it was missing from
// lists: the platform takes the order for done, and the new target there would count as ended although it runs.
func TestRelistedVMIsMaintainedOnce(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 1})
	h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", MaxConcurrent: 2, Deadline: time.Second, VMs: []csmodel.VMID{"a-0", "removed-0"}}})
	h.runUntil(10*time.Second, func(*csjob.Table) bool {
		h.fleet.mu.Lock()
		defer h.fleet.mu.Unlock()
		state := h.fleet.openOrders["a-0"]
		return state != nil && !state.acceptedAt.IsZero()
	})
	h.platform.mu.Lock()
	h.platform.hiddenLists["a-0"] = 1000
	h.platform.mu.Unlock()
	h.runUntil(10*time.Second, func(*csjob.Table) bool { return h.fleet.absences["a-0"] != nil })
	h.fleet.mu.Lock()
	h.fleet.absences["a-0"].lists = minAbsentLists // as if it had been missing for long enough
	h.fleet.absences["a-0"].since = h.fleet.listedAt.Add(-minAbsentTime)
	h.fleet.mu.Unlock()
	h.runUntil(10*time.Second, func(table *csjob.Table) bool { return table.Wave("1").Done.Has("a-0") })
	h.platform.mu.Lock()
	h.platform.hiddenLists["a-0"] = 0
	h.platform.mu.Unlock()
	end := time.Now().Add(2 * time.Second) // long enough for two lists
	h.runUntil(10*time.Second, func(*csjob.Table) bool { return time.Now().After(end) })
	h.platform.mu.Lock()
	defer h.platform.mu.Unlock()
	if got, want := len(h.platform.sentAt), 1; got != want {
		t.Errorf("got %d orders, want %d", got, want)
	}
}
