// Package cslink keeps authenticated links between entry nodes: CBOR frames over WebSocket, with heartbeats, sequence
// numbers, resends and bounded queues.
//
// Each pair of nodes has up to three channels, each with its own socket, so that a large message on the data channel never
// delays a heartbeat, a Raft message or a relayed call. The node with the smaller name dials. Messages of one channel arrive in the
// order in which they were sent, and none arrives twice.
package cslink

import (
	"errors"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Bounds of a link.
const (
	// MaxFrame is the largest encoded frame in bytes.
	MaxFrame = 2 << 20
	// MaxPayload is the largest payload of a message in bytes. The rest of a frame holds its numbers.
	MaxPayload = MaxFrame - 64
	// MaxQueue is the number of payload bytes that a channel holds until the peer acknowledges them.
	MaxQueue = 4 << 20
)

// Errors of Send and of the handshake.
var (
	ErrClosed      = errors.New("links are closed")
	ErrUnknownPeer = errors.New("peer is not listed")
	ErrQueueFull   = errors.New("send queue of the peer is full")
	ErrTooLarge    = errors.New("message exceeds the largest payload")
	ErrChannel     = errors.New("channel does not exist")
	ErrSecret      = errors.New("peer does not prove knowledge of the cluster secret")
	ErrWrongNode   = errors.New("connection is meant for another node")
	ErrStale       = errors.New("incarnation is older than one already seen")
	ErrProtocol    = errors.New("peer violates the link protocol")
)

// Channel selects one of the sockets between two nodes.
type Channel uint8

// Channels of each pair of nodes.
const (
	Control Channel = iota // small messages: Raft, announcements, slots
	Data                   // request and response bodies, snapshots
	Calls                  // calls that are relayed to targets, which must neither wait for snapshots nor delay Raft
	channels
)

// String returns the name of the channel.
func (c Channel) String() string {
	switch c {
	case Control:
		return "control"
	case Data:
		return "data"
	case Calls:
		return "calls"
	default:
		return "unknown"
	}
}

// Kind tells the receiver how to decode a payload. The package does not interpret it.
type Kind uint8

// Peer is another node and the address of its link listener.
type Peer struct {
	Node    csmodel.NodeID
	Address string
}

// Options configure the links of one node.
type Options struct {
	Self csmodel.NodeID
	// Incarnation is the life of this node. A peer refuses an incarnation lower than one that it has seen.
	Incarnation csmodel.Incarnation
	// Secret is the cluster key. It is never logged.
	Secret string
	// Listener accepts the connections of peers. Close closes it.
	Listener net.Listener
	// Peers lists the other nodes. An entry for Self is ignored.
	Peers []Peer
	// Dials lists the channels that this node opens to the peers that it dials, all by default. The heartbeats of an idle
	// channel cost both nodes ten messages a second.
	Dials []Channel
	// Admit tells whether a node that is not listed may connect. It becomes a peer that this node does not dial. Nil
	// admits none.
	Admit func(csmodel.NodeID) bool
	// Clock drives heartbeats, deadlines and reconnects. Nil selects the real clock.
	Clock clockwork.Clock
	// Handle receives messages, one at a time for each peer and channel. The payload belongs to the handler. While it
	// runs, later messages of the same peer and channel wait. It must not call Close. A panic is logged.
	Handle func(from csmodel.NodeID, kind Kind, payload []byte)
	// Up is called when the control channel to a peer is established, before the messages that arrive on it. A peer
	// with another incarnation than before has lost what was sent to its earlier one. It may be nil.
	Up func(peer csmodel.NodeID, incarnation csmodel.Incarnation)
	// Down is called when the control channel to a peer is lost. It may be nil.
	Down func(peer csmodel.NodeID)
	// Log may be nil.
	Log *zap.Logger
	// Heartbeat is the interval of heartbeats, 500 ms by default.
	Heartbeat time.Duration
	// Silence is the time without a byte from the peer after which a socket is replaced, 1.5 s by default.
	Silence time.Duration
}

// ChannelStatus describes one channel to a peer. The counters start at 0 with the process.
type ChannelStatus struct {
	Channel    string // name of the channel
	Connected  bool
	Heard      time.Time     // last byte from the peer
	RTT        time.Duration // smoothed round-trip time
	Queued     csmodel.Bytes // payloads that wait for transmission or acknowledgement
	Sockets    uint64        // sockets established
	Resent     uint64        // messages written again on a later socket
	Dropped    uint64        // messages refused by a full queue or lost with an earlier incarnation of the peer
	Superseded uint64        // messages replaced by newer state before delivery
	Duplicates uint64        // messages received again and ignored
	In         csmodel.Bytes // bytes read from the sockets
	Out        csmodel.Bytes // bytes written to the sockets
	Error      string        // why the last connection failed or ended
}

// PeerStatus describes the links to one peer.
type PeerStatus struct {
	Node        csmodel.NodeID
	Address     string
	Incarnation csmodel.Incarnation // 0 until the first connection
	// ChannelStatus has the state of the control channel and the sums of the counters of all channels.
	ChannelStatus
	// Channels are those in use, in ascending order: the channels that this node names for a listed peer, and others that
	// the peer has opened or on which messages wait.
	Channels []ChannelStatus
}
