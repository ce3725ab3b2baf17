package csrun

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a backlog that counts more work than there is or less capacity, so that admission would refuse jobs that can be done, and
// against one of an earlier term.
func TestBacklogIsPublished(t *testing.T) {
	sim := newSimulation(newSimulationLog())
	if got := sim.r.leader.Admission(); got != nil {
		t.Errorf("got %v before the first round, want nil", got)
	}
	sim.advance(6 * time.Second)
	a := sim.r.leader.Admission()
	if a == nil || a.Estimator == nil {
		t.Fatal("got no backlog")
	}
	capacity, runs := map[csmodel.PoolID]csmodel.MilliCPU{}, map[csmodel.PoolID]csmodel.MilliCPU{}
	for _, w := range sim.table.Targets() {
		capacity[w.Pool] += w.Resources.CPU
		sim.table.EachTaskOn(w.Incarnation, func(k csjob.TaskKey) {
			if step := sim.table.Job(k.Job).Submission.Steps[k.Step]; step.LongRunning {
				capacity[w.Pool] -= step.Needs().CPU
			} else {
				runs[w.Pool] += step.Needs().CPU
			}
		})
	}
	var running csmodel.MilliCPU
	for _, p := range sim.table.Config().Pools {
		b := a.Backlog(p.ID)
		if b.Now != capacity[p.ID] {
			t.Errorf("got a capacity of %d for %s, want %d", b.Now, p.ID, capacity[p.ID])
		}
		var sum csmodel.MilliCPU
		for _, cpu := range b.Running {
			sum += cpu
		}
		if age := sim.now.Sub(b.At); age > 2*idleRoundInterval {
			t.Errorf("got a backlog of %s that is %s old", p.ID, age)
		}
		// Runs that ended since the snapshot may still be in it.
		if sum > runs[p.ID]+capacity[p.ID]/10 {
			t.Errorf("got %d of CPU running on %s, want at most the %d of all open runs", sum, p.ID, runs[p.ID])
		}
		running += sum
	}
	if running == 0 {
		t.Error("got no runs, want those of the busy pool")
	}
	sim.r.handle(&leadershipLost{})
	if got := sim.r.leader.Admission(); got != nil {
		t.Errorf("got %v after the term, want nil", got)
	}
}

// BenchmarkBacklog measures one snapshot of the backlog, at most one of which is made every backlogInterval.
func BenchmarkBacklog(b *testing.B) {
	for _, size := range []int{350, 3200} {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			sim := newSimulationOf(size, newSimulationLog())
			sim.advance(6 * time.Second)
			runs := 0
			for _, w := range sim.r.targets {
				runs += len(w.list)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sim.r.backlogAt = time.Time{}
				sim.r.publishAdmission(sim.now, &sim.table)
			}
			b.ReportMetric(float64(runs), "runs")
		})
	}
}
