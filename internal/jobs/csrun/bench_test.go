package csrun

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkRounds measures what the leader's decisions cost at grown size, without calls, disk and network: processor
// time of the actor, and of coding and applying commands, for each task that is started and ended. Each iteration is
// half a second of the load.
func BenchmarkRounds(b *testing.B) {
	l := newLoad(newLoadLog())
	l.holds = 20
	l.pass(8 * time.Second)
	l.handled, l.replayed, l.rounds, l.starts, l.ends = 0, 0, 0, 0, 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for range b.N {
		l.pass(500 * time.Millisecond)
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	tasks := float64(max(1, l.ends))
	b.ReportMetric(float64(l.handled.Nanoseconds())/tasks, "actor-ns/task")
	b.ReportMetric(float64(l.replayed.Nanoseconds())/tasks, "table-ns/task")
	b.ReportMetric(float64(l.handled.Nanoseconds())/float64(max(1, l.rounds)), "actor-ns/round")
	b.ReportMetric(float64(l.rounds)/float64(b.N)*2, "rounds/s")
	b.ReportMetric(tasks/float64(b.N)*2, "tasks/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tasks, "mallocs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/tasks, "B/task")
	b.ReportMetric(float64(len(l.table.Active())), "jobs")
}
