package csvms

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Pattern: a wave begins while idle VMs are on their way to the standby pool. Guards against a wave that takes VMs in use in the
// place of those.
func TestWaveCountsVMsMovingToStandby(t *testing.T) {
	now := time.Now()
	const moved, waiting = 4, 8
	var vms []csmodel.VMID
	f := Fleet{vms: map[csmodel.VMID]VM{}, options: Options{MaintenanceTime: 2 * time.Second}}
	for i := range moved + waiting {
		id := csmodel.VMID(fmt.Sprintf("vm-%02d", i))
		f.vms[id] = VM{ID: id, Pool: "pool", Phase: Up}
		vms = append(vms, id)
	}
	f.vms["vm-00"] = VM{ID: "vm-00", Pool: "standby", Phase: Moving}
	f.reservations = map[csmodel.VMID]*reservation{"vm-01": {order: csjob.VMOrder{VM: "vm-01", Pool: "standby"}}}
	table := &csjob.Table{}
	pool, standby := poolView("pool", waiting, waiting*vmCPU), poolView("standby", moved, 0)
	standby.Standby = true
	view := &fleetView{byID: map[csmodel.PoolID]*PoolView{"pool": pool, "standby": standby}}
	for i, want := range []bool{true, true, false, false} {
		if got := f.movingToStandby(table, view, vms[i]); got != want {
			t.Errorf("got %t for VM %s, want %t", got, vms[i], want)
		}
	}
	w := &csjob.WaveState{Wave: csjob.Wave{MaxConcurrent: 10, VMs: vms, Deadline: 20 * time.Second}, Accepted: now}
	concurrency := f.requiredConcurrency(now, w)
	if concurrency < 2 {
		t.Fatalf("got a concurrency of %d, want at least 2", concurrency)
	}
	for _, c := range []struct{ moving, want int }{{0, concurrency}, {concurrency - 1, 1}, {concurrency, 0}, {concurrency + 1, 0}} {
		if got := len(f.selectWaveVMs(csrun.Round{Now: now, Table: table}, view, w, vms[moved:], 0, c.moving)); got != c.want {
			t.Errorf("got %d VMs in use taken while %d move to standby, want %d", got, c.moving, c.want)
		}
	}
}
