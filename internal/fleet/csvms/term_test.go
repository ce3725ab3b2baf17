package csvms

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// TestOrdersExpireWithTerm guards against an order of an earlier leader that the group hands on to the next one, which has not
// drained the VM.
func TestOrdersExpireWithTerm(t *testing.T) {
	t.Parallel()
	h := newHarness(t, map[csmodel.PoolID]int{"a": 2})
	h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", MaxConcurrent: 1, Deadline: time.Second, VMs: csmodel.SortedKeys(h.platform.vms)}})
	h.group.termOffset = 1
	proposed := 0
	h.runUntil(10*time.Second, func(table *csjob.Table) bool {
		if got := len(table.VMOrders()); got > 0 {
			t.Fatalf("got %d orders from the leader of an earlier term, want none", got)
		}
		if len(h.fleet.reservations) > 0 {
			proposed++
		}
		return proposed > 50
	})
}
