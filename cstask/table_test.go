package cstask

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func baseTimePlus(d time.Duration) time.Time { return baseTime.Add(d) }

func newSubmit(id string) Submit {
	return Submit{ID: csmodel.TaskID(id), Job: "job", Team: "team", CPU: 1000, Memory: csmodel.GiB, Runtime: time.Minute, Deadline: baseTimePlus(time.Hour)}
}

func newLease(id, vm string, f csmodel.Fence) Lease {
	return Lease{ID: csmodel.TaskID(id), VM: csmodel.VMID(vm), Fence: f, Expiry: baseTimePlus(time.Minute)}
}

// Guards against commands that are accepted in a state or with a fence or size that must be refused, and against repeated
// commands that change the table.
func TestCommands(t *testing.T) {
	changed := newSubmit("a")
	changed.CPU++
	old := newSubmit("a")
	old.Deadline = baseTimePlus(-DefaultRetention)
	far := newSubmit("a")
	far.Deadline = baseTimePlus(DefaultHorizon + time.Second)
	large := newSubmit("a")
	large.Payload = make([]byte, MaxBlobBytes+1)
	submit, lease := newSubmit("a"), newLease("a", "v1", 1)
	tests := []struct {
		name    string
		setup   []Command
		command Command
		status  Status
		state   State
	}{
		{"submit", nil, submit, OK, StateWaiting},
		{"submit again", []Command{submit}, submit, Repeated, StateWaiting},
		{"submit again after the end", []Command{submit, Cancel{ID: "a"}}, submit, Repeated, StateCancelled},
		{"submit other contents", []Command{submit}, changed, Conflict, StateWaiting},
		{"submit other contents after the end", []Command{submit, Cancel{ID: "a"}}, changed, Conflict, StateCancelled},
		{"submit too old", nil, old, DeadlineTooOld, StateNone},
		{"submit too far", nil, far, DeadlineTooFar, StateNone},
		{"submit too large", nil, large, Invalid, StateNone},
		{"lease", []Command{submit}, lease, OK, StateLeased},
		{"lease again", []Command{submit, lease}, lease, Repeated, StateLeased},
		{"lease to another VM", []Command{submit, lease}, newLease("a", "v2", 1), Refused, StateLeased},
		{"lease with an old fence", []Command{submit, lease, Fail{ID: "a", Fence: 1}}, lease, Stale, StateWaiting},
		{"lease an ended task", []Command{submit, Cancel{ID: "a"}}, lease, Refused, StateCancelled},
		{"lease an unknown task", nil, lease, NotFound, StateNone},
		{"finish", []Command{submit, lease}, Finish{ID: "a", Fence: 1}, OK, StateFinished},
		{"finish again", []Command{submit, lease, Finish{ID: "a", Fence: 1}}, Finish{ID: "a", Fence: 1}, Repeated, StateFinished},
		{"finish with an old fence", []Command{submit, lease, Fail{ID: "a", Fence: 1}, newLease("a", "v2", 2)}, Finish{ID: "a", Fence: 1}, Stale, StateLeased},
		{"finish a waiting task", []Command{submit}, Finish{ID: "a", Fence: 1}, Refused, StateWaiting},
		{"fail with an old fence", []Command{submit, lease, Fail{ID: "a", Fence: 1}}, Fail{ID: "a", Fence: 1}, Stale, StateWaiting},
		{"final failure on one VM", []Command{submit, lease}, Fail{ID: "a", Fence: 1, Final: true}, OK, StateWaiting},
		{"final failure on a second VM", []Command{submit, lease, Fail{ID: "a", Fence: 1, Final: true}, newLease("a", "v2", 2)}, Fail{ID: "a", Fence: 2, Final: true}, OK, StateFailed},
		{"checkpoint", []Command{submit, lease}, Checkpoint{ID: "a", Fence: 1, Sequence: 2}, OK, StateLeased},
		{"older checkpoint", []Command{submit, lease, Checkpoint{ID: "a", Fence: 1, Sequence: 2, Data: []byte("x")}}, Checkpoint{ID: "a", Fence: 1, Sequence: 1}, Stale, StateLeased},
		{"checkpoint and move", []Command{submit, lease}, Checkpoint{ID: "a", Fence: 1, Sequence: 1, Release: true}, OK, StateWaiting},
		{"cancel", []Command{submit, lease}, Cancel{ID: "a"}, OK, StateCancelled},
		{"cancel again", []Command{submit, Cancel{ID: "a"}}, Cancel{ID: "a"}, Repeated, StateCancelled},
		{"cancel after the finish", []Command{submit, lease, Finish{ID: "a", Fence: 1}}, Cancel{ID: "a"}, Refused, StateFinished},
		{"finish after the cancel", []Command{submit, lease, Cancel{ID: "a"}}, Finish{ID: "a", Fence: 1}, Refused, StateCancelled},
		{"set aside", []Command{submit}, SetAside{ID: "a", Fence: 1, Reason: ReasonTooLarge}, OK, StateSetAside},
		{"set aside a leased task", []Command{submit, lease}, SetAside{ID: "a", Fence: 1}, Refused, StateLeased},
		{"retry", []Command{submit, SetAside{ID: "a", Fence: 1}}, Retry{ID: "a", Fence: 2}, OK, StateWaiting},
		{"retry again", []Command{submit, SetAside{ID: "a", Fence: 1}, Retry{ID: "a", Fence: 2}}, Retry{ID: "a", Fence: 2}, Repeated, StateWaiting},
		{"team limit", []Command{Configure{Revision: 1, Teams: []TeamLimit{{Team: "team", Tasks: 1}}}, newSubmit("b")}, submit, TeamLimitReached, StateNone},
		{"old revision", []Command{Configure{Revision: 2}}, Configure{Revision: 2}, Stale, StateNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Limits{})
			for _, c := range tt.setup {
				if r := table.Apply(c, baseTime); !r.Status.Accepted() {
					t.Fatalf("setup %T: got status %d", c, r.Status)
				}
			}
			got := table.Apply(tt.command, baseTime)
			if got.Status != tt.status || got.State != tt.state {
				t.Errorf("got status %d state %d, want status %d state %d", got.Status, got.State, tt.status, tt.state)
			}
		})
	}
}

