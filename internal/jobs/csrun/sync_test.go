package csrun

import (
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: 349 targets, most of them as before since the last round. Guards against rounds that compare and add up the
// runs of every target whatever has changed.
func TestRoundCostsWhatHasChanged(t *testing.T) {
	l := newLoad(zap.NewNop())
	l.pass(3 * time.Second)
	l.quiet = true
	l.pass(15 * time.Second)
	if got := l.ends - l.starts + loadPools*24; got != 0 {
		t.Fatalf("got %d runs that end by themselves, want none", -got)
	}
	l.r.changes, l.r.synced, l.r.tallied = l.table.Changes(), 0, 0
	const changed = 3
	for p := range changed {
		l.submit(queueKey(p, 0), csjob.Step{Tasks: 1, Room: csjob.Room{CPU: 1000}, Estimate: 300 * time.Millisecond})
	}
	starts := l.starts
	l.pass(200 * time.Millisecond)
	if got, want := l.starts-starts, changed; got != want {
		t.Fatalf("got %d starts, want %d", got, want)
	}
	// Each start adds up its target when it is committed, and the busy target once more when its job is late.
	if got, want := l.r.synced, changed; got > want {
		t.Errorf("got %d tasks on targets compared with the table, want at most %d", got, want)
	}
	if got, want := l.r.tallied, 2*changed; got > want {
		t.Errorf("got %d targets added up, want at most %d", got, want)
	}
}

// Pattern: 1,200 tasks start and end in a second, jobs are late or cancelled, commits fail and targets leave meanwhile. Guards against sums and
// runs that are kept although what they rest on has changed.
func TestKeptSumsAreThoseOfTheTable(t *testing.T) {
	l := newLoad(zap.NewNop())
	l.noise, l.refusal, l.holds = 0.6, 0.1, 20
	for n := range 40 {
		l.pass(100 * time.Millisecond)
		l.disturb(n)
		l.pass(24 * time.Millisecond)
		l.View(func(table *csjob.Table) {
			if got, want := l.r.changes, table.Changes(); got != want {
				l.r.sync(table, l.now)
			}
			checkSums(t, l, table)
		})
	}
	if l.ends == 0 {
		t.Error("got no ends, want some")
	}
}

// disturb cancels a job, and takes a target away or brings it back.
func (l *load) disturb(n int) {
	if active := l.table.Active(); len(active) > 20 {
		j := active[len(active)-1-n%15]
		l.commit(csjob.Command{Cancel: &csjob.Ref{Queue: j.Submission.Queue, ID: j.Submission.ID}})
	}
	w := l.order[n]
	record := w.record
	record.Pool = poolName(n % loadPools)
	record.Leaving = n%3 == 0
	l.commit(csjob.Command{Targets: []csjob.TargetEvent{{Target: record}}})
	w.record = record
}

func checkSums(t *testing.T, l *load, table *csjob.Table) {
	t.Helper()
	for _, record := range table.Targets() {
		w := l.r.targets[record.Life.Target]
		if w == nil || w.life != record.Life || w.record.Pool != record.Pool || w.record.Leaving != record.Leaving {
			t.Errorf("%s: got %+v, want the record %+v", record.Life.Target, w, record)
			continue
		}
		open := 0
		for _, k := range table.TasksOn(w.life) {
			for _, o := range table.Job(k.Job).Task(k).Runs {
				if u := w.runs[runKey{k, o.Attempt}]; u == nil || (table.Job(k.Job).State.Final() && !u.stop) {
					t.Errorf("%s: got run %+v of %s, want an open one, stopped if its job has ended", w.life.Target, u, k)
				}
				open++
			}
		}
		if got := len(w.runs); got != open {
			t.Errorf("%s: got %d runs, want %d", w.life.Target, got, open)
		}
		l.r.addUp(l.now, table, w)
		kept := w.tally
		kept.slot.Spread = maps.Clone(kept.slot.Spread)
		w.tally = tally{}
		l.r.addUp(l.now, table, w)
		fresh := &w.tally
		if kept.slot.Free != fresh.slot.Free || kept.lasting != fresh.lasting || kept.timely != fresh.timely ||
			!maps.Equal(kept.slot.Spread, fresh.slot.Spread) {
			t.Errorf("%s: got the sums %+v, want %+v", w.life.Target, kept, *fresh)
		}
	}
}
