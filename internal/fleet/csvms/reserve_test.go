package csvms

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Pattern: queues are busy by turns, and all pools together never need all VMs. Those beyond the most that they needed at
// one time are switched off, and no VM that its own pool needs. Guards against a fleet that stays on because each VM is
// needed somewhere every few seconds.
func TestParkKeepsWhatAllPoolsNeedTogether(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		idle time.Duration
		need csmodel.MilliCPU // of the first of two pools of ten VMs
		keep int
		want int
	}{
		{"more VMs than needed", 2 * parkAfter, 0, 12, 8},
		{"idle for a moment", parkAfter / 2, 0, 12, 0},
		{"all were needed lately", 2 * parkAfter, 0, 20, 0},
		{"a pool keeps its floor", 2 * parkAfter, 0, 0, 20 - 2*floorVMs},
		{"a pool keeps what it needs", 2 * parkAfter, 8 * vmCPU, 0, 10 - floorVMs},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second, standby := view("first", 10, c.need), view("second", 10, 0), view("standby", 5, 0)
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

// Guards against a VM that is sent to the standby pool although it is already on its way to another pool.
func TestParkLeavesMovedVMs(t *testing.T) {
	now := time.Now()
	pool, standby := view("pool", 10, 0), view("standby", 0, 0)
	standby.Standby = true
	candidates := idleVMs("pool", 10, now.Add(-2*parkAfter))
	moved := []Transfer{{VM: candidates[0].ID, To: "other"}, {VM: candidates[1].ID, To: "other"}}
	for _, p := range Park(now, []*PoolView{pool, standby}, candidates, moved, 0) {
		if p.VM == candidates[0].ID || p.VM == candidates[1].ID {
			t.Errorf("got VM %s switched off, which moves to another pool", p.VM)
		}
	}
}

// Pattern: what all pools need swings between the middle of a turn and the change to the next one. Guards against VMs that
// are switched off in the middle of each turn.
func TestPeaksKeepTheMostOfATurn(t *testing.T) {
	start := time.Now()
	var p peaks
	if got := p.highest(); got != 0 {
		t.Errorf("got %d before any value, want 0", got)
	}
	const tick = 100 * time.Millisecond
	for at := time.Duration(0); at < 3*keepFor; at += tick {
		vms := 100
		if at%(8*time.Second) < time.Second && at < keepFor {
			vms = 200
		}
		p.observe(start.Add(at), vms)
		want := 200
		if at >= 17*time.Second+keepFor { // the last change ended at 17 s
			want = 100
		}
		if got := p.highest(); got != want {
			t.Fatalf("at %s: got %d, want %d", at, got, want)
		}
	}
}

// Pattern: a leader is lost in a turn, and for some seconds little work reaches the new one. Guards against VMs that are
// switched off shortly before the clients come back.
func TestNewLeaderParksNothingBeforeItHasSeenATurn(t *testing.T) {
	start := time.Now()
	busy := func(f *Forecast, from, to time.Duration, pool csmodel.PoolID) {
		for at := from; at < to; at += 100 * time.Millisecond {
			f.Observe(start.Add(at), pool, 100_000, 20, 60_000)
		}
	}
	cases := []struct {
		name      string
		ledSince  time.Duration
		now       time.Duration
		otherTurn bool // another pool's turn began after 10 s
		want      bool
	}{
		{"led before the first work", -time.Second, 5 * time.Second, false, true},
		{"leader changed in the turn", 4 * time.Second, 8 * time.Second, false, false},
		{"next turn was seen from its beginning", 4 * time.Second, 12 * time.Second, true, true},
		{"leads for long", 4 * time.Second, 4*time.Second + keepFor, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := Fleet{since: start.Add(c.ledSince)}
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

// Pattern: pools with work, with tasks that last and with neither are looked at together.
func TestWantedAddsUpAllPools(t *testing.T) {
	busy, lasting, quiet, standby := view("busy", 4, 8*vmCPU), view("lasting", 6, 0), view("quiet", 5, 0), view("standby", 9, 0)
	lasting.Required, standby.Standby = 6, true
	pools := []*PoolView{busy, lasting, quiet, standby}
	if got, want := wanted(pools, vmCPU), 10+6+floorVMs; got != want {
		t.Errorf("got %d VMs, want %d", got, want)
	}
	if got := wanted(pools, 0); got != 0 {
		t.Errorf("got %d VMs of no size, want 0", got)
	}
}
