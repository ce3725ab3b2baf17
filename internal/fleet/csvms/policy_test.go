package csvms

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const vmCPU = csmodel.MilliCPU(16000)

func idleVMs(pool csmodel.PoolID, n int, since time.Time) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{ID: csmodel.VMID(fmt.Sprintf("%s-%02d", pool, i)), Pool: pool, CPU: vmCPU, Idle: true, IdleSince: since})
	}
	return out
}

func poolView(id csmodel.PoolID, vms int, need csmodel.MilliCPU) *PoolView {
	return &PoolView{ID: id, VMs: vms, Supply: csmodel.MilliCPU(vms) * vmCPU, PresentDemand: need, MinVMs: minPoolVMs}
}

// Pattern: one pool has five times its mean demand while the others are nearly idle.
func TestBalanceMovesVMsToBusyPool(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		need  csmodel.MilliCPU
		quiet int // VMs of the quiet pool
		spare int // VMs of the standby pool
		want  int // moves to the busy pool
	}{
		{"enough capacity", 8 * vmCPU, 10, 8, 0},
		{"standby VMs go first", 12 * vmCPU, 10, 8, 5},
		{"then idle VMs down to the minimum", 40 * vmCPU, 10, 8, 15},
		{"no donor", 40 * vmCPU, 3, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			busy, quiet, spare := poolView("busy", 10, c.need), poolView("quiet", c.quiet, 0), poolView("spare", c.spare, 0)
			spare.Standby = true
			candidates := append(idleVMs("quiet", c.quiet, now), idleVMs("spare", c.spare, now)...)
			moves := Balance([]*PoolView{busy, quiet, spare}, candidates)
			if got := len(moves); got != c.want {
				t.Fatalf("got %d moves, want %d", got, c.want)
			}
			for _, m := range moves {
				if m.To != "busy" {
					t.Errorf("got a move of %s to %s, want busy", m.VM, m.To)
				}
			}
		})
	}
}

// Pattern: the busy phase of one pool is over and its last runs are spread over all its VMs, while another pool's phase has
// started. VMs are drained for the new phase, the fastest ones first, and never those with long-running tasks.
func TestBusyVMsAreDrainedForNextPhase(t *testing.T) {
	cases := []struct {
		name   string
		need   csmodel.MilliCPU // of the pool whose phase is over
		demand csmodel.MilliCPU // of the pool whose phase has started
		want   int
	}{
		{"late work holds no VM", 2 * vmCPU, 8 * vmCPU, 5},
		{"timely work keeps its VMs", 9 * vmCPU, 8 * vmCPU, 0},
		{"no deficit", 2 * vmCPU, 3 * vmCPU, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			over, begun := poolView("over", 10, c.need), poolView("begun", 4, c.demand)
			candidates := idleVMs("over", 10, time.Now())
			for i := range candidates {
				candidates[i].Idle = false
				candidates[i].DrainTime = time.Duration(i) * 100 * time.Millisecond
				candidates[i].LongRunning = i < 3
			}
			moves := Balance([]*PoolView{over, begun}, candidates)
			if got := len(moves); got != c.want {
				t.Fatalf("got %d moves, want %d", got, c.want)
			}
			for i, m := range moves {
				if want := candidates[3+i].ID; m.VM != want {
					t.Errorf("got VM %s drained, want %s", m.VM, want)
				}
			}
		})
	}
}

// Pattern: one pool is busy and another one's turn is expected; there are not enough VMs for both.
func TestPresentDemandBeforeExpectedDemand(t *testing.T) {
	busy, next, spare := poolView("busy", 4, 8*vmCPU), poolView("next", 4, 0), poolView("spare", 8, 0)
	next.ExpectedDemand, spare.Standby = 8*vmCPU, true
	got := map[csmodel.PoolID]int{}
	for _, m := range Balance([]*PoolView{next, busy, spare}, idleVMs("spare", 8, time.Now())) {
		got[m.To]++
	}
	if got["busy"] != 6 || got["next"] != 2 {
		t.Errorf("got %d VMs to the busy pool and %d to the next one, want 6 and 2", got["busy"], got["next"])
	}
}

