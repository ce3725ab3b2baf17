package csjob_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// configure commits a configuration with accounts.
func (h *harness) configure(version int64, accounts ...csjob.Account) {
	c := config(version, "p")
	c.Accounts = accounts
	if got := h.apply(csjob.Command{Config: c}); got != csjob.Accepted {
		h.t.Fatalf("configuration %d: got verdict %d, want accepted", version, got)
	}
}

func (h *harness) submitFor(account csmodel.AccountID, id csjob.ID, s ...csjob.Step) {
	job := csjob.Submission{ID: id, Queue: queueKey, Steps: s, Account: account}
	if got := h.apply(csjob.Command{Submit: &job}); got != csjob.Accepted {
		h.t.Fatalf("submission of %s: got verdict %d, want accepted", id, got)
	}
}

// Guards against a new leader or a restarted store that takes an account for idle, and against a start that was placed before the limit fell
// and is committed after it.
func TestUsageFollowsRunsAndSurvivesSnapshot(t *testing.T) {
	h := newHarness(t)
	limit := csjob.Resources{CPU: 4000, Memory: 100}
	h.configure(2, csjob.Account{ID: "a", Limit: limit})
	one := csjob.Step{Tasks: 5, Resources: csjob.Resources{CPU: 1000, Memory: 10}, BestEffort: true}
	h.submitFor("a", "j1", one)
	h.submitFor("a", "j2", one)
	for n := range 3 {
		h.start(task("j1", 0, n), 1, incarnation(1))
	}
	h.end(task("j1", 0, 2), 1, csjob.OutcomeDone)
	check := func(what string, want csjob.Resources) {
		t.Helper()
		if got := h.table.AccountUsage("a"); got != want {
			t.Errorf("%s: got usage %+v, want %+v", what, got, want)
		}
	}
	check("two of three runs left", csjob.Resources{CPU: 2000, Memory: 20})
	b, err := h.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before := maps.Collect(h.table.PoolUsage("p"))
	if err := h.table.Restore(b); err != nil {
		t.Fatal(err)
	}
	check("restored", csjob.Resources{CPU: 2000, Memory: 20})
	if got := maps.Collect(h.table.PoolUsage("p")); !maps.Equal(got, before) {
		t.Errorf("got usage by queue %+v after the snapshot, want %+v", got, before)
	}
	for n := range 4 {
		h.start(task("j2", 0, n), 1, incarnation(1))
	}
	check("at the limit, of which two more starts fit", limit.Sub(csjob.Resources{Memory: 60}))
	h.configure(3, csjob.Account{ID: "a", Limit: csjob.Resources{Memory: 30}})
	h.start(task("j2", 0, 4), 1, incarnation(1))
	check("above a lowered limit", limit.Sub(csjob.Resources{Memory: 60}))
	h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(1)}, Ended: true}}})
	check("target lost", csjob.Resources{})
}

// Pattern: an account sends eight times what it is owed. Guards against surplus that counts as owed, against owed jobs that count as surplus
// after a pause or a repetition, and against a bucket that is full again after a snapshot.
func TestSurplusByWeight(t *testing.T) {
	cases := []struct {
		name    string
		account csmodel.AccountID
		weight  float64
		perSec  int // jobs per second, for ten seconds
		want    int // jobs without surplus
	}{
		{"at its weight", "a", 8, 8, 80},
		{"eight times its weight", "a", 8, 64, 40 + 80 - 1},
		{"less than one job in the window", "a", 0.1, 2, 1},
		{"no weight", "a", 0, 64, 640},
		{"no account", "", 8, 64, 640},
		{"account that is not configured", "b", 8, 64, 640},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.configure(2, csjob.Account{ID: "a", Weight: c.weight})
			owed := 0
			for n := range 10 * c.perSec {
				id := csjob.ID(fmt.Sprint("j", n))
				h.submitFor(c.account, id, steps(1)...)
				h.submitFor(c.account, id, steps(1)...)
				if !h.table.Job(id).Surplus {
					owed++
				}
				h.now = h.now.Add(time.Second / time.Duration(c.perSec))
				if n == 5*c.perSec {
					b, err := h.table.Snapshot()
					if err != nil {
						t.Fatal(err)
					}
					if err := h.table.Restore(b); err != nil {
						t.Fatal(err)
					}
				}
			}
			if owed != c.want {
				t.Errorf("got %d jobs without surplus, want %d", owed, c.want)
			}
		})
	}
}

// Guards against a step that is accepted and can never start, and against a refusal of one that could.
func TestCanRun(t *testing.T) {
	need := csjob.Resources{CPU: 1000, Memory: 100, GPUs: 1}
	cases := []struct {
		name  string
		limit csjob.Resources
		step  csjob.Step
		want  bool
	}{
		{"no limit", csjob.Resources{}, csjob.Step{Tasks: 5000, Gang: true, Resources: need}, true},
		{"a task at a time", need, csjob.Step{Tasks: 8, Resources: need}, true},
		{"a gang of two", need, csjob.Step{Tasks: 2, Gang: true, Resources: need}, false},
		{"one component too small", csjob.Resources{CPU: 5000, Memory: 99}, csjob.Step{Tasks: 1, Resources: need}, false},
		{"one component without a limit", csjob.Resources{CPU: 1000}, csjob.Step{Tasks: 1, Resources: need}, true},
		{"best effort counts in full", csjob.Resources{CPU: 999}, csjob.Step{Tasks: 1, BestEffort: true, Resources: need}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := (csjob.Account{Limit: c.limit}).CanRun(c.step); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
