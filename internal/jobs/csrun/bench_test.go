package csrun

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkRounds measures the processor time of the leader per task that is started and ended, under the load of
// load_test.go and without calls, disk and network: the time of the actor, and of encoding and applying commands. Each
// iteration simulates half a second of load.
func BenchmarkRounds(b *testing.B) {
	l := newSimulation(newSimulationLog())
	l.heldTargets = 20
	l.advance(8 * time.Second)
	l.handlingTime, l.applyTime, l.rounds, l.starts, l.ends = 0, 0, 0, 0, 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for range b.N {
		l.advance(500 * time.Millisecond)
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	tasks := float64(max(1, l.ends))
	b.ReportMetric(float64(l.handlingTime.Nanoseconds())/tasks, "actor-ns/task")
	b.ReportMetric(float64(l.applyTime.Nanoseconds())/tasks, "table-ns/task")
	b.ReportMetric(float64(l.handlingTime.Nanoseconds())/float64(max(1, l.rounds)), "actor-ns/round")
	b.ReportMetric(float64(l.rounds)/float64(b.N)*2, "rounds/s")
	b.ReportMetric(tasks/float64(b.N)*2, "tasks/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tasks, "mallocs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/tasks, "B/task")
	b.ReportMetric(float64(len(l.table.Active())), "jobs")
}