// Pattern: a pool has CPU to spare, and its long-running tasks must not share VMs or lack memory.
func TestPoolGetsVMsForLongRunningTasks(t *testing.T) {
	cases := []struct {
		name                string
		vms, spread         int
		memory, memoryPerVM float64
		want                int // moves to the pool
	}{
		{"no long-running tasks", 3, 0, 0, 64, 0},
		{"spread over four VMs", 3, 4, 64, 64, 2},
		{"enough VMs", 5, 4, 64, 64, 0},
		{"memory of four VMs", 3, 1, 190, 64, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, other := poolView("pool", c.vms, 0), poolView("other", 10, 0)
			pool.RequiredVMs = requiredVMs(c.spread, c.memory, c.memoryPerVM)
			moves := Balance([]*PoolView{pool, other}, append(idleVMs("pool", c.vms, time.Now()), idleVMs("other", 10, time.Now())...))
			if got := len(moves); got != c.want {
				t.Errorf("got %d moves, want %d", got, c.want)
			}
		})
	}
}

// Pattern: the turn of a pool is about to end, and its last runs are spread over more VMs than they need. If the next turn is
// certain, VMs beyond the present demand are drained ahead of it; if it is only expected, none is.
func TestBusyVMsAreDrainedForCertainTurn(t *testing.T) {
	for _, certain := range []bool{true, false} {
		t.Run(fmt.Sprint(certain), func(t *testing.T) {
			ending, next := poolView("ending", 10, 5*vmCPU), poolView("next", 4, 0)
			next.ExpectedDemand = 10 * vmCPU
			want := 0
			if certain {
				next.CertainDemand, want = next.ExpectedDemand, 4
			}
			candidates := idleVMs("ending", 10, time.Now())
			for i := range candidates {
				candidates[i].Idle = false
			}
			if got := len(Balance([]*PoolView{ending, next}, candidates)); got != want {
				t.Errorf("got %d moves, want %d", got, want)
			}
		})
	}
}

// Pattern: an availability zone is cut off in a busy phase, and quiet pools keep more VMs than their long-running tasks need.
// Their spare VMs go to the busy pool, and no others.
func TestSpareVMsGoToBusyPool(t *testing.T) {
	cases := []struct {
		name string
		need csmodel.MilliCPU
		want int
	}{
		{"CPU is lacking", 12 * vmCPU, 2},
		{"only headroom is lacking", 8 * vmCPU, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			busy, first, second := poolView("busy", 9, c.need), poolView("first", 5, 0), poolView("second", 6, 0)
			first.RequiredVMs, second.RequiredVMs = requiredVMs(4, 0, 0), requiredVMs(5, 0, 0)
			candidates := append(idleVMs("first", 5, time.Now()), idleVMs("second", 6, time.Now())...)
			moves := Balance([]*PoolView{busy, first, second}, candidates)
			if got := len(moves); got != c.want {
				t.Errorf("got %d moves, want %d", got, c.want)
			}
			if first.VMs < 4 || second.VMs < 5 {
				t.Errorf("got %d and %d VMs left, want 4 and 5 at least", first.VMs, second.VMs)
			}
		})
	}
}

// Pattern: queues are busy by turns. From the second cycle on each pool is expected to be busy shortly before its turn, and at no
// other time.
func TestForecastLearnsCycle(t *testing.T) {
	cases := []struct {
		name   string
		pools  int
		length time.Duration
		cycles int
	}{
		{"four pools", 4, 4500 * time.Millisecond, 4},
		{"two pools", 2, 6 * time.Second, 4},
		{"long turns", 5, 20 * time.Second, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var f Forecast
			start := time.Unix(1_800_000_000, 0)
			cycle := time.Duration(c.pools) * c.length
			const tick, ahead = 100 * time.Millisecond, 1500 * time.Millisecond
			predicted, wrong, samples := 0, 0, 0
			for at := time.Duration(0); at < time.Duration(c.cycles)*cycle; at += tick {
				turn := int(at/c.length) % c.pools
				for p := range c.pools {
					id := csmodel.PoolID(fmt.Sprint(p))
					work, jobs := csmodel.MilliCPU(5000), 1
					if p == turn {
						work, jobs = 100_000, 20
					}
					f.Observe(start.Add(at), id, work, jobs, 60_000)
					untilTurn := (time.Duration((p-turn+c.pools)%c.pools)*c.length - at%c.length + cycle) % cycle
					expected := f.NextPhase(start.Add(at), id, ahead) > 0
					switch {
					case at < 2*cycle || p == turn:
					case expected && untilTurn > ahead+detectionDelay+tick:
						wrong++
					case untilTurn <= ahead && untilTurn > tick:
						samples++
						if expected {
							predicted++
						}
					}
				}
			}
			if wrong > 0 {
				t.Errorf("got %d predictions at the wrong time, want 0", wrong)
			}
			if predicted < samples*9/10 {
				t.Errorf("got %d of %d samples before a turn predicted, want nine tenths", predicted, samples)
			}
		})
	}
}

