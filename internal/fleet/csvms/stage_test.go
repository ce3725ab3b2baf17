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

// cloud is a platform with VMs. Each VM that comes back has a new target.
type cloud struct {
	mu     sync.Mutex
	vms    map[csmodel.VMID]*VM
	lives  map[csmodel.VMID]int
	most   int // VMs that were down for maintenance at once
	orders map[csmodel.VMID]string
	silent int                  // listings that get no answer
	hidden map[csmodel.VMID]int // listings that leave out a VM
	mute   bool                 // orders get no answer and have no effect
	slow   time.Duration        // a list arrives that much later than it was made
	sentAt []time.Time          // of all orders
}

func newCloud(pools map[csmodel.PoolID]int) *cloud {
	c := &cloud{vms: map[csmodel.VMID]*VM{}, lives: map[csmodel.VMID]int{}, orders: map[csmodel.VMID]string{}, hidden: map[csmodel.VMID]int{}}
	for _, p := range csmodel.SortedKeys(pools) {
		for i := range pools[p] {
			id := csmodel.VMID(fmt.Sprintf("%s-%d", p, i))
			c.vms[id] = &VM{ID: id, Pool: p, Phase: Up, Room: csjob.Room{CPU: vmCPU, Memory: 1000}, Target: csjob.TargetID(id + ".0")}
		}
	}
	return c
}

func (c *cloud) VMs(context.Context) ([]VM, error) {
	c.mu.Lock()
	silent := c.silent > 0
	c.silent--
	c.mu.Unlock()
	if silent {
		return nil, ErrNoAnswer
	}
	out := c.list()
	time.Sleep(c.slow)
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(out, func(v VM) bool {
		c.hidden[v.ID]--
		return c.hidden[v.ID] >= 0
	}), nil
}

// list returns what the platform knows, whether or not it answers.
func (c *cloud) list() []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []VM
	for _, id := range csmodel.SortedKeys(c.vms) {
		out = append(out, *c.vms[id])
	}
	return out
}

func (c *cloud) Move(_ context.Context, id csmodel.VMID, p csmodel.PoolID, _ csmodel.Fence) (Answer, error) {
	return c.order(id, "move "+string(p), Moving, testMove, func(v *VM) { v.Pool = p }), nil
}

func (c *cloud) Maintain(_ context.Context, id csmodel.VMID, w csmodel.WaveID, _ csmodel.Fence) (Answer, error) {
	return c.order(id, "wave "+string(w), Maintained, testUpkeep, func(*VM) {}), nil
}

func (c *cloud) order(id csmodel.VMID, what string, p Phase, d time.Duration, change func(*VM)) Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAt = append(c.sentAt, time.Now())
	if c.mute {
		return Limited
	}
	v := c.vms[id]
	if v == nil {
		return Foreign
	}
	if c.orders[id] == what {
		return Done
	}
	if v.Phase != Up {
		return Busy
	}
	c.orders[id] = what
	v.Phase, v.Target = p, ""
	change(v)
	down := 0
	for _, o := range c.vms {
		if o.Phase == Maintained {
			down++
		}
	}
	c.most = max(c.most, down)
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lives[id]++
		v.Phase, v.Target = Up, csjob.TargetID(fmt.Sprintf("%s.%d", id, c.lives[id]))
	})
	return Done
}

// group is the replicated state.
type group struct {
	mu      sync.RWMutex
	table   csjob.Table
	index   csmodel.Index
	follows bool         // the lease has ended
	later   csmodel.Term // terms after that of the fleet
	stalled bool         // commands are held back
	held    []csjob.Command
}

func (g *group) View(f func(*csjob.Table)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(&g.table)
}

func (g *group) Read(_ context.Context, f func(*csjob.Table)) error {
	g.View(f)
	return nil
}

func (g *group) Leading() bool { return !g.follows }

func (g *group) Propose(_ context.Context, c csjob.Command) (csjob.Verdict, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stalled {
		g.held = append(g.held, c)
		return csjob.Refused, errUnknown
	}
	return g.apply(c)
}

func (g *group) apply(c csjob.Command) (csjob.Verdict, error) {
	b, err := c.Encode()
	if err != nil {
		return csjob.Refused, err
	}
	g.index++
	return csjob.ParseVerdict(g.table.Apply(csraft.Entry{Index: g.index, Term: stageTerm + g.later, At: time.Now(), Data: b})), nil
}

// stage is a fleet with its surroundings.
type stage struct {
	t     *testing.T
	cloud *cloud
	group *group
	fleet *Fleet
}

func newStage(t *testing.T, pools map[csmodel.PoolID]int) *stage {
	s := &stage{t: t, cloud: newCloud(pools), group: &group{}}
	config := &csjob.Config{Version: 1}
	for _, p := range csmodel.SortedKeys(pools) {
		config.Pools = append(config.Pools, csjob.Pool{ID: p})
	}
	s.do(csjob.Command{Config: config})
	s.lead()
	return s
}

// lead starts a fleet as a new leader does.
func (s *stage) lead() { s.leadAs("", 0) }

// leadAs starts a fleet as a new leader on another store does.
func (s *stage) leadAs(h csjob.Holder, turn time.Duration) {
	s.fleet = New(Options{
		State: s.group, Platform: s.cloud, Clock: clockwork.NewRealClock(), Log: zap.NewNop(), MoveTime: testMove, Upkeep: testUpkeep,
		Holder: h, Turn: turn,
	})
}

func (s *stage) do(c csjob.Command) {
	s.t.Helper()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if _, err := s.group.apply(c); err != nil {
		s.t.Fatal(err)
	}
}

// run makes rounds until the condition holds. Targets announce themselves when their VM is up.
func (s *stage) run(limit time.Duration, until func(*csjob.Table) bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, v := range s.cloud.list() {
			life := csjob.Life{Target: v.Target, Born: 1}
			known := false
			s.group.View(func(t *csjob.Table) { _, known = t.Target(v.Target) })
			if v.Phase == Up && !known && !s.fleet.Dead(life) {
				s.do(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life, Pool: v.Pool}}}})
			}
		}
		done := false
		s.group.View(func(t *csjob.Table) {
			s.fleet.Round(csrun.Round{
				Now: time.Now(), Table: t, Fence: stageTerm, Demand: csrun.Demand{}, Arrivals: func() []csrun.Arrival { return nil },
				Busy: t.Busy, Load: func(csjob.Life) csrun.Load { return csrun.Load{} }, Usable: func(csjob.Life) bool { return true },
			})
			done = until(t)
		})
		if done {
			return
		}
	}
	s.t.Fatalf("not reached within %s", limit)
}
