package csnode

import (
	"path/filepath"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/csrollout"
	"cowslipstream.example/cowslipstream/cssettings"
)

// GlobalGroup is the group of the configuration revisions. The group of a region has the region's name.
const GlobalGroup csmodel.GroupID = "global"

func (n *Node) openGroups(spawner actor.SpawnerContext) error {
	region := csmodel.GroupID("region-" + string(n.settings.Region))
	// With one region the settings need not mark global voters.
	voters := csmodel.NewSet(n.settings.GlobalVoters()...)
	global, err := n.openGroup(spawner, GlobalGroup, kindGlobal,
		csrollout.NewMachine(csconfig.Configuration.Validate), n.globalHooks(),
		func(p cssettings.Node) (member, voter bool) { return true, voters.Has(p.Name) })
	if err != nil {
		return trace.Wrap(err, "global group")
	}
	n.global = global
	n.region, err = n.openGroup(spawner, region, kindRegion, csfleet.New(csfleet.Options{}), n.regionHooks(),
		func(p cssettings.Node) (member, voter bool) { return p.Region == n.settings.Region, p.Voter })
	return trace.Wrap(err, "region group")
}

func (n *Node) openGroup(
	spawner actor.SpawnerContext, id csmodel.GroupID, kind cslink.Kind, machine csraft.Machine, hooks csgroup.Observe,
	member func(cssettings.Node) (member, voter bool),
) (*csgroup.Group, error) {
	config := csraft.Config{Group: id, Self: n.settings.Node, Seed: uint64(n.incarnation)}
	self := false
	for _, p := range n.settings.Nodes {
		in, voter := member(p)
		if !in {
			continue
		}
		config.Members = append(config.Members, csraft.Member{Node: p.Name, Voter: voter})
		self = self || voter && n.self(p.Name)
	}
	var disk csdisk.Disk
	if self {
		d, err := n.openDisk(string(id))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		disk = d
	}
	return csgroup.New(csgroup.Options{
		Config:  config,
		Machine: machine,
		Disk:    disk,
		Clock:   n.clock,
		Spawner: spawner,
		Observe: hooks,
		GiveUp:  staleAfter,
		Send: func(to csmodel.NodeID, m csraft.Message) {
			n.sendRaft(to, kind, m)
		},
	})
}

// openDisk opens a folder below the data folder. It returns nil on a node without a disk.
func (n *Node) openDisk(name string) (csdisk.Disk, error) {
	if n.settings.Folder == "" {
		return nil, nil
	}
	folder := filepath.Join(n.settings.Folder, name)
	if n.options.Disk != nil {
		return n.options.Disk(folder)
	}
	disk, err := csdisk.OpenOS(folder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.disks = append(n.disks, disk)
	return disk, nil
}

func (n *Node) closeDisks() {
	for _, d := range n.disks {
		if err := d.Close(); err != nil {
			n.log.Warn("data folder closed", zap.Error(err))
		}
	}
}

func (n *Node) globalHooks() csgroup.Observe {
	return csgroup.Observe{
		Applied:  func(csraft.Entry, []byte) { n.revisionsChanged() },
		Restored: func(csmodel.Index) { n.revisionsChanged() },
		Lead:     func(t csmodel.Term) { n.logLeader(GlobalGroup, t, n.settings.Node) },
		Follow:   func(t csmodel.Term, l csmodel.NodeID) { n.logLeader(GlobalGroup, t, l) },
		Error:    func(err error) { n.groupFailed(GlobalGroup, err) },
	}
}

func (n *Node) regionHooks() csgroup.Observe {
	id := csmodel.GroupID("region-" + string(n.settings.Region))
	return csgroup.Observe{
		Applied:  func(csraft.Entry, []byte) { n.fleetChanged() },
		Restored: func(csmodel.Index) { n.fleetChanged() },
		Lead:     func(t csmodel.Term) { n.logLeader(id, t, n.settings.Node) },
		Follow:   func(t csmodel.Term, l csmodel.NodeID) { n.logLeader(id, t, l) },
		Error:    func(err error) { n.groupFailed(id, err) },
	}
}

func (n *Node) revisionsChanged() {
	if n.treeReady() {
		n.send(n.tree.rollout, replicaChanged{})
	}
}

func (n *Node) fleetChanged() {
	if !n.treeReady() {
		return
	}
	n.send(n.tree.targets, replicaChanged{})
	n.send(n.tree.deferred, replicaChanged{})
}

// replicaChanged tells that a replicated machine has a new state.
type replicaChanged struct{}

func (n *Node) logLeader(id csmodel.GroupID, t csmodel.Term, leader csmodel.NodeID) {
	n.log.Info("leader changed", zap.String("group", string(id)), zap.Uint64("term", uint64(t)),
		zap.String("leader", string(leader)))
}

func (n *Node) groupFailed(id csmodel.GroupID, err error) {
	n.metrics.groupErrors.WithLabelValues(string(id)).Inc()
	n.log.Error("group failed", zap.String("group", string(id)), zap.Error(err))
}

func (n *Node) sendRaft(to csmodel.NodeID, kind cslink.Kind, m csraft.Message) {
	payload, err := csraft.EncodeMessage(m)
	if err != nil {
		n.log.Error("raft message not encoded", zap.Error(err))
		return
	}
	// Raft repeats what is lost, so a full queue needs no action.
	if err := n.post(to, csgroup.ChannelOf(m.Kind, len(payload)), kind, payload, ""); err != nil {
		n.log.Debug("raft message dropped", zap.String("peer", string(to)), zap.Error(err))
	}
}

func (n *Node) receiveRaft(from csmodel.NodeID, kind cslink.Kind, m csraft.Message) {
	if kind == kindGlobal {
		n.global.Receive(from, m)
		return
	}
	n.region.Receive(from, m)
}

// closeGroups closes both groups at the same time, because each may wait for the transfer of its leadership.
func (n *Node) closeGroups() {
	var all sync.WaitGroup
	for _, g := range []*csgroup.Group{n.global, n.region} {
		if g == nil {
			continue
		}
		all.Go(func() {
			if err := g.Close(); err != nil {
				n.log.Warn("group closed", zap.Error(err))
			}
		})
	}
	all.Wait()
}

// viewFleet reads the local replica of the region's machine.
func (n *Node) viewFleet(f func(*csfleet.Machine)) {
	n.region.View(func(m csraft.Machine) {
		if fleet, ok := m.(*csfleet.Machine); ok {
			f(fleet)
		}
	})
}

// viewRevisions reads the local replica of the global machine.
func (n *Node) viewRevisions(f func(*csrollout.Machine)) {
	n.global.View(func(m csraft.Machine) {
		if revisions, ok := m.(*csrollout.Machine); ok {
			f(revisions)
		}
	})
}
