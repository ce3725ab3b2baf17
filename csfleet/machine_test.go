package csfleet

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/cstask"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestMachine returns a machine with pools p (budget 1, size 2) and q (budget 1, size 1), VMs p1, p2 and p3 of
// p and q1 of q.
func newTestMachine(t *testing.T) *Machine {
	t.Helper()
	m := New(Options{})
	setup := []Command{
		Configure{Revision: 1, Pools: []csconfig.Pool{
			{Name: "p", Region: "r", Size: 2, Budget: 1},
			{Name: "q", Region: "r", Size: 1, Budget: 1, Zones: []csmodel.AvailabilityZone{"a"}},
		}},
		RegisterVM{VM: "p1", Home: "p", Zone: "a", Rack: "a1", Incarnation: 1},
		RegisterVM{VM: "p2", Home: "p", Zone: "a", Rack: "a1", Incarnation: 1},
		RegisterVM{VM: "p3", Home: "p", Zone: "b", Rack: "b1", Incarnation: 1},
		RegisterVM{VM: "q1", Home: "q", Zone: "a", Rack: "a1", Incarnation: 1},
	}
	apply(t, m, setup)
	return m
}

// apply applies the commands as encoded log entries.
func apply(t *testing.T, m *Machine, commands []Command) {
	t.Helper()
	for _, c := range commands {
		if r := applyEntry(t, m, c, epoch); !r.Status.Accepted() {
			t.Fatalf("setup %T %+v: got status %d", c, c, r.Status)
		}
	}
}

func applyEntry(t *testing.T, m *Machine, c Command, at time.Time) Result {
	t.Helper()
	data, err := Encode(c)
	if err != nil {
		t.Fatalf("encode %T: %v", c, err)
	}
	r, err := DecodeResult(m.Apply(csraft.Entry{At: at, Data: data}))
	if err != nil {
		t.Fatalf("result of %T: %v", c, err)
	}
	return r
}

func lendCommands() []Command {
	return []Command{StartMove{VM: "p1", Fence: 1, To: "q"}, Drained{VM: "p1", Fence: 2}, HandOver{VM: "p1", Fence: 2}, Admit{VM: "p1", Fence: 2}}
}

func submitAndLease(vm csmodel.VMID) Tasks {
	return Tasks{Commands: []cstask.Command{
		cstask.Submit{ID: "t", Job: "j", Deadline: epoch.Add(time.Hour)},
		cstask.Lease{ID: "t", VM: vm, Fence: 1, Expiry: epoch.Add(time.Minute)},
	}}
}

