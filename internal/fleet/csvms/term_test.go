package csvms

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// TestOrdersDieWithTheirTerm guards against the order of an earlier leader that the group hands on to the next one, which has
// not emptied the VM.
func TestOrdersDieWithTheirTerm(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 2})
	s.do(csjob.Command{Wave: &csjob.Wave{ID: "1", AtOnce: 1, Deadline: time.Second, VMs: csmodel.SortedKeys(s.cloud.vms)}})
	s.group.later = 1
	proposed := 0
	s.run(10*time.Second, func(table *csjob.Table) bool {
		if got := len(table.VMOrders()); got > 0 {
			t.Fatalf("got %d orders from the leader of an earlier term, want none", got)
		}
		if len(s.fleet.reserved) > 0 {
			proposed++
		}
		return proposed > 50
	})
}
