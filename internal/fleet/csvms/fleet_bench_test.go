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

// BenchmarkDecide measures a decision about the VMs of five pools, with logging, without the targets' runs. In the cases with
// turns another pool becomes busy every two seconds, and VMs move; in those with a wave half of the VMs are due for maintenance.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct {
		name    string
		perPool int
		turn    time.Duration
		wave    bool
	}{
		{"steady/vms=350", 70, time.Hour, false}, {"turns/vms=350", 70, 2 * time.Second, false}, {"turns/vms=1100", 220, 2 * time.Second, false},
		{"wave/vms=350", 70, time.Hour, true}, {"wave/vms=1100", 220, time.Hour, true}, {"wave/vms=3000", 600, time.Hour, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			log, err := cslog.New("info", io.Discard)
			if err != nil {
				b.Fatal(err)
			}
			const pools = 5
			perPool := c.perPool
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
			if c.wave {
				proposeWave(b, group, platform)
			}
			var spent time.Duration
			for n := range b.N {
				now = now.Add(decisionInterval)
				busy := int(now.Sub(now.Truncate(time.Hour))/c.turn) % (pools - 1)
				demand := csrun.Demand{}
				for p := range pools - 1 {
					need := csmodel.MilliCPU(perPool*2/7) * vmCPU
					if p == busy {
						need = csmodel.MilliCPU(perPool*15/7) * vmCPU
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

// proposeWave commits a wave of every second VM.
func proposeWave(t testing.TB, group *fakeGroup, platform *fakePlatform) {
	t.Helper()
	w := csjob.Wave{ID: "wave", MaxConcurrent: 1000, Deadline: time.Hour}
	for i, v := range platform.list() {
		if i%2 == 0 {
			w.VMs = append(w.VMs, v.ID)
		}
	}
	if _, err := group.Propose(t.Context(), csjob.Command{Wave: &w}); err != nil {
		t.Fatal(err)
	}
}
