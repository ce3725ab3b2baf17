package cscapacity

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const tick = 250 * time.Millisecond

// simulatedRegion simulates a pool and a spare pool. A wanted move takes effect after four seconds.
type simulatedRegion struct {
	policy  Policy
	now     time.Time
	pool    Load
	spare   Load
	pending []simulatedMove
	moves   int
}

type simulatedMove struct {
	at     time.Time
	toPool bool // otherwise from the pool
}

func newSimulatedRegion(p Policy) *simulatedRegion {
	return &simulatedRegion{
		policy: p, now: start,
		pool:  Load{Pool: "a", VMs: 10, Slots: 80},
		spare: Load{Pool: "s", Spare: true, VMs: 10, Slots: 80, Lendable: 6},
	}
}

// run advances the simulation by length with a constant demand in slots. Each request takes 0.25 s.
func (r *simulatedRegion) run(length time.Duration, demand int) Plan {
	var plan Plan
	for range int(length / tick) {
		r.now = r.now.Add(tick)
		r.finishMoves()
		r.pool.Arrivals += uint64(demand)
		r.pool.Busy = min(demand, r.pool.Slots)
		r.pool.Queued = demand - r.pool.Busy
		plan = r.policy.Step(r.now, []Load{r.pool, r.spare})
		for _, m := range plan.Moves {
			r.startMove(m)
		}
	}
	return plan
}

func (r *simulatedRegion) startMove(m Move) {
	underWay := 0
	for _, l := range r.pending {
		if l.toPool == (m.To == "a") {
			underWay++
		}
	}
	for range m.VMs - underWay {
		r.moves++
		r.pending = append(r.pending, simulatedMove{r.now.Add(4 * time.Second), m.To == "a"})
		if m.To == "a" {
			r.spare.Lendable--
		} else {
			r.addBorrowed(-1)
		}
	}
	r.updateArriving()
}

func (r *simulatedRegion) updateArriving() {
	count := 0
	for _, l := range r.pending {
		if l.toPool {
			count++
		}
	}
	r.pool.Arriving = []Borrowed{{"s", count}}
}

func (r *simulatedRegion) addBorrowed(vms int) {
	r.pool.VMs += vms
	r.pool.Slots += 8 * vms
	r.pool.Borrowed = []Borrowed{{"s", r.pool.VMs - 10}}
}

func (r *simulatedRegion) finishMoves() {
	r.pending = slices.DeleteFunc(r.pending, func(l simulatedMove) bool {
		if l.at.After(r.now) {
			return false
		}
		if l.toPool {
			r.addBorrowed(1)
		} else {
			r.spare.Lendable++
		}
		return true
	})
	r.updateArriving()
}

// Guards against moves for a burst that ends before a move helps, against no moves for a recurring shortage, against
// moves at each burst (missing hysteresis), and against VMs that are never returned.
func TestForecastMoves(t *testing.T) {
	r := newSimulatedRegion(&Forecast{})
	r.run(30*time.Second, 4)
	r.run(5*time.Second, 70)
	r.run(40*time.Second, 4)
	if r.moves != 0 {
		t.Errorf("after a burst that the pool holds: got %d moves, want 0", r.moves)
	}
	for range 5 {
		r.run(8*time.Second, 110)
		r.run(32*time.Second, 4)
	}
	if r.pool.VMs < 12 {
		t.Errorf("after recurring bursts: got %d VMs, want at least 12", r.pool.VMs)
	}
	if r.moves > 8 {
		t.Errorf("during recurring bursts: got %d moves, want at most 8", r.moves)
	}
	r.run(5*time.Minute, 4)
	if r.pool.VMs != 10 {
		t.Errorf("after the bursts: got %d VMs, want 10", r.pool.VMs)
	}
}

// Guards against moves between pools for a short shortage, against lending VMs from a pool with late deferred tasks,
// and against a deferred deadline that is missed because a late pool keeps its slots free.
func TestForecastLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := &Forecast{}
		a := Load{Pool: "a", VMs: 10, Slots: 80}
		b := Load{Pool: "b", VMs: 10, Slots: 80, Lendable: 2, Late: late}
		now := start
		lent := false
		for i := range 400 {
			now = now.Add(tick)
			a.Arrivals += 100
			a.Busy, a.Queued = 80, 40
			b.Arrivals += 4
			b.Busy = 4
			plan := f.Step(now, []Load{a, b})
			if len(plan.Moves) > 0 && i < 4 {
				t.Errorf("late %t: got moves %v in the first second, want none", late, plan.Moves)
			}
			lent = lent || len(plan.Moves) > 0
		}
		if lent == late {
			t.Errorf("late %t: got lent %t, want %t", late, lent, !late)
		}
	}
}

// Guards against plans that exceed what a pool has, depend on map order or need memory that grows with the load, at 101
// pools.
func TestPlansBounded(t *testing.T) {
	for seed := range uint64(5) {
		for _, policy := range []func() Policy{
			func() Policy { return &Static{Lent: 1} },
			func() Policy { return &Reactive{} },
			func() Policy { return &Forecast{} },
		} {
			checkPolicy(t, seed, policy(), policy())
		}
	}
}

