package csvms

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// BenchmarkDecide measures a decision about 350 VMs in five pools, with logging, without the targets' runs. In the second case
// another pool becomes busy every two seconds, and VMs move.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct {
		name string
		turn time.Duration
	}{{"steady", time.Hour}, {"turns", 2 * time.Second}} {
		b.Run(c.name, func(b *testing.B) {
			log, err := cslog.New("info", io.Discard)
			if err != nil {
				b.Fatal(err)
			}
			const pools, perPool = 5, 70
			sizes := map[csmodel.PoolID]int{}
			config := csjob.Config{Version: 1}
			for p := range pools {
				id := csmodel.PoolID(fmt.Sprint("pool-", p))
				sizes[id] = perPool
				config.Pools = append(config.Pools, csjob.Pool{ID: id, Standby: p == pools-1})
			}
			group, platform := &fakeGroup{}, newFakePlatform(sizes)
			f := New(Options{State: group, Platform: platform, Clock: clockwork.NewRealClock(), Log: log, MoveTime: testMoveTime, MaintenanceTime: testMaintenanceTime})
			if _, err := group.Propose(b.Context(), csjob.Command{Config: &config}); err != nil {
				b.Fatal(err)
			}
			now := time.Now()
			join := func() {
				for _, v := range platform.list() {
					known := false
					group.View(func(table *csjob.Table) { _, known = table.Target(v.Target) })
					if v.Phase != Up || known {
						continue
					}
					t := csjob.Target{Incarnation: csjob.Incarnation{Target: v.Target, StartedAtMs: 1}, Pool: v.Pool, Resources: v.Resources}
					if _, err := group.Propose(b.Context(), csjob.Command{Targets: []csjob.TargetEvent{{Target: t}}}); err != nil {
						b.Fatal(err)
					}
				}
			}
			join()
			var spent time.Duration
			for n := range b.N {
				now = now.Add(decisionInterval)
				busy := int(now.Sub(now.Truncate(time.Hour))/c.turn) % (pools - 1)
				demand := csrun.Demand{}
				for p := range pools - 1 {
					need := 20 * vmCPU
					if p == busy {
						need = 150 * vmCPU
					}
					demand[csmodel.PoolID(fmt.Sprint("pool-", p))] = csrun.PoolDemand{Running: need, Offered: need, LongRunning: vmCPU, MinTargets: 8}
				}
				r := csrun.Round{
					Now: now, Table: &group.table, Fence: testTerm, Demand: demand, Arrivals: func() []csrun.Arrival { return nil },
					Busy:   func(l csjob.Incarnation) bool { return len(l.Target)%2 == 0 },
					Load:   func(csjob.Incarnation) csrun.Load { return csrun.Load{DrainTime: time.Second} },
					Usable: func(csjob.Incarnation) bool { return true },
				}
				startedAt := time.Now()
				group.View(func(*csjob.Table) { f.Round(r) })
				spent += time.Since(startedAt)
				time.Sleep(3 * time.Millisecond) // lets platform calls and commits finish
				if n%3 == 0 {
					join()
				}
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "us/decision")
		})
	}
}
