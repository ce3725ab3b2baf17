package csnode

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

const (
	// lossLease is the silence after which the planner reports a VM as lost. It covers the failover of its target to
	// another home node.
	lossLease = 8 * time.Second
	// planShare is the time between two plans for each VM, which bounds the processor time of a large region's leader.
	planShare       = 625 * time.Microsecond
	maxPlanInterval = time.Second
	// forgetHome is the silence after which a home node's observations are dropped.
	forgetHome = time.Minute
)

// capacityActor plans on the leader of the region's group: maintenance, moves and the placement of deferred tasks. On other
// nodes it only collects reports.
type capacityActor struct {
	n         *Node
	observer  *observer
	planner   *csfleet.Planner
	scheduler *cstask.Scheduler
	policy    cscapacity.Policy
	yields    *yields
	zones     map[csmodel.NodeID]csmodel.AvailabilityZone
	term      csmodel.Term
	busy      bool
	next      time.Time // earliest next plan
	waves     []csfleet.WaveProgress
}

type (
	homeReport struct {
		from   csmodel.NodeID
		report reportMessage
	}
	planned   struct{}
	readWaves struct {
		reply chan<- []csfleet.WaveProgress
	}
)

func newCapacityActor(n *Node) *capacityActor {
	a := &capacityActor{n: n, observer: newObserver(), zones: map[csmodel.NodeID]csmodel.AvailabilityZone{}}
	for _, p := range n.settings.Nodes {
		if p.Region == n.settings.Region {
			a.zones[p.Name] = p.Zone
		}
	}
	return a
}

// Receive handles a message.
func (a *capacityActor) Receive(c actor.Context) {
	now := a.n.clock.Now()
	switch m := c.Message().(type) {
	case homeReport:
		a.observer.report(now, m.from, m.report)
	case planned:
		a.busy = false
	case readWaves:
		m.reply <- a.waves
	case configurationChanged:
		if a.scheduler != nil {
			a.scheduler.Configure(m.head.Configuration.Jobs)
		}
	case tick:
		a.tick(now)
	}
}

func (a *capacityActor) tick(now time.Time) {
	status := a.n.region.Status()
	if !status.Leading {
		a.term = 0
		a.waves = nil
		a.n.metrics.leading.Set(0)
		return
	}
	a.n.metrics.leading.Set(1)
	if a.term != status.Term {
		a.lead(status.Term)
	}
	a.observer.forget(now, forgetHome)
	if a.busy || now.Before(a.next) {
		return
	}
	a.plan(now)
	a.next = now.Add(min(maxPlanInterval, time.Duration(len(a.observer.sorted))*planShare))
}

// lead starts with a planner that has seen nothing, so that it reports no VM as lost before it could be heard.
func (a *capacityActor) lead(term csmodel.Term) {
	a.term = term
	a.planner = csfleet.NewPlanner(csfleet.PlannerOptions{Lease: lossLease})
	a.policy = &cscapacity.Forecast{}
	a.yields = newYields()
	a.scheduler = cstask.NewScheduler()
	a.scheduler.Configure(a.n.Active().Configuration.Jobs)
}

func (a *capacityActor) plan(now time.Time) {
	head := a.n.Active()
	active := csfleet.ActiveConfiguration{
		Region: a.n.settings.Region, Revision: head.Revision, Configuration: head.Configuration,
	}
	observations := csfleet.Observations{VMs: a.observer.observations(), Zones: a.observer.zones(now, a.zones)}
	var plan csfleet.Plan
	var actions []cstask.Action
	a.n.viewFleet(func(m *csfleet.Machine) {
		d := a.divide(now, m)
		plan = a.planner.Plan(m, active, observations, d.wanted, now)
		workers := a.observer.workers(m)
		d.reserve(workers)
		actions = a.scheduler.Tick(m.Tasks(), workers, now)
		actions = append(actions, a.yield(now, m, d.limits)...)
		a.n.metrics.observeFleet(m)
	})
	a.waves = plan.Waves
	a.instruct(plan.Instructions, actions)
	commands := append(plan.Commands, taskCommands(actions)...)
	if len(commands) == 0 {
		return
	}
	a.busy = true
	a.n.background(proposeLimit, func(ctx context.Context) {
		defer a.n.send(a.n.tree.capacity, planned{})
		a.propose(ctx, commands)
	})
}

