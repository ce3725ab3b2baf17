package csrun

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// benchSizes are numbers of targets: a deployment of about 40 own machines, one of about 150, and the largest that is planned.
var benchSizes = []int{350, 1100, 3000}

// BenchmarkRounds measures the processor time of the leader per task that is started and ended, under the load of
// load_test.go and without calls, disk and network: the time of the actor, and of encoding and applying commands. Each
// iteration simulates half a second of load.
func BenchmarkRounds(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) { benchmarkRounds(b, size) })
	}
}

// BenchmarkRoundsOfAccounts is BenchmarkRounds with client accounts that have limits and weights.
func BenchmarkRoundsOfAccounts(b *testing.B) {
	for _, c := range []struct{ targets, accounts int }{{1100, 0}, {1100, 20}, {1100, 630}, {3200, 0}, {3200, 630}} {
		b.Run(fmt.Sprintf("targets=%d,accounts=%d", c.targets, c.accounts), func(b *testing.B) {
			l := newSimulationOf(c.targets, newSimulationLog())
			if c.accounts > 0 {
				l.addAccounts(c.accounts)
			}
			benchmarkSimulation(b, l)
		})
	}
}

func benchmarkRounds(b *testing.B, size int) {
	benchmarkSimulation(b, newSimulationOf(size, newSimulationLog()))
}

func benchmarkSimulation(b *testing.B, l *simulation) {
	l.heldTargets = l.size / 20
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

// BenchmarkNewLeader measures the processor time of a new leader until every target has answered its first poll, under the
// same load.
func BenchmarkNewLeader(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			l := newSimulationOf(size, newSimulationLog())
			l.advance(8 * time.Second)
			runs := 0
			for _, w := range l.r.targets {
				runs += len(w.list)
			}
			var used, took time.Duration
			b.ResetTimer()
			for range b.N {
				l.handlingTime = 0
				took += l.changeLeader()
				used += l.handlingTime
				l.advance(time.Second)
			}
			b.StopTimer()
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "actor-us/change")
			b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms/change")
			b.ReportMetric(float64(runs), "runs")
		})
	}
}

// changeLeader begins a term and returns the simulated time until every target has answered its first poll.
func (sim *simulation) changeLeader() time.Duration {
	startedAt := sim.now
	sim.r.beginTerm(simTerm)
	for sim.now.Sub(startedAt) < time.Minute {
		sim.advance(simTick)
		if sim.r.tableLoaded && !sim.anyUnpolled() {
			break
		}
	}
	return sim.now.Sub(startedAt)
}

func (sim *simulation) anyUnpolled() bool {
	for _, w := range sim.r.targets {
		if w.unpolled {
			return true
		}
	}
	return false
}

func simAccount(n int) csmodel.AccountID { return csmodel.AccountID(fmt.Sprintf("account-%03d", n)) }

// accountOf returns the account of a job.
func (sim *simulation) accountOf(job int) csmodel.AccountID {
	if sim.accounts == 0 {
		return ""
	}
	return simAccount(job % sim.accounts)
}

// addAccounts commits a configuration with client accounts. The limit of each is an equal part of all targets, and at least 40 cores.
func (sim *simulation) addAccounts(n int) {
	sim.accounts = n
	config := *sim.table.Config()
	config.Version++
	for k := range n {
		config.Accounts = append(config.Accounts, csjob.Account{
			ID: simAccount(k), Weight: simJobsPerTarget * float64(sim.size) / float64(n),
			Limit: csjob.Resources{CPU: csmodel.MilliCPU(max(40_000, 16_000*sim.size/n)), Memory: csjob.MiB(max(65_536, 65_536*sim.size/n))},
		})
	}
	sim.commit(csjob.Command{Config: &config})
}

// BenchmarkRoundsOfWaitingJobs measures rounds while 2,000 jobs wait in one pool that is much too small for them.
func BenchmarkRoundsOfWaitingJobs(b *testing.B) {
	sim := newSimulation(newSimulationLog())
	sim.noArrivals = true
	sim.addAccounts(20)
	for range 2000 {
		s := csjob.Step{
			Tasks: 4 + sim.jobRandom.IntN(9), Resources: csjob.Resources{CPU: 6200, Memory: 2048},
			Estimate: time.Duration((0.4 + 0.5*sim.jobRandom.Float64()) * float64(time.Second)),
		}
		sim.submit(queueKey(0, 0), s)
	}
	sim.advance(2 * time.Second)
	sim.handlingTime, sim.rounds = 0, 0
	b.ResetTimer()
	for range b.N {
		sim.advance(100 * time.Millisecond)
	}
	b.ReportMetric(float64(sim.handlingTime.Nanoseconds())/float64(max(1, sim.rounds)), "actor-ns/round")
	b.ReportMetric(float64(len(sim.table.Active())), "jobs")
}
