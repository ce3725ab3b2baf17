package csvms

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// fakePlatform is a platform with VMs. Each VM that returns has a new target.
type fakePlatform struct {
	mu           sync.Mutex
	vms          map[csmodel.VMID]*VM
	restarts     map[csmodel.VMID]int
	maxDown      int // largest number of VMs that were in maintenance at once
	lastOrder    map[csmodel.VMID]string
	failingLists int                  // number of listings still to fail
	hiddenLists  map[csmodel.VMID]int // number of listings still to leave out a VM
	limitOrders  bool                 // orders are answered with RateLimited and have no effect
	listDelay    time.Duration        // from the making of a list until its arrival
	sentAt       []time.Time          // times of all orders
}

func newFakePlatform(pools map[csmodel.PoolID]int) *fakePlatform {
	f := &fakePlatform{vms: map[csmodel.VMID]*VM{}, restarts: map[csmodel.VMID]int{}, lastOrder: map[csmodel.VMID]string{}, hiddenLists: map[csmodel.VMID]int{}}
	for _, p := range csmodel.SortedKeys(pools) {
		for i := range pools[p] {
			id := csmodel.VMID(fmt.Sprintf("%s-%d", p, i))
			f.vms[id] = &VM{ID: id, Pool: p, Phase: Up, Resources: csjob.Resources{CPU: vmCPU, Memory: 1000}, Target: csjob.TargetID(id + ".0")}
		}
	}
	return f
}

func (f *fakePlatform) VMs(context.Context) ([]VM, error) {
	f.mu.Lock()
	failing := f.failingLists > 0
	f.failingLists--
	f.mu.Unlock()
	if failing {
		return nil, ErrNoAnswer
	}
	out := f.list()
	time.Sleep(f.listDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(out, func(v VM) bool {
		f.hiddenLists[v.ID]--
		return f.hiddenLists[v.ID] >= 0
	}), nil
}

// list returns the state of the VMs, whether or not the platform answers.
func (f *fakePlatform) list() []VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []VM
	for _, id := range csmodel.SortedKeys(f.vms) {
		out = append(out, *f.vms[id])
	}
	return out
}

func (f *fakePlatform) Move(_ context.Context, id csmodel.VMID, p csmodel.PoolID, _ csmodel.Fence) (Answer, error) {
	return f.applyOrder(id, "move "+string(p), Moving, testMoveTime, func(v *VM) { v.Pool = p }), nil
}

func (f *fakePlatform) Maintain(_ context.Context, id csmodel.VMID, w csmodel.WaveID, _ csmodel.Fence) (Answer, error) {
	return f.applyOrder(id, "wave "+string(w), InMaintenance, testMaintenanceTime, func(*VM) {}), nil
}

func (f *fakePlatform) applyOrder(id csmodel.VMID, key string, p Phase, d time.Duration, change func(*VM)) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentAt = append(f.sentAt, time.Now())
	if f.limitOrders {
		return RateLimited
	}
	v := f.vms[id]
	if v == nil {
		return NotApplicable
	}
	if f.lastOrder[id] == key {
		return Done
	}
	if v.Phase != Up {
		return Busy
	}
	f.lastOrder[id] = key
	v.Phase, v.Target = p, ""
	change(v)
	down := 0
	for _, o := range f.vms {
		if o.Phase == InMaintenance {
			down++
		}
	}
	f.maxDown = max(f.maxDown, down)
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.restarts[id]++
		v.Phase, v.Target = Up, csjob.TargetID(fmt.Sprintf("%s.%d", id, f.restarts[id]))
	})
	return Done
}

// fakeGroup is a replicated state machine in memory.
type fakeGroup struct {
	mu         sync.RWMutex
	table      csjob.Table
	index      csmodel.Index
	notLeading bool         // the lease has ended
	termOffset csmodel.Term // added to testTerm when a command is applied
	stalled    bool         // commands are held back
	heldBack   []csjob.Command
}

func (g *fakeGroup) View(f func(*csjob.Table)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(&g.table)
}

func (g *fakeGroup) Read(_ context.Context, f func(*csjob.Table)) error {
	g.View(f)
	return nil
}

func (g *fakeGroup) Leading() bool { return !g.notLeading }

func (g *fakeGroup) Propose(_ context.Context, c csjob.Command) (csjob.Verdict, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stalled {
		g.heldBack = append(g.heldBack, c)
		return csjob.Refused, errOutcomeUnknown
	}
	return g.apply(c)
}

func (g *fakeGroup) apply(c csjob.Command) (csjob.Verdict, error) {
	b, err := c.Encode()
	if err != nil {
		return csjob.Refused, err
	}
	g.index++
	return csjob.ParseVerdict(g.table.Apply(csraft.Entry{Index: g.index, Term: testTerm + g.termOffset, At: time.Now(), Data: b})), nil
}

// harness is a Fleet with a fake platform and a fake group.
type harness struct {
	t        *testing.T
	platform *fakePlatform
	group    *fakeGroup
	fleet    *Fleet
}

func newHarness(t *testing.T, pools map[csmodel.PoolID]int) *harness {
	h := &harness{t: t, platform: newFakePlatform(pools), group: &fakeGroup{}}
	config := &csjob.Config{Version: 1}
	for _, p := range csmodel.SortedKeys(pools) {
		config.Pools = append(config.Pools, csjob.Pool{ID: p})
	}
	h.apply(csjob.Command{Config: config})
	h.lead()
	return h
}

// lead starts a Fleet as a new leader does.
func (h *harness) lead() { h.leadAs("", 0) }

// leadAs starts a Fleet as a new leader on another store does.
func (h *harness) leadAs(holder csjob.Holder, handoverDelay time.Duration) {
	h.fleet = New(Options{
		State: h.group, Platform: h.platform, Clock: clockwork.NewRealClock(), Log: zap.NewNop(), MoveTime: testMoveTime, MaintenanceTime: testMaintenanceTime,
		Holder: holder, HandoverDelay: handoverDelay,
	})
}

func (h *harness) apply(c csjob.Command) {
	h.t.Helper()
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	if _, err := h.group.apply(c); err != nil {
		h.t.Fatal(err)
	}
}

// runUntil makes rounds until the condition holds. Targets announce themselves once their VM is up.
func (h *harness) runUntil(limit time.Duration, until func(*csjob.Table) bool) {
	h.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, v := range h.platform.list() {
			incarnation := csjob.Incarnation{Target: v.Target, StartedAtMs: 1}
			known := false
			h.group.View(func(t *csjob.Table) { _, known = t.Target(v.Target) })
			if v.Phase == Up && !known && !h.fleet.Ended(incarnation) {
				h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation, Pool: v.Pool}}}})
			}
		}
		done := false
		h.group.View(func(t *csjob.Table) {
			h.fleet.Round(csrun.Round{
				Now: time.Now(), Table: t, Fence: testTerm, Demand: csrun.Demand{}, Arrivals: func() []csrun.Arrival { return nil },
				Busy: t.Busy, Load: func(csjob.Incarnation) csrun.Load { return csrun.Load{} }, Usable: func(csjob.Incarnation) bool { return true },
			})
			done = until(t)
		})
		if done {
			return
		}
	}
	h.t.Fatalf("condition not met within %s", limit)
}
