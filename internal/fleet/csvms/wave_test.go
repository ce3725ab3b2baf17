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

// Pattern: half of 1,100 VMs, each with runs, are due for maintenance. Guards against decisions that sum up the runs of a VM for
// each comparison with another one: they took more than the processor of a store has.
func TestWaveSumsUpEachVMOnce(t *testing.T) {
	const size = 1100
	h := newHarness(t, map[csmodel.PoolID]int{"pool": size})
	for _, v := range h.platform.list() {
		target := csjob.Target{Incarnation: csjob.Incarnation{Target: v.Target, StartedAtMs: 1}, Pool: v.Pool}
		h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: target}}})
	}
	proposeWave(t, h.group, h.platform)
	loads := 0
	decide := func() {
		loads = 0
		h.group.View(func(table *csjob.Table) {
			h.fleet.Round(csrun.Round{
				Now: time.Now(), Table: table, Fence: testTerm, Demand: csrun.Demand{}, Arrivals: func() []csrun.Arrival { return nil },
				Busy: func(csjob.Incarnation) bool { return true }, Usable: func(csjob.Incarnation) bool { return true },
				Load: func(csjob.Incarnation) csrun.Load { loads++; return csrun.Load{DrainTime: time.Second} },
			})
		})
	}
	for deadline := time.Now().Add(10 * time.Second); loads == 0 && time.Now().Before(deadline); time.Sleep(decisionInterval) {
		decide() // the first one requests the list of VMs
	}
	if got, want := loads, size; got == 0 || got > want {
		t.Errorf("got %d sums of runs in one decision about %d VMs, want at most %d", got, size, want)
	}
}

// Pattern: 1,100 VMs on a store with little processor time. Guards against decisions about VMs that leave no time for starts, and
// against a long pause after a decision that was interrupted.
func TestDecisionsTakeABoundedShareOfTheTime(t *testing.T) {
	for _, c := range []struct{ took, want time.Duration }{
		{0, decisionInterval},
		{time.Millisecond, decisionInterval},
		{10 * time.Millisecond, 200 * time.Millisecond},
		{time.Second, maxDecisionInterval},
	} {
		if got := decisionPause(c.took); got != c.want {
			t.Errorf("got a pause of %v after a decision of %v, want %v", got, c.took, c.want)
		}
	}
}

// Pattern: the last VMs of a wave are idle while another pool becomes busy. Guards against a wave that misses its deadline because one of
// them is moved and returns with new runs, and against VMs that are kept from other pools while there is time for a move.
func TestWaveKeepsItsLastVMsFromMoving(t *testing.T) {
	now := time.Now()
	candidates := idleVMs("pool", 4, now)
	w := &csjob.WaveState{Wave: csjob.Wave{Deadline: 20 * time.Second}, Accepted: now}
	for _, c := range []struct {
		left time.Duration // until the deadline
		want int           // movable VMs
	}{{20 * time.Second, 4}, {9500 * time.Millisecond, 4}, {8500 * time.Millisecond, 2}, {2 * time.Second, 2}} {
		f := Fleet{noTimeToMove: csmodel.NewSet[csmodel.VMID](), options: Options{MaintenanceTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond}}
		f.keepFromMoving(now.Add(20*time.Second-c.left), w, []csmodel.VMID{candidates[0].ID, candidates[1].ID})
		if got := len(f.movable(candidates)); got != c.want {
			t.Errorf("%s left: got %d movable VMs, want %d", c.left, got, c.want)
		}
	}
}

// Guards against a wave that waits for late runs until its deadline has passed, and against late runs that are stopped while there is time
// for them to end.
func TestMaintenanceIsDue(t *testing.T) {
	now := time.Now()
	f := Fleet{options: Options{MaintenanceTime: 2 * time.Second}}
	w := &csjob.WaveState{Wave: csjob.Wave{Deadline: 20 * time.Second}, Accepted: now}
	downtime := 2*time.Second + maintenanceOverhead
	for _, c := range []struct {
		left time.Duration
		want bool
	}{{20 * time.Second, false}, {downtime + time.Second, false}, {downtime, true}, {-time.Second, true}} {
		if got := f.timeLeft(now.Add(20*time.Second-c.left), w) <= 0; got != c.want {
			t.Errorf("%s left: got %t, want %t", c.left, got, c.want)
		}
	}
}