// Guards against a task that is retried forever or dropped when workers are lost, and against leases that are valid past
// their expiry.
func TestSetAsideAfterLosses(t *testing.T) {
	table := New(Limits{})
	table.Apply(newSubmit("a"), baseTime)
	for i := range MaxFailedVMs {
		got, _ := table.Get("a")
		if got.State != StateWaiting {
			t.Fatalf("attempt %d: got state %d, want waiting", i, got.State)
		}
		at := baseTimePlus(time.Duration(i) * time.Hour)
		table.Apply(Lease{ID: "a", VM: csmodel.VMID(fmt.Sprint(i)), Fence: got.Fence, Expiry: at.Add(time.Minute)}, at)
		if r := table.Apply(Expire{}, at.Add(59*time.Second)); r.Count != 0 {
			t.Fatalf("attempt %d: lease expired early", i)
		}
		if r := table.Apply(Expire{}, at.Add(time.Minute)); r.Count != 1 {
			t.Fatalf("attempt %d: got %d expired leases, want 1", i, r.Count)
		}
	}
	got, ok := table.Get("a")
	if !ok || got.State != StateSetAside || got.Reason != ReasonFailedVMs {
		t.Errorf("got state %d reason %d, want StateSetAside and ReasonFailedVMs", got.State, got.Reason)
	}
}

// Guards against renewals that extend an expired lease or the lease of a task that the VM no longer runs.
func TestRenew(t *testing.T) {
	table := New(Limits{})
	for _, id := range []string{"a", "b", "c"} {
		table.Apply(newSubmit(id), baseTime)
	}
	table.Apply(newLease("a", "v", 1), baseTime)
	table.Apply(newLease("b", "v", 1), baseTime)
	table.Apply(Lease{ID: "c", VM: "v", Fence: 1, Expiry: baseTimePlus(time.Second)}, baseTime)
	renew := Renew{VMs: []csmodel.VMID{"v", "w"}, Except: []csmodel.TaskID{"b"}, Expiry: baseTimePlus(time.Hour)}
	if r := table.Apply(renew, baseTimePlus(2*time.Second)); r.Count != 1 {
		t.Errorf("got %d renewed leases, want 1", r.Count)
	}
	if r := table.Apply(Expire{}, baseTimePlus(2*time.Minute)); r.Count != 2 {
		t.Errorf("got %d expired leases, want 2", r.Count)
	}
	if got := table.LeaseCount("v"); got != 1 {
		t.Errorf("got %d leases held, want 1", got)
	}
}

// Guards against a repeated submission that is admitted as a new task after the removal of its record, before or after the end
// of its retention.
func TestEvictedTasksStayRefused(t *testing.T) {
	table := New(Limits{Ended: 10, Retention: time.Hour})
	var all []Submit
	now := baseTime
	for i := range 200 {
		now = now.Add(time.Minute)
		s := newSubmit(fmt.Sprint(i))
		s.Deadline = now.Add(time.Duration(i%7) * 10 * time.Minute)
		if r := table.Apply(s, now); r.Status == OK {
			all = append(all, s)
			table.Apply(Cancel{ID: s.ID}, now)
		}
		if got := table.Counts().Ended; got > 10 {
			t.Fatalf("got %d ended records, limit 10", got)
		}
		for _, s := range all {
			if r := table.Apply(s, now); r.Status == OK {
				t.Fatalf("task %s was admitted twice", s.ID)
			}
		}
	}
	if len(all) < 50 {
		t.Errorf("only %d tasks were admitted", len(all))
	}
}

// Guards against estimates from too few runs and against an unbounded number of estimators.
func TestEstimate(t *testing.T) {
	table := New(Limits{})
	finish := func(job csmodel.JobID, i int) {
		s := newSubmit(fmt.Sprintf("%s-%d", job, i))
		s.Job = job
		table.Apply(s, baseTime)
		table.Apply(Lease{ID: s.ID, VM: "v", Fence: 1, Expiry: baseTimePlus(time.Hour)}, baseTime)
		table.Apply(Finish{ID: s.ID, Fence: 1, Used: Usage{CPU: 4000, Memory: 8 * csmodel.GiB, Runtime: time.Hour}}, baseTime)
	}
	for i := range MinSamples {
		if _, ok := table.Estimate("job"); ok {
			t.Fatalf("estimate from %d runs", i)
		}
		finish("job", i)
	}
	got, ok := table.Estimate("job")
	if !ok || got.CPU < 3600 || got.CPU > 4400 || got.Runtime < 54*time.Minute || got.Runtime > 66*time.Minute {
		t.Errorf("got %+v, want within 10%% of 4000 and 1h", got)
	}
	for i := range 2 * maxEstimators {
		finish(csmodel.JobID(fmt.Sprintf("j%d", i)), 0)
	}
	if len(table.jobs) > maxEstimators {
		t.Errorf("got %d jobs with estimators, limit %d", len(table.jobs), maxEstimators)
	}
}