// Pattern: jobs arrive at a quiet pool without a pause, and then its turn starts. Guards against a turn whose start is set
// somewhere in the quiet time: the next one would be expected seconds too early.
func TestTurnStartsWhenWorkRises(t *testing.T) {
	const length, tick = 8 * time.Second, 100 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	var f Forecast
	for at := time.Duration(0); at < 2*length; at += tick {
		turn := int(at / length)
		for p, id := range []csmodel.PoolID{"a", "b"} {
			work, jobs := csmodel.MilliCPU(4000), 4
			if p == turn {
				// Arrivals are averaged over a second, so the work rises over that time.
				risen := min(1, (at%length).Seconds()/csrun.OfferedLoadWindow.Seconds())
				work, jobs = csmodel.MilliCPU(4000+96_000*risen), 4+int(16*risen)
			}
			f.Observe(start.Add(at), id, work, jobs, 60_000)
		}
	}
	if got, want := len(f.turns), 2; got != want {
		t.Fatalf("got %d turns, want %d", got, want)
	}
	if got := f.turns[1].at.Sub(start); got < length || got > length+csrun.OfferedLoadWindow {
		t.Errorf("got the second turn at %s, want at most %s after %s", got, csrun.OfferedLoadWindow, length)
	}
	if got, known := f.turnLength(); !known || got < length || got > length+csrun.OfferedLoadWindow {
		t.Errorf("got a turn of %s (known: %t), want %s", got, known, length)
	}
}

// Pattern: queues are busy by turns in an unknown order. From the third turn on the work of a turn is predicted before it starts,
// divided among the pools that have had no turn yet, and the end of a regular turn is predicted for its pool.
func TestForecastPredictsNextTurn(t *testing.T) {
	pools := []csmodel.PoolID{"a", "b", "c", "d"}
	order := []int{3, 1, 2, 0}
	const length, tick, ahead = 10 * time.Second, 100 * time.Millisecond, 1500 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	var f Forecast
	for at := time.Duration(0); at < 4*length; at += tick {
		now := start.Add(at)
		turn := int(at / length)
		for p, id := range pools {
			work, jobs := csmodel.MilliCPU(5000), 1
			if p == order[turn] {
				work, jobs = 100_000, 20
			}
			if p == order[3] && at%(5*time.Second) == 2*time.Second {
				work = 90_000 // a single large job
			}
			f.Observe(now, id, work, jobs, 60_000)
		}
		next := f.NextTurn(now, pools, ahead)
		left := length - at%length
		switch {
		case turn == 0 || turn == 3:
			if turn == 0 && len(next) > 0 {
				t.Fatalf("at %s: got %v expected before any turn has ended", at, next)
			}
		case left > ahead+tick && at%length > lateStartTolerance:
			if len(next) > 0 {
				t.Fatalf("at %s: got %v expected, want nothing", at, next)
			}
		case left > tick && left < ahead:
			if got, want := len(next), 3-turn; got != want {
				t.Fatalf("at %s: got %d pools that may be next, want %d", at, got, want)
			}
			if got, want := next[pools[order[turn+1]]], csmodel.MilliCPU(100_000/(3-turn)); got < want*9/10 || got > want*11/10 {
				t.Fatalf("at %s: got %d expected, want %d", at, got, want)
			}
			if got, want := f.TurnEnding(now, pools[order[turn]], ahead), turn >= 2; got != want {
				t.Fatalf("at %s: got %t for the end of the turn, want %t", at, got, want)
			}
		}
	}
}
