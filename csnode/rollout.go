package csnode

import (
	"errors"
	"io/fs"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrollout"
)

// activeFile holds the active configuration.
const activeFile = "active"

// rolloutActor runs the state machine of the active configuration.
type rolloutActor struct {
	n         *Node
	activator *csrollout.Activator
	stale     bool
}

// configurationChanged tells a child about the active configuration.
type configurationChanged struct{ head csrollout.Head }

// readProgress asks where a revision is active. Revision 0 stands for the active one.
type readProgress struct {
	revision csmodel.Revision
	reply    chan<- csrollout.Progress
}

// readRevisions asks for the active revisions of all nodes.
type readRevisions struct {
	reply chan<- map[csmodel.NodeID]csmodel.Revision
}

func newRolloutActor(n *Node) *rolloutActor { return &rolloutActor{n: n} }

// Receive handles a message.
func (a *rolloutActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Started:
		a.start()
	case tick:
		a.step(csrollout.Tick{})
		a.watchLeader()
	case replicaChanged:
		a.readReplica()
	case peerUp:
		a.announce(m.node)
	case readProgress:
		a.progress(m)
	case readRevisions:
		m.reply <- a.activator.Revisions()
	case csrollout.Event:
		a.step(m)
	}
}

// start continues with what is in force in this process: the persisted configuration, or that of a failed predecessor.
func (a *rolloutActor) start() {
	current := a.n.Active()
	a.activator = csrollout.NewActivator(csrollout.ActivatorOptions{
		Self:      a.n.settings.Node,
		Peers:     a.n.peers(""),
		Persisted: current,
	})
	if current.Revision > 0 {
		a.activate(csrollout.Activate{Head: current}, false)
	}
	a.readReplica()
}

func (a *rolloutActor) readReplica() {
	var head csrollout.Head
	a.n.viewRevisions(func(m *csrollout.Machine) { head = m.Head() })
	if head.Revision > 0 {
		a.step(csrollout.Committed{Head: head})
	}
}

func (a *rolloutActor) step(e csrollout.Event) {
	for _, command := range a.activator.Step(a.n.clock.Now(), e) {
		a.execute(command)
	}
}

func (a *rolloutActor) execute(command csrollout.Command) {
	switch c := command.(type) {
	case csrollout.Persist:
		if err := a.n.saveActive(c.Head); err != nil {
			a.n.log.Error("active configuration not written", zap.Uint64("revision", uint64(c.Head.Revision)), zap.Error(err))
		}
	case csrollout.Activate:
		a.activate(c, true)
	case csrollout.Announce:
		for _, p := range a.n.peers("") {
			a.announce(p)
		}
	case csrollout.RequestUpdate:
		a.n.notify(c.Peer, kindAsk, encode(revisionMessage{c.Have}), "ask")
	case csrollout.SendUpdate:
		a.update(c)
	case csrollout.Mismatch:
		a.n.log.Error("configuration update refused", zap.String("peer", string(c.Peer)),
			zap.Uint64("revision", uint64(c.Revision)), zap.String("reason", c.Reason))
	}
}

func (a *rolloutActor) announce(peer csmodel.NodeID) {
	a.n.notify(peer, kindRevision, encode(revisionMessage{a.n.Active().Revision}), "revision")
}

func (a *rolloutActor) update(c csrollout.SendUpdate) {
	payload, err := csrollout.EncodeUpdate(c.Update)
	if err != nil {
		a.n.log.Error("configuration update not encoded", zap.Error(err))
		return
	}
	if err := a.n.post(c.Peer, cslink.Data, kindUpdate, payload, "update"); err != nil {
		a.n.log.Debug("configuration update not queued", zap.String("peer", string(c.Peer)), zap.Error(err))
	}
}

func (a *rolloutActor) activate(c csrollout.Activate, measured bool) {
	head := c.Head
	a.n.active.Store(&head)
	a.n.metrics.revision.Set(float64(head.Revision))
	if measured {
		a.n.metrics.rollout.Observe(c.Latency.Seconds())
		a.n.log.Info("configuration active", zap.Uint64("revision", uint64(head.Revision)),
			zap.String("operator", head.Operator), zap.Duration("took", c.Latency))
	}
	changed := configurationChanged{head}
	a.n.send(a.n.tree.requests, changed)
	a.n.send(a.n.tree.deferred, changed)
	a.n.send(a.n.tree.capacity, changed)
}

// watchLeader marks the node as stale while the leader of the global group is silent.
func (a *rolloutActor) watchLeader() {
	stale := a.n.stale(a.n.global)
	if stale != a.stale {
		a.stale = stale
		a.n.log.Info("configuration staleness changed", zap.Bool("stale", stale))
	}
	a.n.metrics.stale.Set(boolValue(stale))
}

func (a *rolloutActor) progress(m readProgress) {
	revision := m.revision
	if revision == 0 {
		revision = a.n.Active().Revision
	}
	m.reply <- a.activator.Progress(a.n.clock.Now(), revision)
}

// staleAfter is the silence of a leader after which a replica is reported as stale.
const staleAfter = 3 * time.Second

// restoreActive makes the persisted configuration active before the node serves anything.
func (n *Node) restoreActive() {
	head, err := n.loadActive()
	if err != nil {
		n.log.Error("active configuration not read", zap.Error(err))
	}
	n.active.Store(&head)
	n.metrics.revision.Set(float64(head.Revision))
}

func (n *Node) loadActive() (csrollout.Head, error) {
	if n.config == nil {
		return csrollout.Head{}, nil
	}
	data, err := csdisk.ReadFile(n.config, activeFile)
	if errors.Is(err, fs.ErrNotExist) {
		return csrollout.Head{}, nil
	}
	if err != nil {
		return csrollout.Head{}, trace.Wrap(err)
	}
	return csrollout.DecodeHead(data)
}

func (n *Node) saveActive(head csrollout.Head) error {
	if n.config == nil {
		return nil
	}
	data, err := csrollout.EncodeHead(head)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(csdisk.WriteFile(n.config, activeFile, data))
}