// Guards against steps that exceed a budget, apply twice, with an old fence or in the wrong state, and against
// unavailability counts that stay wrong after a step.
func TestCommands(t *testing.T) {
	move := StartMove{VM: "p1", Fence: 1, To: "q"}
	reboot := StartReboot{VM: "p1", Fence: 1}
	tests := []struct {
		name        string
		setup       []Command
		do          Command
		status      Status
		state       State // of p1
		pool        csmodel.PoolID
		unavailable int // of pool p
	}{
		{"start move", nil, move, OK, Draining, "p", 1},
		{"start move again", []Command{move}, move, Repeated, Draining, "p", 1},
		{"move beyond the budget", []Command{StartReboot{VM: "p2", Fence: 1}}, move, OverBudget, Serving, "p", 1},
		{"move while another VM is lost", []Command{ReportLost{VM: "p2", Fence: 1}}, move, OverBudget, Serving, "p", 1},
		{"move while a zone is unreachable", []Command{ReportZone{Zone: "b"}}, move, OverBudget, Serving, "p", 1},
		{"move in an unreachable zone", []Command{ReportZone{Zone: "a"}}, move, ZoneUnreachable, Serving, "p", 2},
		{"move into a zone that is not allowed", nil, StartMove{VM: "p3", Fence: 1, To: "q"}, NotAllowed, Serving, "p", 0},
		{"move to an unknown pool", nil, StartMove{VM: "p1", Fence: 1, To: "x"}, NotFound, Serving, "p", 0},
		{"move with an old fence", []Command{move, UndoStep{VM: "p1", Fence: 2}}, move, Stale, Serving, "p", 0},
		{"permanent move", nil, StartMove{VM: "p1", Fence: 1, To: "q", Permanent: true}, OK, Draining, "p", 1},
		{"permanent move below the size", nil, StartMove{VM: "q1", Fence: 1, To: "p", Permanent: true}, NotAllowed, Serving, "p", 0},
		{"drained", []Command{move}, Drained{VM: "p1", Fence: 2}, OK, Handover, "p", 1},
		{"drained with a task", []Command{submitAndLease("p1"), move}, Drained{VM: "p1", Fence: 2}, Busy, Draining, "p", 1},
		{"drained with an old fence", []Command{move}, Drained{VM: "p1", Fence: 1}, Stale, Draining, "p", 1},
		{"undo", []Command{move}, UndoStep{VM: "p1", Fence: 2}, OK, Serving, "p", 0},
		{"undo after drained", []Command{move, Drained{VM: "p1", Fence: 2}}, UndoStep{VM: "p1", Fence: 2}, OK, Serving, "p", 0},
		{"undo after handover", lendCommands()[:3], UndoStep{VM: "p1", Fence: 2}, WrongState, Handover, "q", 1},
		{"handover before drained", []Command{move}, HandOver{VM: "p1", Fence: 2}, WrongState, Draining, "p", 1},
		{"handover again", lendCommands()[:3], HandOver{VM: "p1", Fence: 2}, Repeated, Handover, "q", 1},
		{"admit", lendCommands()[:3], Admit{VM: "p1", Fence: 2}, OK, Serving, "q", 1},
		{"admit a permanent move", []Command{StartMove{VM: "p1", Fence: 1, To: "q", Permanent: true}, Drained{VM: "p1", Fence: 2}, HandOver{VM: "p1", Fence: 2}}, Admit{VM: "p1", Fence: 2}, OK, Serving, "q", 0},
		{"admit before handover", lendCommands()[:2], Admit{VM: "p1", Fence: 2}, WrongState, Handover, "p", 1},
		{"reboot of a second VM while one is lent", lendCommands(), StartReboot{VM: "p2", Fence: 1}, OverBudget, Serving, "q", 1},
		{"return beyond the budget", append(lendCommands(), ReportLost{VM: "p2", Fence: 1}), StartMove{VM: "p1", Fence: 2, To: "p"}, OK, Draining, "q", 2},
		{"reboot", nil, reboot, OK, Draining, "p", 1},
		{"finish reboot", []Command{reboot, Drained{VM: "p1", Fence: 2}}, FinishReboot{VM: "p1", Fence: 2, Incarnation: 2}, OK, Serving, "p", 0},
		{"finish reboot by the old process", []Command{reboot, Drained{VM: "p1", Fence: 2}}, FinishReboot{VM: "p1", Fence: 2, Incarnation: 1}, Stale, Rebooting, "p", 1},
		{"finish reboot before the drain", []Command{reboot}, FinishReboot{VM: "p1", Fence: 2, Incarnation: 2}, WrongState, Draining, "p", 1},
		{"lost while draining", []Command{move}, ReportLost{VM: "p1", Fence: 2}, OK, Lost, "p", 1},
		{"lost after handover", lendCommands()[:3], ReportLost{VM: "p1", Fence: 2}, OK, Lost, "q", 1},
		{"return after handover", append(lendCommands()[:3:3], ReportLost{VM: "p1", Fence: 2}), ReportReturn{VM: "p1", Fence: 3, Incarnation: 1}, OK, Serving, "q", 1},
		{"loss report with an old fence", []Command{ReportLost{VM: "p1", Fence: 1}, ReportReturn{VM: "p1", Fence: 2, Incarnation: 1}}, ReportLost{VM: "p1", Fence: 1}, Stale, Serving, "p", 0},
		{"return with an old incarnation", []Command{ReportLost{VM: "p1", Fence: 1}}, ReportReturn{VM: "p1", Fence: 2}, Stale, Lost, "p", 1},
		{"remove a serving VM", nil, RemoveVM{VM: "p1", Fence: 1}, WrongState, Serving, "p", 0},
		{"remove without replacement", []Command{ReportLost{VM: "q1", Fence: 1}}, RemoveVM{VM: "q1", Fence: 2}, NotAllowed, Serving, "p", 0},
		{"remove with a replacement that serves already", []Command{ReportLost{VM: "q1", Fence: 1}, RegisterVM{VM: "q2", Home: "q", Zone: "a"}}, RemoveVM{VM: "q1", Fence: 2, Replacement: &RegisterVM{VM: "q2", Home: "q", Zone: "a"}}, OK, Serving, "p", 0},
		{"remove with replacement", []Command{ReportLost{VM: "q1", Fence: 1}}, RemoveVM{VM: "q1", Fence: 2, Replacement: &RegisterVM{VM: "q2", Home: "q", Zone: "a"}}, OK, Serving, "p", 0},
		{"register another VM with the same id", nil, RegisterVM{VM: "p1", Home: "q", Zone: "a"}, Exists, Serving, "p", 0},
		{"configuration with an old revision", nil, Configure{Revision: 1}, Stale, Serving, "p", 0},
		{"zone report with an old version", []Command{ReportZone{Zone: "a"}, ReportZone{Zone: "a", Version: 1, Reachable: true}}, ReportZone{Zone: "a"}, Stale, Serving, "p", 0},
		{"operator resumes", []Command{StartWave{Wave: "w", Pass: 1, Start: epoch}, PauseWave{Wave: "w", Operator: true}}, ResumeWave{Wave: "w", Operator: true}, OK, Serving, "p", 0},
		{"planner resumes an operator's pause", []Command{StartWave{Wave: "w", Pass: 1, Start: epoch}, PauseWave{Wave: "w", Operator: true}}, ResumeWave{Wave: "w", Version: 2}, NotAllowed, Serving, "p", 0},
		{"pause with an old version", []Command{StartWave{Wave: "w", Pass: 1, Start: epoch}, PauseWave{Wave: "w", Version: 1}, ResumeWave{Wave: "w", Version: 2}}, PauseWave{Wave: "w", Version: 1}, Stale, Serving, "p", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newTestMachine(t)
			apply(t, m, tt.setup)
			got := applyEntry(t, m, tt.do, epoch)
			v, _ := m.VM("p1")
			if got.Status != tt.status || v.State != tt.state || v.Pool != tt.pool {
				t.Errorf("got status %d, state %d, pool %s, want %d, %d, %s", got.Status, v.State, v.Pool, tt.status, tt.state, tt.pool)
			}
			if n := m.Unavailable("p"); n != tt.unavailable {
				t.Errorf("got %d unavailable, want %d", n, tt.unavailable)
			}
		})
	}
}