// propose replicates the commands in order. One that is not replicated is planned again at the next tick.
func (a *capacityActor) propose(ctx context.Context, commands []csfleet.Command) {
	for _, c := range commands {
		result, err := a.n.proposeFleet(ctx, c)
		if err != nil {
			a.n.log.Warn("plan not replicated", zap.Error(err))
			return
		}
		a.n.logPlan(c, result)
	}
}

// taskCommands collects the proposals of the scheduler in one entry.
func taskCommands(actions []cstask.Action) []csfleet.Command {
	var commands []cstask.Command
	for _, action := range actions {
		if p, ok := action.(cstask.Propose); ok {
			commands = append(commands, p.Command)
		}
	}
	if len(commands) == 0 {
		return nil
	}
	return []csfleet.Command{csfleet.Tasks{Commands: commands}}
}

// instruct sends the home nodes what they must do with their targets. What home nodes read from their replica, such as
// the pool of a VM and whether it serves, needs no instruction.
func (a *capacityActor) instruct(instructions []csfleet.Instruction, actions []cstask.Action) {
	byHome := map[csmodel.NodeID][]order{}
	add := func(o order) {
		if vm, ok := a.observer.home(o.VM); ok {
			byHome[vm.node] = append(byHome[vm.node], o)
		}
	}
	for _, i := range instructions {
		if r, ok := i.(csfleet.Reboot); ok {
			add(order{Action: orderReboot, VM: r.VM, Fence: r.Fence, Incarnation: r.Incarnation})
		}
	}
	for _, action := range actions {
		switch t := action.(type) {
		case cstask.Throttle:
			add(order{Action: orderThrottle, VM: t.VM, Fence: t.Fence, Task: t.Task, Off: t.Off})
		case cstask.TakeCheckpoint:
			add(order{Action: orderCheckpoint, VM: t.VM, Fence: t.Fence, Task: t.Task})
		case cstask.Stop:
			add(order{Action: orderStop, VM: t.VM, Fence: t.Fence, Task: t.Task, Overrun: t.Overrun})
		}
	}
	for _, node := range csmodel.SortedKeys(byHome) {
		a.n.order(node, byHome[node])
	}
}

func (n *Node) order(node csmodel.NodeID, list []order) {
	if n.self(node) {
		n.send(n.tree.deferred, orders{list})
		return
	}
	if err := n.post(node, cslink.Control, kindInstruct, encode(list), ""); err != nil {
		n.log.Debug("instructions not queued", zap.String("peer", string(node)), zap.Error(err))
	}
}

// logPlan logs the outcome of a step that concerns one VM or wave.
func (n *Node) logPlan(c csfleet.Command, r csfleet.Result) {
	fields := []zap.Field{zap.Uint8("status", uint8(r.Status)), zap.Uint64("fence", uint64(r.Fence))}
	step := ""
	switch v := c.(type) {
	case csfleet.RegisterVM:
		step, fields = "register", append(fields, zap.String("vm", string(v.VM)), zap.String("pool", string(v.Home)))
	case csfleet.StartMove:
		step, fields = "move", append(fields, zap.String("vm", string(v.VM)), zap.String("pool", string(v.To)))
		if r.Status == csfleet.OK {
			n.metrics.moves.Inc()
		}
	case csfleet.HandOver:
		step, fields = "handover", append(fields, zap.String("vm", string(v.VM)))
	case csfleet.Admit:
		step, fields = "admit", append(fields, zap.String("vm", string(v.VM)))
	case csfleet.StartReboot:
		step, fields = "reboot", append(fields, zap.String("vm", string(v.VM)))
	case csfleet.FinishReboot:
		step, fields = "rebooted", append(fields, zap.String("vm", string(v.VM)))
	case csfleet.ReportLost:
		step, fields = "lost", append(fields, zap.String("vm", string(v.VM)))
	case csfleet.ReportReturn:
		step, fields = "back", append(fields, zap.String("vm", string(v.VM)))
	case csfleet.PauseWave:
		step, fields = "pause", append(fields, zap.String("wave", string(v.Wave)), zap.String("reason", v.Reason))
	default:
		return
	}
	n.log.Info("fleet step", append(fields, zap.String("step", step))...)
}