func checkPolicy(t *testing.T, seed uint64, a, b Policy) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	loads := make([]Load, 101)
	for i := range loads {
		loads[i] = Load{Pool: csmodel.PoolID(fmt.Sprintf("p%03d", i)), Spare: i > 97}
	}
	for n := range 30 {
		randomizeLoads(rng, loads)
		now := start.Add(time.Duration(n) * tick)
		plan := a.Step(now, loads)
		if again := b.Step(now, loads); !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d: %T: got %v and %v for the same loads", seed, a, plan, again)
		}
		checkPlan(t, a, plan, loads)
	}
	if f, ok := a.(*Forecast); ok && (len(f.pools) > 101 || len(f.delays.pending) > 101*101) {
		t.Fatalf("seed %d: got %d pools and %d pending moves", seed, len(f.pools), len(f.delays.pending))
	}
}

func randomizeLoads(rng *rand.Rand, loads []Load) {
	for i := range loads {
		l := &loads[i]
		l.VMs = rng.IntN(33)
		l.Slots = 8 * l.VMs
		l.Busy = rng.IntN(l.Slots + 1)
		l.Queued = rng.IntN(3) * rng.IntN(200)
		l.Arrivals += uint64(rng.IntN(300))
		l.Lendable = rng.IntN(l.VMs + 1)
		l.Deferred = rng.Float64() * float64(l.Slots)
		l.Late = rng.IntN(4) == 0
		l.Borrowed = nil
		l.Arriving = nil
		if other := loads[rng.IntN(len(loads))].Pool; other != l.Pool && l.VMs > 2 {
			l.Borrowed = []Borrowed{{other, rng.IntN(3)}}
			l.Arriving = []Borrowed{{other, rng.IntN(3)}}
		}
	}
}

func checkPlan(t *testing.T, p Policy, plan Plan, loads []Load) {
	t.Helper()
	byPool := map[csmodel.PoolID]Load{}
	for _, l := range loads {
		byPool[l.Pool] = l
	}
	taken := map[csmodel.PoolID]int{}
	for _, m := range plan.Moves {
		from, to := byPool[m.From], byPool[m.To]
		if m.VMs <= 0 || m.From == m.To {
			t.Fatalf("%T: got move %+v", p, m)
		}
		returned := slices.ContainsFunc(from.Borrowed, func(b Borrowed) bool { return b.Home == m.To && b.VMs >= m.VMs })
		if !returned {
			taken[m.From] += m.VMs - to.arrivingFrom(m.From)
		}
	}
	for pool, count := range taken {
		if count > byPool[pool].Lendable {
			t.Fatalf("%T: got %d VMs of %s, which can give up %d", p, count, pool, byPool[pool].Lendable)
		}
	}
	for _, s := range plan.DeferredLimits {
		if l := byPool[s.Pool]; s.Reserved < 0 || s.Reserved > l.Slots || s.Yield < 0 || s.Yield > l.Deferred {
			t.Fatalf("%T: got limit %+v of %+v", p, s, l)
		}
	}
}

// Guards against a task that yields although it would then miss its deadline, and against tasks that change between
// throttled and full speed on every tick.
func TestShareTasks(t *testing.T) {
	tasks := []Task{
		{Task: "urgent", Slots: 1, Slack: time.Second},
		{Task: "late", Slots: 1, Slack: time.Second, Throttled: true},
		{Task: "slack", Slots: 1, Slack: time.Hour},
		{Task: "slow", Slots: 1, Slack: time.Minute, Throttled: true},
		{Task: "spare", Slots: 1, Slack: 2 * time.Minute},
	}
	tests := []struct {
		limit         DeferredLimit
		yield, resume []csmodel.TaskID
	}{
		{DeferredLimit{}, nil, []csmodel.TaskID{"slow", "late"}},
		{DeferredLimit{Yield: 0.5}, nil, []csmodel.TaskID{"late"}},
		{DeferredLimit{Yield: 1}, []csmodel.TaskID{"slack"}, []csmodel.TaskID{"late"}},
		{DeferredLimit{Yield: 9}, []csmodel.TaskID{"slack", "spare"}, []csmodel.TaskID{"late"}},
		{DeferredLimit{Yield: 2, Checkpoint: true}, []csmodel.TaskID{"slow", "slack"}, []csmodel.TaskID{"late"}},
	}
	for _, tt := range tests {
		yield, resume := tt.limit.Tasks(tasks)
		if got := taskIDs(yield); !slices.Equal(got, tt.yield) {
			t.Errorf("%+v: got yield %v, want %v", tt.limit, got, tt.yield)
		}
		got := taskIDs(resume)
		slices.Sort(got)
		slices.Sort(tt.resume)
		if !slices.Equal(got, tt.resume) {
			t.Errorf("%+v: got resume %v, want %v", tt.limit, got, tt.resume)
		}
	}
}

func taskIDs(tasks []Task) []csmodel.TaskID {
	var ids []csmodel.TaskID
	for _, t := range tasks {
		ids = append(ids, t.Task)
	}
	return ids
}
