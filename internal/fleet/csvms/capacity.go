package csvms

import (
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Capacity implements csrun.Fleet.
func (f *Fleet) Capacity() csrun.VMCapacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := csrun.VMCapacity{
		ByPool: map[csmodel.PoolID]csmodel.MilliCPU{}, Idle: map[csmodel.PoolID]csmodel.MilliCPU{}, MoveTime: f.options.MoveTime,
	}
	for id, v := range f.vms {
		pool := v.Pool
		if o := f.openOrders[id]; o != nil && o.order.Pool != "" {
			pool = o.order.Pool
		} else if res := f.reservations[id]; res != nil && res.order.Pool != "" {
			pool = res.order.Pool
		}
		c.ByPool[pool] += v.Resources.CPU
		if _, idle := f.idleSince[id]; idle {
			c.Idle[pool] += v.Resources.CPU
		}
	}
	return c
}
