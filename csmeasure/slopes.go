package csmeasure

import (
	"fmt"
	"runtime"
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstarget"
	"cowslipstream.example/cowslipstream/cstask"
)

// Sizes of the slopes.
const (
	designVMs   = 3200
	designPools = 101
	designNodes = 20
	slopeTasks  = 50_000
	slopeLeast  = time.Second // shortest time that a loop is measured for
)

// Slope is the cost of one item.
type Slope struct {
	Name string `json:"name"`
	// Bytes is the heap that an item keeps, or the size of a message or log entry as the name says. It is 0 where none is
	// measured.
	Bytes float64 `json:"bytes,omitempty"`
	// Nanoseconds is the processor time on one core.
	Nanoseconds float64 `json:"nanoseconds,omitempty"`
}

// Slopes measures all costs.
func Slopes() []Slope {
	var all []Slope
	all = append(all, targetSlopes()...)
	all = append(all, leaseSlopes()...)
	all = append(all, configurationSlopes()...)
	all = append(all, requestSlopes()...)
	all = append(all, taskSlopes()...)
	all = append(all, fleetSlopes()...)
	return append(all, policySlopes()...)
}

// loop returns the mean time of a call. It calls f in growing numbers until the loop takes long enough.
func loop(f func(i int)) float64 {
	done := 0
	for count := 1; ; count *= 2 {
		begin := time.Now()
		for range count {
			f(done)
			done++
		}
		if took := time.Since(begin); took >= slopeLeast {
			return float64(took.Nanoseconds()) / float64(count)
		}
	}
}

