package csnode

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/csrollout"
	"cowslipstream.example/cowslipstream/cstarget"
)

// stale tells whether the leader of a group has been silent for staleAfter.
func (n *Node) stale(g *csgroup.Group) bool {
	s := g.Status()
	return !s.Leading && n.clock.Since(s.LastContact) > staleAfter
}

// readRevisions is a linearizable read of the global machine.
func (n *Node) readRevisions(ctx context.Context, f func(*csrollout.Machine)) error {
	return n.global.Read(ctx, func(m csraft.Machine) {
		if revisions, ok := m.(*csrollout.Machine); ok {
			f(revisions)
		}
	})
}

func (w *webServer) readStatus(rw http.ResponseWriter, r *http.Request, _ string) {
	status, err := w.n.status(r.Context())
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	writeJSON(rw, http.StatusOK, status)
}

func (n *Node) status(ctx context.Context) (csapi.Status, error) {
	waves, err := n.waves(ctx)
	if err != nil {
		return csapi.Status{}, err
	}
	loads, err := ask(ctx, n, n.tree.requests, func(c chan<- []csrequest.Load) any { return readLoads{c} })
	if err != nil {
		return csapi.Status{}, err
	}
	revisions, err := ask(ctx, n, n.tree.rollout, func(c chan<- map[csmodel.NodeID]csmodel.Revision) any {
		return readRevisions{c}
	})
	if err != nil {
		return csapi.Status{}, err
	}
	targets, err := ask(ctx, n, n.tree.targets, func(c chan<- []cstarget.Target) any { return readTargets{c} })
	if err != nil {
		return csapi.Status{}, err
	}
	quarantined := csmodel.Set[csmodel.VMID]{}
	for _, t := range targets {
		if t.Quarantined {
			quarantined.Add(t.ID)
		}
	}
	out := csapi.Status{
		Node: n.settings.Node, Region: n.settings.Region, Zone: n.settings.Zone, At: n.clock.Now(),
		Revision: n.Active().Revision, Stale: n.stale(n.global),
		Groups: []csapi.Group{n.groupStatus(n.global), n.groupStatus(n.region)},
		Nodes:  n.nodeStatus(revisions), Pools: []csapi.Pool{}, VMs: []csapi.VM{}, Waves: waves,
	}
	n.viewFleet(func(m *csfleet.Machine) {
		vms := m.VMs()
		for _, p := range m.Pools() {
			out.Pools = append(out.Pools, poolStatus(m, p, vms, loads))
		}
		for _, vm := range vms {
			out.VMs = append(out.VMs, csapi.VM{
				ID: vm.ID, Home: vm.Home, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, State: vmStates[vm.State],
				Fence: vm.Fence, Serviced: vm.Maintained, Quarantined: quarantined.Has(vm.ID),
			})
		}
	})
	return out, nil
}

var vmStates = map[csfleet.State]csapi.VMState{
	csfleet.Serving:   csapi.Serving,
	csfleet.Draining:  csapi.Draining,
	csfleet.Handover:  csapi.Handover,
	csfleet.Rebooting: csapi.Rebooting,
	csfleet.Lost:      csapi.Lost,
}

func poolStatus(m *csfleet.Machine, p csconfig.Pool, vms []csfleet.VM, loads []csrequest.Load) csapi.Pool {
	out := csapi.Pool{
		Name: p.Name, Region: p.Region, Spare: p.Spare, Size: p.Size, Budget: p.Budget, Unavailable: m.Unavailable(p.Name),
	}
	for _, vm := range vms {
		switch {
		case vm.Home == p.Name && vm.Lent():
			out.Lent++
		case vm.Home != p.Name && vm.Pool == p.Name:
			out.Borrowed++
		}
		if vm.Pool == p.Name && vm.State == csfleet.Serving {
			out.Serving++
		}
	}
	for _, l := range loads {
		if l.Pool == p.Name {
			out.Slots, out.Busy, out.Queued = l.Slots, l.Busy, l.Queued
		}
	}
	return out
}

func (n *Node) groupStatus(g *csgroup.Group) csapi.Group {
	s := g.Status()
	out := csapi.Group{Name: s.Group, Leader: s.Leader, Term: s.Term, Index: s.Applied, Stale: n.stale(g)}
	for _, m := range s.Members {
		if m.Voter {
			out.Voters = append(out.Voters, m.Node)
		}
	}
	return out
}

