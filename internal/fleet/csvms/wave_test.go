package csvms

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Pattern: a wave begins while idle VMs are on their way to the standby pool. Guards against a wave that takes VMs which
// pools need in the place of those.
func TestWaveWaitsForVMsThatAreParked(t *testing.T) {
	now := time.Now()
	const moved, waiting = 4, 8
	var vms []csmodel.VMID
	f := Fleet{vms: map[csmodel.VMID]VM{}, o: Options{Upkeep: 2 * time.Second}}
	for i := range moved + waiting {
		id := csmodel.VMID(fmt.Sprintf("vm-%02d", i))
		f.vms[id] = VM{ID: id, Pool: "pool", Phase: Up}
		vms = append(vms, id)
	}
	f.vms["vm-00"] = VM{ID: "vm-00", Pool: "standby", Phase: Moving}
	f.reserved = map[csmodel.VMID]*reservation{"vm-01": {order: csjob.VMOrder{VM: "vm-01", Pool: "standby"}}}
	table := &csjob.Table{}
	pool, standby := view("pool", waiting, waiting*vmCPU), view("standby", moved, 0)
	standby.Standby = true
	s := &survey{byID: map[csmodel.PoolID]*PoolView{"pool": pool, "standby": standby}}
	for i, want := range []bool{true, true, false, false} {
		if got := f.parking(table, s, vms[i]); got != want {
			t.Errorf("got %t for VM %s, want %t", got, vms[i], want)
		}
	}
	w := &csjob.WaveState{Wave: csjob.Wave{AtOnce: 10, VMs: vms, Deadline: 20 * time.Second}, Accepted: now}
	pace := f.pace(now, w)
	if pace < 2 {
		t.Fatalf("got a pace of %d, want at least 2", pace)
	}
	for _, c := range []struct{ parking, want int }{{0, pace}, {pace - 1, 1}, {pace, 0}, {pace + 1, 0}} {
		if got := len(f.pickWave(csrun.Round{Now: now, Table: table}, s, w, vms[moved:], 0, c.parking)); got != c.want {
			t.Errorf("got %d needed VMs taken while %d are parked, want %d", got, c.parking, c.want)
		}
	}
}