// Guards against a lease on a draining VM, which would keep the drain from ending or be interrupted by it.
func TestNoLeaseOnDrainingVM(t *testing.T) {
	m := newTestMachine(t)
	apply(t, m, []Command{StartReboot{VM: "p1", Fence: 1}})
	got := applyEntry(t, m, submitAndLease("p1"), epoch)
	if len(got.Tasks) != 2 || got.Tasks[0].Status != cstask.OK || got.Tasks[1].Status != cstask.Refused {
		t.Errorf("got %+v, want an accepted submission and a refused lease", got.Tasks)
	}
}

// Guards against escrow shares that add up to more than the budget or depend on the order of zones.
func TestEscrowShares(t *testing.T) {
	zones := []csmodel.AvailabilityZone{"a", "b", "c"}
	for budget := range 10 {
		sum := 0
		for _, z := range zones {
			sum += zoneShare(budget, zones, z)
		}
		if sum != budget {
			t.Errorf("budget %d: shares add up to %d", budget, sum)
		}
	}
	if got := zoneShare(3, zones, "x"); got != 0 {
		t.Errorf("got share %d of an unknown zone, want 0", got)
	}
}

// Guards against a comparison in which a budget rule exceeds a budget, or whose result depends on anything but the
// seed.
func TestCompareBudgets(t *testing.T) {
	first := CompareBudgets(1)
	if second := CompareBudgets(1); fmt.Sprint(first) != fmt.Sprint(second) {
		t.Errorf("two runs differ: %+v and %+v", first, second)
	}
	for _, c := range first {
		if c.Violations > 0 || c.Reboots == 0 {
			t.Errorf("got %+v, want reboots and no violation", c)
		}
	}
}