func (n *Node) nodeStatus(revisions map[csmodel.NodeID]csmodel.Revision) []csapi.Node {
	out := []csapi.Node{}
	links := n.links.Load()
	voters := csmodel.NewSet(n.settings.GlobalVoters()...)
	for _, p := range n.settings.Nodes {
		row := csapi.Node{
			Name: p.Name, Region: p.Region, Zone: p.Zone, Voter: p.Voter, Global: voters.Has(p.Name), State: csapi.Unreachable,
			Revision: revisions[p.Name],
		}
		if n.self(p.Name) {
			row.State, row.Seen = csapi.Up, n.clock.Now()
			if n.draining.Load() {
				row.State = csapi.Leaving
			}
			if err := n.region.Status().Err; err != nil {
				row.Fault = err.Error()
			}
		}
		for _, peer := range links.Peers() {
			if peer.Node == p.Name {
				row.Seen = peer.Heard
				if peer.Connected {
					row.State = csapi.Up
				}
			}
		}
		out = append(out, row)
	}
	return out
}

// waves returns the progress of the waves. Blockers are known on the region's leader only.
func (n *Node) waves(ctx context.Context) ([]csapi.Wave, error) {
	progress, err := ask(ctx, n, n.tree.capacity, func(c chan<- []csfleet.WaveProgress) any { return readWaves{c} })
	if err != nil {
		return nil, err
	}
	var out []csapi.Wave
	now := n.clock.Now()
	n.viewFleet(func(m *csfleet.Machine) {
		for _, w := range n.Active().Configuration.Waves {
			i := slices.IndexFunc(progress, func(p csfleet.WaveProgress) bool { return p.Name == w.Name })
			row := replicaWave(m, w)
			if i >= 0 {
				row = leaderWave(progress[i], w)
			}
			row.Start = w.Start
			if now.Before(w.Start) {
				row.State = csapi.Scheduled
			}
			out = append(out, row)
		}
	})
	return out, nil
}

func waveState(w csfleet.Wave, done, total int) csapi.WaveState {
	switch {
	case w.Paused && w.PausedByOperator:
		return csapi.Paused
	case w.Paused:
		return csapi.Halted
	case done >= total:
		return csapi.Complete
	default:
		return csapi.Running
	}
}

// replicaWave counts the VMs of a wave in the replicated state.
func replicaWave(m *csfleet.Machine, w csconfig.Wave) csapi.Wave {
	row := csapi.Wave{Name: w.Name, Pools: w.Pools, State: csapi.Scheduled}
	state, ok := m.Wave(w.Name)
	if !ok {
		return row
	}
	row.Pass = int(state.Pass)
	for _, vm := range m.VMs() {
		if !slices.Contains(w.Pools, vm.Home) {
			continue
		}
		row.Total++
		if !vm.Maintained.IsZero() && !vm.Maintained.Before(state.Start) {
			row.Done++
		}
		if vm.Step == csfleet.StepReboot {
			row.Active = append(row.Active, vm.ID)
		}
	}
	row.State = waveState(state, row.Done, row.Total)
	return row
}

func leaderWave(p csfleet.WaveProgress, w csconfig.Wave) csapi.Wave {
	row := csapi.Wave{
		Name: w.Name, Pools: w.Pools, State: waveState(p.Wave, p.Done, p.Total), Pass: int(p.Pass), Due: p.End, Done: p.Done,
		Total: p.Total,
	}
	for _, b := range p.Blockers {
		row.Blockers = append(row.Blockers, csapi.Blocker{
			Kind: blockerKinds[b.Block], VM: b.First, Reason: string(b.Block),
		})
	}
	return row
}

var blockerKinds = map[csfleet.BlockReason]csapi.BlockerKind{
	csfleet.BlockPaused:   csapi.PauseBlocker,
	csfleet.BlockBudget:   csapi.BudgetBlocker,
	csfleet.BlockParallel: csapi.PlacementBlocker,
	csfleet.BlockRack:     csapi.PlacementBlocker,
	csfleet.BlockTasks:    csapi.TaskBlocker,
	csfleet.BlockZone:     csapi.QuorumBlocker,
	csfleet.BlockState:    csapi.PlacementBlocker,
	csfleet.BlockLent:     csapi.PlacementBlocker,
}

// dumpTimeout bounds the wait for each child's state.
const dumpTimeout = 2 * time.Second

// Ready tells whether the node knows leaders of both groups.
func (n *Node) Ready() bool {
	return n.global.Status().Leader != "" && n.region.Status().Leader != ""
}

// ViewFleet reads the local replica of the region's state. f must only read and must not keep the machine.
func (n *Node) ViewFleet(f func(*csfleet.Machine)) { n.viewFleet(f) }

// ID returns the name of the node.
func (n *Node) ID() csmodel.NodeID { return n.settings.Node }