// once returns the mean time of count calls and the heap that each keeps. keep is what holds the result.
func once(count int, f func(i int), keep any) (nanoseconds, bytes float64) {
	before := heapBytes()
	begin := time.Now()
	for i := range count {
		f(i)
	}
	took := time.Since(begin)
	after := heapBytes()
	runtime.KeepAlive(keep)
	return float64(took.Nanoseconds()) / float64(count), (after - before) / float64(count)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

func announcement(i int) cstarget.Announcement {
	return cstarget.Announcement{
		ID: vmName(i), Incarnation: 1, Sequence: 1, Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		Zone: csmodel.AvailabilityZone(fmt.Sprint(i % 4)), Rack: csmodel.Rack(fmt.Sprint(i / 4)), Pool: poolName(i),
		Slots: slotsPerVM, Connections: 64, Cores: 32_000, Memory: memory,
	}
}

func vmName(i int) csmodel.VMID     { return csmodel.VMID(fmt.Sprintf("vm-%05d", i)) }
func poolName(i int) csmodel.PoolID { return csmodel.PoolID(fmt.Sprintf("pool%03d", i%designPools)) }

// targetSlopes measures the registry of a node with its part of the design size.
func targetSlopes() []Slope {
	const count = designVMs / designNodes
	r := cstarget.NewRegistry(cstarget.Config{Node: "n", Started: epoch})
	announcements := make([]cstarget.Announcement, count)
	for i := range announcements {
		announcements[i] = announcement(i)
	}
	_, bytes := once(count, func(i int) {
		r.Announce(epoch, announcements[i])
		r.SetOwnership(epoch, cstarget.Ownership{VM: announcements[i].ID, Pool: announcements[i].Pool, Fence: 1, Usable: true})
	}, r)
	announce := loop(func(i int) {
		a := &announcements[i%count]
		a.Sequence++
		r.Announce(epoch.Add(time.Duration(i)*time.Microsecond), *a)
	})
	summaries := loop(func(int) { r.Summaries(epoch, nil) })
	return []Slope{
		{Name: "target record", Bytes: bytes},
		{Name: "announcement", Nanoseconds: announce},
		{Name: fmt.Sprintf("summaries of %d targets in %d pools", count, designPools), Nanoseconds: summaries},
	}
}

// leaseSlopes measures the slot leases of one node with 20 home nodes, 160 targets each and 101 pools.
func leaseSlopes() []Slope {
	const count = designVMs / designNodes
	r := cstarget.NewRegistry(cstarget.Config{Node: "home00", Started: epoch})
	for i := range count {
		a := announcement(i)
		a.Zone = "0" // targets announce to a node of their availability zone
		r.Announce(epoch, a)
		r.SetOwnership(epoch, cstarget.Ownership{VM: a.ID, Pool: a.Pool, Fence: 1, Usable: true})
	}
	pools := r.Summaries(epoch, nil)
	h := cstarget.NewHolder(cstarget.HolderConfig{Node: "n", Incarnation: 1, Zone: "0"})
	for i := range designNodes {
		h.SetSummaries(csmodel.NodeID(fmt.Sprintf("home%02d", i)), pools)
	}
	var demand []cstarget.PoolDemand
	for i := range designPools {
		h.SetDemand(csmodel.SlotDemand{Pool: poolName(i), Local: 4, Remote: 2})
		demand = append(demand, cstarget.PoolDemand{Pool: poolName(i), Slots: 4})
	}
	requests := loop(func(int) { h.Requests(epoch) })
	grant := loop(func(i int) {
		r.Grantor().Request(epoch, cstarget.SlotRequest{Node: "n", Incarnation: 1, Sequence: uint64(i) + 1, Demand: demand})
	})
	return []Slope{
		{Name: fmt.Sprintf("slot requests of a node, every 20 ms, %d home nodes", designNodes), Nanoseconds: requests},
		{Name: fmt.Sprintf("slot grant by a home node with %d targets", count), Nanoseconds: grant},
	}
}

// taskSlopes measures the task table.
func taskSlopes() []Slope {
	t := cstask.New(cstask.Limits{})
	submissions := make([]cstask.Submit, slopeTasks)
	for i := range submissions {
		submissions[i] = cstask.Submit{
			ID: csmodel.TaskID(fmt.Sprintf("task-%08d", i)), Job: csmodel.JobID(fmt.Sprintf("job%d", i%designPools)), Team: "team",
			CPU: 1000, Memory: taskMemory, Runtime: taskTime, Deadline: epoch.Add(time.Hour + time.Duration(i)*time.Millisecond),
		}
	}
	entry, _ := cstask.Encode(submissions[0])
	submit, bytes := once(slopeTasks, func(i int) { t.Apply(submissions[i], epoch) }, t)
	var ids []csmodel.TaskID
	for _, s := range submissions {
		ids = append(ids, s.ID)
	}
	const batch = 10_000
	first, _ := cstask.Encode(cstask.CancelBatch{IDs: ids[:batch]})
	cancel, kept := once(slopeTasks/batch, func(i int) {
		data, _ := cstask.Encode(cstask.CancelBatch{IDs: ids[i*batch : (i+1)*batch]})
		c, _ := cstask.Decode(data)
		t.Apply(c, epoch)
	}, t)
	return []Slope{
		{Name: "waiting task, without its id and payload", Bytes: bytes, Nanoseconds: submit},
		{Name: "log entry of a task without payload", Bytes: float64(len(entry))},
		{Name: "cancellation, change of the heap", Bytes: kept / batch, Nanoseconds: cancel / batch},
		{Name: "log entry of a cancellation in a batch", Bytes: float64(len(first)) / batch},
	}
}

func newFleet() (*csfleet.Machine, csfleet.ActiveConfiguration, csfleet.Observations, float64) {
	m := csfleet.New(csfleet.Options{})
	a := csfleet.ActiveConfiguration{Region: region, Revision: 1, Configuration: designConfiguration()}
	m.Do(csfleet.Configure{Revision: 1, Pools: a.Configuration.Pools}, epoch)
	var o csfleet.Observations
	for i := range designVMs {
		o.VMs = append(o.VMs, csfleet.Observation{
			VM: vmName(i), Incarnation: 1, Zone: csmodel.AvailabilityZone(fmt.Sprint(i % 4)),
			Rack: csmodel.Rack(fmt.Sprint(i / 4)), Pool: poolName(i), Fence: 1,
		})
	}
	_, bytes := once(designVMs, func(i int) {
		ob := o.VMs[i]
		m.Do(csfleet.RegisterVM{VM: ob.VM, Home: ob.Pool, Zone: ob.Zone, Rack: ob.Rack, Incarnation: 1}, epoch)
	}, m)
	return m, a, o, bytes
}

// fleetSlopes measures the fleet state and the planner while a wave has VMs in maintenance.
func fleetSlopes() []Slope {
	m, a, o, bytes := newFleet()
	data, _ := m.Snapshot()
	p := csfleet.NewPlanner(csfleet.PlannerOptions{})
	now := epoch
	tick := loop(func(int) {
		now = now.Add(leaderTick)
		for i := range o.VMs {
			o.VMs[i].LastAnnounced = now
		}
		for _, c := range p.Plan(m, a, o, nil, now).Commands {
			m.Do(c, now)
		}
	})
	return []Slope{
		{Name: "VM in the fleet state", Bytes: bytes},
		{Name: "VM in a snapshot", Bytes: float64(len(data)) / designVMs},
		{Name: fmt.Sprintf("planner tick at %d VMs and %d pools", designVMs, designPools), Nanoseconds: tick},
	}
}

// policySlopes measures the forecast policy with bursts that take turns.
func policySlopes() []Slope {
	f := &cscapacity.Forecast{}
	loads := make([]cscapacity.Load, designPools)
	for i := range loads {
		loads[i] = cscapacity.Load{Pool: poolName(i), VMs: 32, Slots: 256, Lendable: 3, Spare: i == designPools-1}
	}
	now := epoch
	step := func(n int) {
		now = now.Add(leaderTick)
		for i := range loads {
			loads[i].Busy = 10
			loads[i].Arrivals += 3
			if (n+2*i)%160 < 32 {
				loads[i].Busy = 256
				loads[i].Arrivals += 300
			}
		}
		f.Step(now, loads)
	}
	_, bytes := once(1, func(int) {
		for n := range 4000 {
			step(n)
		}
	}, f)
	return []Slope{
		{Name: "pool in the forecast policy", Bytes: bytes / designPools},
		{Name: fmt.Sprintf("step of the forecast policy at %d pools", designPools), Nanoseconds: loop(step)},
	}
}
