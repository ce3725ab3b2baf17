package csrun

import (
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: 349 targets, most of them unchanged since the last round. Guards against rounds that compare and sum up the runs
// of every target regardless of what has changed.
func TestRoundCostDependsOnChanges(t *testing.T) {
	sim := newSimulation(zap.NewNop())
	sim.advance(3 * time.Second)
	sim.noArrivals = true
	sim.advance(15 * time.Second)
	if got := sim.ends - sim.starts + simPools*24; got != 0 {
		t.Fatalf("got %d running batch tasks, want none", -got)
	}
	sim.r.appliedChanges, sim.r.syncedTasks, sim.r.summedTargets = sim.table.Changes(), 0, 0
	const changed = 3
	for p := range changed {
		sim.submit(queueKey(p, 0), csjob.Step{Tasks: 1, Resources: csjob.Resources{CPU: 1000}, Estimate: 300 * time.Millisecond})
	}
	starts := sim.starts
	sim.advance(200 * time.Millisecond)
	if got, want := sim.starts-starts, changed; got != want {
		t.Fatalf("got %d starts, want %d", got, want)
	}
	// Each committed start recomputes the usage of its target, which is recomputed once more when the job becomes late.
	if got, want := sim.r.syncedTasks, changed; got > want {
		t.Errorf("got %d tasks on targets compared with the table, want at most %d", got, want)
	}
	if got, want := sim.r.summedTargets, 2*changed; got > want {
		t.Errorf("got the usage of %d targets recomputed, want at most %d", got, want)
	}
}

// Pattern: 1,200 tasks start and end per second while jobs are late or cancelled, commits fail and targets leave. Guards
// against cached sums and runs that are not updated when their inputs change.
func TestCachedUsageMatchesTable(t *testing.T) {
	sim := newSimulation(zap.NewNop())
	sim.runTimeSigma, sim.refusalRate, sim.heldTargets = 0.6, 0.1, 20
	for n := range 40 {
		sim.advance(100 * time.Millisecond)
		sim.injectChanges(n)
		sim.advance(24 * time.Millisecond)
		sim.View(func(table *csjob.Table) {
			if got, want := sim.r.appliedChanges, table.Changes(); got != want {
				sim.r.sync(table, sim.now)
			}
			checkUsage(t, sim, table)
		})
	}
	if sim.ends == 0 {
		t.Error("got no ends, want some")
	}
}

// injectChanges cancels a job, and changes the pool and the leaving state of a target.
func (sim *simulation) injectChanges(n int) {
	if active := sim.table.Active(); len(active) > 20 {
		j := active[len(active)-1-n%15]
		sim.commit(csjob.Command{Cancel: &csjob.JobRef{Queue: j.Submission.Queue, ID: j.Submission.ID}})
	}
	w := sim.order[n]
	record := w.record
	record.Pool = poolName(n % simPools)
	record.Draining = n%3 == 0
	sim.commit(csjob.Command{Targets: []csjob.TargetEvent{{Target: record}}})
	w.record = record
}

// checkUsage compares the targets, runs and cached usage of the runner with the table.
func checkUsage(t *testing.T, sim *simulation, table *csjob.Table) {
	t.Helper()
	for _, record := range table.Targets() {
		w := sim.r.targets[record.Incarnation.Target]
		if w == nil || w.incarnation != record.Incarnation || w.record.Pool != record.Pool || w.record.Draining != record.Draining {
			t.Errorf("%s: got %+v, want the record %+v", record.Incarnation.Target, w, record)
			continue
		}
		open := 0
		for _, k := range table.TasksOn(w.incarnation) {
			for _, o := range table.Job(k.Job).Task(k).Runs {
				if u := w.runs[runKey{k, o.Attempt}]; u == nil || (table.Job(k.Job).State.Final() && !u.stop) {
					t.Errorf("%s: got run %+v of %s, want an open one, stopped if its job has ended", w.incarnation.Target, u, k)
				}
				open++
			}
		}
		if got := len(w.runs); got != open {
			t.Errorf("%s: got %d runs, want %d", w.incarnation.Target, got, open)
		}
		sim.r.refreshUsage(sim.now, table, w)
		cached := w.usage
		cached.slot.Spread = maps.Clone(cached.slot.Spread)
		w.usage = usage{}
		sim.r.refreshUsage(sim.now, table, w)
		fresh := &w.usage
		if cached.slot.Free != fresh.slot.Free || cached.longRunning != fresh.longRunning || cached.timely != fresh.timely ||
			!maps.Equal(cached.slot.Spread, fresh.slot.Spread) {
			t.Errorf("%s: got the sums %+v, want %+v", w.incarnation.Target, cached, *fresh)
		}
	}
}
