package csvms

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against refusals of jobs for which VMs are on their way: a VM counts for the pool that it is ordered or reserved for, in every
// phase.
func TestCapacityCountsVMsOnTheirWay(t *testing.T) {
	f := New(Options{Log: zap.NewNop(), MoveTime: 1500 * time.Millisecond})
	vm := func(id csmodel.VMID, pool csmodel.PoolID, p Phase) {
		f.vms[id] = VM{ID: id, Pool: pool, Phase: p, Resources: csjob.Resources{CPU: 32_000}}
	}
	vm("up", "a", Up)
	vm("maintained", "a", InMaintenance)
	vm("idle", "b", Up)
	vm("reserved", "b", Up)
	vm("ordered", "standby", Down)
	vm("off", "standby", Down)
	f.idleSince["idle"] = time.Unix(1, 0)
	f.reservations["reserved"] = &reservation{order: csjob.VMOrder{VM: "reserved", Pool: "a"}}
	f.openOrders["ordered"] = &openOrder{order: csjob.VMOrder{VM: "ordered", Pool: "a"}}
	c := f.Capacity()
	for pool, want := range map[csmodel.PoolID]csmodel.MilliCPU{"a": 4 * 32_000, "b": 32_000, "standby": 32_000} {
		if got := c.ByPool[pool]; got != want {
			t.Errorf("got %d for pool %s, want %d", got, pool, want)
		}
	}
	if got, want := c.Idle["b"], csmodel.MilliCPU(32_000); got != want || c.Idle["a"] != 0 {
		t.Errorf("got %d idle in pool b and %d in pool a, want %d and none", got, c.Idle["a"], want)
	}
	if got, want := c.MoveTime, 1500*time.Millisecond; got != want {
		t.Errorf("got a move time of %s, want %s", got, want)
	}
}
