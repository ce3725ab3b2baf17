package csfleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

const (
	benchVMs   = 3200
	benchPools = 101
)

func benchFleet(b *testing.B) (*Machine, ActiveConfiguration, Observations) {
	m := New(Options{})
	a := ActiveConfiguration{Region: "r", Revision: 1}
	c := &a.Configuration
	wave := csconfig.Wave{Name: "w", Start: epoch, Period: 6 * 7 * 24 * time.Hour, Parallel: 64, Losses: 20}
	for i := range benchPools {
		id := csmodel.PoolID(fmt.Sprintf("pool%d", i))
		c.Pools = append(c.Pools, csconfig.Pool{Name: id, Region: "r", Size: benchVMs / benchPools, Budget: 3})
		wave.Pools = append(wave.Pools, id)
	}
	c.Waves = append(c.Waves, wave)
	m.Do(Configure{Revision: 1, Pools: c.Pools}, epoch)
	var o Observations
	for i := range benchVMs {
		v := RegisterVM{
			VM: csmodel.VMID(fmt.Sprintf("vm-%05d", i)), Home: csmodel.PoolID(fmt.Sprintf("pool%d", i%benchPools)),
			Zone: csmodel.AvailabilityZone(fmt.Sprint(i % 4)), Rack: csmodel.Rack(fmt.Sprint(i / 4)), Incarnation: 1,
		}
		if r := m.Do(v, epoch); r.Status != OK {
			b.Fatalf("register: status %d", r.Status)
		}
		o.VMs = append(o.VMs, Observation{VM: v.VM, Incarnation: 1, Zone: v.Zone, Rack: v.Rack, Pool: v.Home, Fence: 1})
	}
	return m, a, o
}

// BenchmarkPlan measures ticks at the design size (3200 VMs, 101 pools) while a wave has 64 VMs in maintenance and each
// tick wants moves.
func BenchmarkPlan(b *testing.B) {
	m, a, o := benchFleet(b)
	p := NewPlanner(PlannerOptions{})
	now := epoch
	tick := func() Plan {
		now = now.Add(time.Second)
		for i := range o.VMs {
			o.VMs[i].LastAnnounced = now
		}
		plan := p.Plan(m, a, o, []WantedMoves{{From: "pool1", To: "pool2", Count: 2}}, now)
		for _, c := range plan.Commands {
			m.Do(c, now)
		}
		return plan
	}
	for range 10 {
		tick()
	}
	for b.Loop() {
		plan := tick()
		b.ReportMetric(float64(plan.Waves[0].Active), "active")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e7, "%core")
}

// BenchmarkVM measures the heap and the snapshot size of a VM.
func BenchmarkVM(b *testing.B) {
	for b.Loop() {
		before := heap()
		m, _, o := benchFleet(b)
		o.VMs = nil
		b.ReportMetric((heap()-before)/benchVMs, "heap-B/VM")
		data, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/benchVMs, "snapshot-B/VM")
		runtime.KeepAlive(m)
	}
}

func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkApply measures one encoded step of a VM at the design size.
func BenchmarkApply(b *testing.B) {
	m, _, _ := benchFleet(b)
	start, err := Encode(StartReboot{VM: "vm-00007", Fence: 1})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		m.Apply(csraft.Entry{At: epoch, Data: start})
	}
	b.ReportMetric(float64(len(start)), "entry-B")
}

// BenchmarkCompareBudgets reports the passes that each budget rule completes in a simulated day, in percent of the
// periods.
func BenchmarkCompareBudgets(b *testing.B) {
	seed := uint64(0)
	passes := make(map[string]int)
	periods := make(map[string]int)
	for b.Loop() {
		seed++
		for _, c := range CompareBudgets(seed) {
			k := fmt.Sprintf("escrow=%t,cuts=%t-%%passes", c.Escrow, c.Partitions)
			passes[k] += c.Passes
			periods[k] += c.Periods
			if c.Violations > 0 {
				b.Fatalf("seed %d: %+v", seed, c)
			}
		}
	}
	for k, n := range passes {
		b.ReportMetric(100*float64(n)/float64(periods[k]), k)
	}
}
