package csrollout

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Event is an input of Active: Committed, Announced, Requested, Received, Acknowledged or Tick.
type Event interface{ event() }

// Committed reports a revision that the replica of this node has applied.
type Committed struct{ Head Head }

// Announced reports the active revision of a peer, which is also the peer's acknowledgement of it.
type Announced struct {
	Peer     csmodel.NodeID
	Revision csmodel.Revision
}

// Requested reports that a peer asks for what it lacks.
type Requested struct {
	Peer csmodel.NodeID
	Have csmodel.Revision // 0 asks for the whole configuration
}

// Received reports an update from a peer. Peers send committed revisions only.
type Received struct {
	Peer   csmodel.NodeID
	Update Update
}

// Acknowledged reports that a revision is active on a peer.
type Acknowledged struct {
	Peer     csmodel.NodeID
	Revision csmodel.Revision
}

// Tick reports that time has passed. It is expected every 100 to 250 ms.
type Tick struct{}

func (Committed) event()    {}
func (Announced) event()    {}
func (Requested) event()    {}
func (Received) event()     {}
func (Acknowledged) event() {}
func (Tick) event()         {}

// Update carries what a peer lacks: steps from a base revision, or a whole revision where Full is set.
type Update struct {
	Steps []Step `cbor:"1,keyasint,omitempty"`
	Full  *Head  `cbor:"2,keyasint,omitempty"`
}

// Command is an output of Active: Persist, Activate, Announce, Request, Send or Mismatch. Commands are executed in
// order.
type Command interface{ command() }

// Persist asks to write the revision to disk, where there is one, before the commands that follow.
type Persist struct{ Head Head }

// Activate asks to use a configuration from now on.
type Activate struct {
	Head Head
	Took time.Duration // time since acceptance
}

// Announce asks to send the active revision to all peers.
type Announce struct{ Revision csmodel.Revision }

// Request asks a peer for what this node lacks.
type Request struct {
	Peer csmodel.NodeID
	Have csmodel.Revision
}

// Send asks to send an update to a peer.
type Send struct {
	Peer   csmodel.NodeID
	Update Update
}

// Mismatch reports an update or a committed revision that contradicts its digest or the active configuration.
type Mismatch struct {
	Peer     csmodel.NodeID // empty for the node's own replica
	Revision csmodel.Revision
	Reason   string
}

func (Persist) command()  {}
func (Activate) command() {}
func (Announce) command() {}
func (Request) command()  {}
func (Send) command()     {}
func (Mismatch) command() {}
