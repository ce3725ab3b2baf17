package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Pattern: a pool runs a few large jobs of several steps, and the arrivals per second vary between none and twice its
// capacity. Guards against allocating VMs for each peak, which are idle until the later steps start.
func TestNeedRampsOverMakespan(t *testing.T) {
	const after = 2500 * time.Millisecond
	cases := []struct {
		name   string
		demand PoolDemand
		want   csmodel.MilliCPU
	}{
		{"short jobs arrive", PoolDemand{Offered: 2000, CriticalPath: time.Second}, 2000},
		{"makespan unknown", PoolDemand{Offered: 2000}, 2000},
		{"long jobs begin to arrive", PoolDemand{Offered: 2000, CriticalPath: 5 * time.Second}, 1000},
		{"long jobs run", PoolDemand{Running: 1600, Waiting: 200, Offered: 4000, CriticalPath: 5 * time.Second}, 2900},
		{"no arrivals", PoolDemand{Running: 1600, Waiting: 200, CriticalPath: 5 * time.Second}, 1800},
		{"long-running tasks", PoolDemand{LongRunning: 300, Offered: 2000, CriticalPath: 5 * time.Second}, 1300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.demand.CapacityNeeded(after); got != c.want {
				t.Errorf("got need of %d thousandths of a core, want %d", got, c.want)
			}
		})
	}
}

// Guards against losing the makespan between two busy phases, so that the next phase counts as one of short jobs.
func TestMakespanIsKeptWithoutArrivals(t *testing.T) {
	o := offeredLoad{arrivals: []Arrival{
		{Pool: "long", Work: 3000, CriticalPath: 6 * time.Second},
		{Pool: "long", Work: 1000, CriticalPath: 2 * time.Second},
		{Pool: "short", Work: 10, CriticalPath: time.Second},
	}}
	o.updateMakespans()
	o.arrivals = nil
	o.updateMakespans()
	for _, c := range []struct {
		pool csmodel.PoolID
		want time.Duration
	}{{"long", 5 * time.Second}, {"short", time.Second}, {"other", 0}} {
		if got := o.makespans[c.pool]; got != c.want {
			t.Errorf("got makespan %s for pool %s, want %s", got, c.pool, c.want)
		}
	}
}
