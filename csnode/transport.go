package csnode

import (
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/csrollout"
	"cowslipstream.example/cowslipstream/cstarget"
)

func (n *Node) openLinks() error {
	listener := n.options.Link
	if listener == nil {
		l, err := net.Listen("tcp", n.settings.Link) //nolint:noctx // bound for the life of the process
		if err != nil {
			return trace.Wrap(err, "link address")
		}
		listener = l
	}
	var peers []cslink.Peer
	for _, p := range n.settings.Nodes {
		address := p.Link
		if other, ok := n.options.Peers[p.Name]; ok {
			address = other
		}
		peers = append(peers, cslink.Peer{Node: p.Name, Address: address})
	}
	links, err := cslink.New(cslink.Options{
		Self:        n.settings.Node,
		Incarnation: n.incarnation,
		Secret:      n.settings.Secret,
		Listener:    listener,
		Peers:       peers,
		Dials:       []cslink.Channel{cslink.Control, cslink.Data},
		Clock:       n.clock,
		Handle:      n.receive,
		Up:          func(p csmodel.NodeID, _ csmodel.Incarnation) { n.linkUp(p) },
		Down:        n.linkDown,
		Log:         n.log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	n.links.Store(links)
	return nil
}

func (n *Node) linkUp(p csmodel.NodeID) {
	n.send(n.tree.rollout, peerUp{p})
	n.send(n.tree.targets, peerUp{p})
}

// linkDown drops what is known of the targets of a node until it is heard again. Leases that it granted stay valid.
func (n *Node) linkDown(p csmodel.NodeID) {
	n.send(n.tree.requests, peerDown{p})
	n.applySummary(p, nil)
}

type (
	peerUp   struct{ node csmodel.NodeID }
	peerDown struct{ node csmodel.NodeID }
)

// post sends a message to a peer. A message with a supersede key replaces an older one that is still queued.
func (n *Node) post(to csmodel.NodeID, channel cslink.Channel, kind cslink.Kind, payload []byte, supersede string) error {
	links := n.links.Load()
	if links == nil {
		return cslink.ErrClosed
	}
	err := links.Send(to, channel, kind, payload, supersede)
	if err != nil {
		n.metrics.unsent.Inc()
	}
	return err
}

// notify is post for messages that are repeated anyway, so that a full queue needs no action.
func (n *Node) notify(to csmodel.NodeID, kind cslink.Kind, payload []byte, supersede string) {
	if err := n.post(to, cslink.Control, kind, payload, supersede); err != nil {
		n.log.Debug("message not queued", zap.String("peer", string(to)), zap.Error(err))
	}
}

// broadcast sends a message to all nodes of the region.
func (n *Node) broadcast(kind cslink.Kind, payload []byte, supersede string) {
	for _, p := range n.peers(n.settings.Region) {
		n.notify(p, kind, payload, supersede)
	}
}

// receive dispatches a message of a peer to the child that owns the state.
func (n *Node) receive(from csmodel.NodeID, kind cslink.Kind, payload []byte) {
	if err := n.deliver(from, kind, payload); err != nil {
		n.metrics.malformed.Inc()
		n.log.Warn("malformed message", zap.String("peer", string(from)), zap.Uint8("kind", uint8(kind)), zap.Error(err))
	}
}

func (n *Node) deliver(from csmodel.NodeID, kind cslink.Kind, payload []byte) error {
	switch kind {
	case kindGlobal, kindRegion:
		m, err := csraft.DecodeMessage(payload)
		if err != nil {
			return err
		}
		n.receiveRaft(from, kind, m)
		return nil
	case kindRevision:
		return forward(payload, func(m revisionMessage) {
			n.send(n.tree.rollout, csrollout.Announced{Peer: from, Revision: m.Revision})
		})
	case kindAsk:
		return forward(payload, func(m revisionMessage) {
			n.send(n.tree.rollout, csrollout.UpdateRequested{Peer: from, Have: m.Revision})
		})
	case kindUpdate:
		u, err := csrollout.DecodeUpdate(payload)
		if err != nil {
			return err
		}
		n.send(n.tree.rollout, csrollout.UpdateReceived{Peer: from, Update: u})
		return nil
	case kindSummary:
		return forward(payload, func(m summaryMessage) { n.applySummary(from, m.Pools) })
	case kindSlots:
		return forward(payload, func(m slotMessage) {
			m.Node = from
			n.send(n.tree.targets, m)
		})
	case kindGrant:
		return forward(payload, func(m grantMessage) {
			m.Home = from
			n.send(n.tree.requests, m)
		})
	case kindForward:
		return forward(payload, func(m forwardMessage) { n.acceptForwarded(from, m) })
	case kindForwarded:
		return forward(payload, func(m forwardedMessage) { n.send(n.tree.requests, m) })
	case kindReport:
		return forward(payload, func(m reportMessage) { n.send(n.tree.capacity, homeReport{from: from, report: m}) })
	case kindInstruct:
		return forward(payload, func(m []order) { n.send(n.tree.deferred, orders{m}) })
	case kindLeaving:
		n.send(n.tree.targets, nodeLeaving{from})
		n.applySummary(from, nil)
		return nil
	case kindRehomed:
		return forward(payload, func(m rehomedMessage) { n.send(n.tree.targets, m) })
	default:
		return trace.BadParameter("unknown message kind %d", kind)
	}
}

func forward[T any](payload []byte, deliver func(T)) error {
	v, err := decode[T](payload)
	if err != nil {
		return err
	}
	deliver(v)
	return nil
}

func (n *Node) applySummary(from csmodel.NodeID, pools []csmodel.PoolSummary) {
	n.send(n.tree.requests, summaryOf{node: from, pools: pools})
	n.send(n.tree.targets, summaryOf{node: from, pools: pools})
}

// summaryOf is the latest summary of a home node.
type summaryOf struct {
	node  csmodel.NodeID
	pools []csmodel.PoolSummary
}

// deliverGrant passes a grant to the holder on a node.
func (n *Node) deliverGrant(to csmodel.NodeID, g cstarget.SlotGrant) {
	if n.self(to) {
		n.send(n.tree.requests, g)
		return
	}
	n.notify(to, kindGrant, encode(g), "grant")
}
