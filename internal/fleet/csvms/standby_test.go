package csvms

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Pattern: queues are busy by turns, and all pools together never need all VMs. Those beyond the most that they needed at one
// time are switched off, but no VM that its own pool needs. Guards against a fleet that stays on because each VM is needed
// somewhere every few seconds.
func TestParkKeepsTotalNeed(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		idle time.Duration
		need csmodel.MilliCPU // of the first of two pools of ten VMs
		keep int
		want int
	}{
		{"more VMs than needed", 2 * parkAfterIdle, 0, 12, 8},
		{"idle too briefly", parkAfterIdle / 2, 0, 12, 0},
		{"all were needed recently", 2 * parkAfterIdle, 0, 20, 0},
		{"a pool keeps its minimum", 2 * parkAfterIdle, 0, 0, 20 - 2*minPoolVMs},
		{"a pool keeps what it needs", 2 * parkAfterIdle, 8 * vmCPU, 0, 10 - minPoolVMs},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second, standby := poolView("first", 10, c.need), poolView("second", 10, 0), poolView("standby", 5, 0)
			standby.Standby = true
			candidates := append(idleVMs("first", 10, now.Add(-c.idle)), idleVMs("second", 10, now.Add(-c.idle))...)
			candidates = append(candidates, idleVMs("standby", 5, now.Add(-c.idle))...)
			out := Park(now, []*PoolView{first, second, standby}, candidates, nil, c.keep)
			if got := len(out); got != c.want {
				t.Errorf("got %d VMs switched off, want %d", got, c.want)
			}
			if got, want := first.VMs+second.VMs, 20-c.want; got != want {
				t.Errorf("got %d VMs left, want %d", got, want)
			}
		})
	}
}

// Guards against parking a VM that is already on its way to another pool.
func TestParkSkipsMovingVMs(t *testing.T) {
	now := time.Now()
	pool, standby := poolView("pool", 10, 0), poolView("standby", 0, 0)
	standby.Standby = true
	candidates := idleVMs("pool", 10, now.Add(-2*parkAfterIdle))
	moved := []Transfer{{VM: candidates[0].ID, To: "other"}, {VM: candidates[1].ID, To: "other"}}
	for _, p := range Park(now, []*PoolView{pool, standby}, candidates, moved, 0) {
		if p.VM == candidates[0].ID || p.VM == candidates[1].ID {
			t.Errorf("got VM %s switched off, which moves to another pool", p.VM)
		}
	}
}

// Pattern: the number of VMs that all pools need varies between the middle of a turn and the change to the next one. Guards
// against VMs that are switched off in the middle of each turn.
func TestSlidingMaxSpansTurn(t *testing.T) {
	start := time.Now()
	var p slidingMax
	if got := p.maximum(); got != 0 {
		t.Errorf("got %d before any value, want 0", got)
	}
	const tick = 100 * time.Millisecond
	for at := time.Duration(0); at < 3*peakWindow; at += tick {
		vms := 100
		if at%(8*time.Second) < time.Second && at < peakWindow {
			vms = 200
		}
		p.observe(start.Add(at), vms)
		want := 200
		if at >= 17*time.Second+peakWindow { // the last change ended at 17 s
			want = 100
		}
		if got := p.maximum(); got != want {
			t.Fatalf("at %s: got %d, want %d", at, got, want)
		}
	}
}

// Pattern: a leader is lost during a turn, and for some seconds little work reaches the new one. Guards against VMs that are
// switched off shortly before the clients return.
func TestNewLeaderDoesNotParkBeforeFullTurn(t *testing.T) {
	start := time.Now()
	busy := func(f *Forecast, from, to time.Duration, pool csmodel.PoolID) {
		for at := from; at < to; at += 100 * time.Millisecond {
			f.Observe(start.Add(at), pool, 100_000, 20, 60_000)
		}
	}
	cases := []struct {
		name      string
		leadFrom  time.Duration
		now       time.Duration
		otherTurn bool // another pool's turn started after 10 s
		want      bool
	}{
		{"leading before the first work", -time.Second, 5 * time.Second, false, true},
		{"leader changed during the turn", 4 * time.Second, 8 * time.Second, false, false},
		{"next turn seen from its start", 4 * time.Second, 12 * time.Second, true, true},
		{"leading for a whole window", 4 * time.Second, 4*time.Second + peakWindow, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := Fleet{leadingSince: start.Add(c.leadFrom)}
			if f.mayPark(start) {
				t.Error("got VMs switched off before any work was seen")
			}
			busy(&f.forecast, 0, 10*time.Second, "first")
			if c.otherTurn {
				busy(&f.forecast, 10*time.Second, 12*time.Second, "second")
			}
			if got := f.mayPark(start.Add(c.now)); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// Pattern: pools with work, with long-running tasks and with neither are added up.
func TestTotalDesiredVMs(t *testing.T) {
	busy, longRunning, quiet, standby := poolView("busy", 4, 8*vmCPU), poolView("long-running", 6, 0), poolView("quiet", 5, 0), poolView("standby", 9, 0)
	longRunning.RequiredVMs, standby.Standby = 6, true
	pools := []*PoolView{busy, longRunning, quiet, standby}
	if got, want := totalDesiredVMs(pools, vmCPU), 10+6+minPoolVMs; got != want {
		t.Errorf("got %d VMs, want %d", got, want)
	}
	if got := totalDesiredVMs(pools, 0); got != 0 {
		t.Errorf("got %d VMs without CPU, want 0", got)
	}
}
