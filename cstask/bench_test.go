package cstask

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	benchTasks   = 50_000
	benchWorkers = 3200
	benchPools   = 101
)

func benchTable(count int) *Table {
	t := New(Limits{})
	for i := range count {
		s := newSubmit(fmt.Sprintf("task-%08d", i))
		s.Job = csmodel.JobID(fmt.Sprintf("job%d", i%benchPools))
		s.Deadline = baseTimePlus(time.Duration(i%600) * time.Minute)
		t.Apply(s, baseTime)
	}
	return t
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkSubmit(b *testing.B) {
	t := New(Limits{Tasks: b.N + 1})
	before := heapBytes()
	b.ResetTimer()
	for i := range b.N {
		s := newSubmit(fmt.Sprintf("task-%08d", i))
		s.Payload = nil
		t.Apply(s, baseTime)
	}
	b.StopTimer()
	b.ReportMetric((heapBytes()-before)/float64(b.N), "heap-B/task")
	runtime.KeepAlive(t)
}

// BenchmarkCancelFlood cancels 50,000 tasks in batches of 10,000. It includes the decoding of the log entries.
func BenchmarkCancelFlood(b *testing.B) {
	const batch = 10_000
	var entries [][]byte
	for i := 0; i < benchTasks; i += batch {
		var c CancelBatch
		for n := range batch {
			c.IDs = append(c.IDs, csmodel.TaskID(fmt.Sprintf("task-%08d", i+n)))
		}
		data, err := Encode(c)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, data)
	}
	var before, after float64
	for range b.N {
		b.StopTimer()
		t := benchTable(benchTasks)
		before = heapBytes()
		b.StartTimer()
		for _, data := range entries {
			c, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			t.Apply(c, baseTime)
		}
		b.StopTimer()
		after = heapBytes()
		if got := t.Counts().Ended; got != benchTasks {
			b.Fatalf("got %d ended tasks, want %d", got, benchTasks)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTasks, "ns/cancel")
	b.ReportMetric((after-before)/benchTasks, "heap-B/cancel")
}

func BenchmarkSnapshot(b *testing.B) {
	t := benchTable(benchTasks)
	for b.Loop() {
		data, err := t.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/benchTasks, "B/task")
	}
}

// BenchmarkTick runs a scheduler tick with 3,200 fully loaded workers in 101 pools, 25,600 running and 50,000 waiting tasks.
// Each worker reports every 8 s, which is the interval for targets when 20 nodes share 3,200 of them.
func BenchmarkTick(b *testing.B) {
	t := New(Limits{})
	s := NewScheduler()
	var jobs []csconfig.Job
	for i := range benchPools {
		jobs = append(jobs, csconfig.Job{Name: csmodel.JobID(fmt.Sprintf("job%d", i)), Pool: csmodel.PoolID(fmt.Sprintf("pool%d", i))})
	}
	s.Configure(jobs)
	var workers []Worker
	for i := range benchWorkers {
		workers = append(workers, Worker{
			VM: csmodel.VMID(fmt.Sprintf("vm-%05d", i)), Pool: csmodel.PoolID(fmt.Sprintf("pool%d", i%benchPools)),
			Zone: csmodel.AvailabilityZone(fmt.Sprint(i % 4)), Rack: csmodel.Rack(fmt.Sprint(i / 4)),
			CPU: 8000, Memory: 32 * csmodel.GiB, FreeCPU: 8000, FreeMemory: 32 * csmodel.GiB, Serving: true,
		})
	}
	for i := range benchTasks + 8*benchWorkers {
		c := newSubmit(fmt.Sprintf("task-%08d", i))
		c.Job = csmodel.JobID(fmt.Sprintf("job%d", i%benchPools))
		c.Deadline = baseTimePlus(time.Duration(i%600+600) * time.Minute)
		t.Apply(c, baseTime)
	}
	now := baseTime
	ticks := 0
	tick := func() {
		now = now.Add(time.Second)
		for i := range workers {
			if ticks%8 == i%8 {
				workers[i].ReportedAt = now
			}
		}
		ticks++
		for _, a := range s.Tick(t, workers, now) {
			if p, ok := a.(Propose); ok {
				t.Apply(p.Command, now)
			}
		}
	}
	for range 80 {
		tick()
	}
	for i := range workers {
		for _, x := range t.Leased(workers[i].VM) {
			workers[i].Running = append(workers[i].Running, Running{Task: x.ID, Fence: x.Fence, Used: Usage{CPU: 900, Memory: csmodel.GiB}})
			workers[i].FreeCPU -= 900
			workers[i].FreeMemory -= csmodel.GiB
		}
	}
	for b.Loop() {
		tick()
	}
	b.ReportMetric(float64(t.Counts().Leased), "leased")
	b.ReportMetric(float64(t.Counts().Waiting), "waiting")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e7, "%core")
}
