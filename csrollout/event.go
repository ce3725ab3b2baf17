package csrollout

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Event is an input to Activator.Step: Committed, Announced, UpdateRequested, UpdateReceived, Acknowledged or Tick.
type Event interface{ event() }

// Committed reports the latest revision that the local replica of the global group has applied.
type Committed struct{ Head Head }

// Announced reports the revision that is active on a peer. It also acknowledges that revision.
type Announced struct {
	Peer     csmodel.NodeID
	Revision csmodel.Revision
}

// UpdateRequested reports that a peer asks for the changes after a revision.
type UpdateRequested struct {
	Peer csmodel.NodeID
	Have csmodel.Revision // the peer's active revision; 0 requests the whole configuration
}

// UpdateReceived reports an update from a peer. Peers send only committed revisions.
type UpdateReceived struct {
	Peer   csmodel.NodeID
	Update Update
}

// Acknowledged reports that a revision is active on a peer.
type Acknowledged struct {
	Peer     csmodel.NodeID
	Revision csmodel.Revision
}

// Tick triggers periodic announcements and requests. It is expected every 100 to 250 ms.
type Tick struct{}

func (Committed) event()       {}
func (Announced) event()       {}
func (UpdateRequested) event() {}
func (UpdateReceived) event()  {}
func (Acknowledged) event()    {}
func (Tick) event()            {}

// Update carries the changes after a revision, oldest first, or a whole configuration if Full is set.
type Update struct {
	Changes []Change `cbor:"1,keyasint,omitempty"`
	Full    *Head    `cbor:"2,keyasint,omitempty"`
}

// Command is an output of Activator.Step: Persist, Activate, Announce, RequestUpdate, SendUpdate or Mismatch. The caller executes
// commands in order.
type Command interface{ command() }

// Persist writes the revision to disk, if the node has one, before the commands that follow are executed.
type Persist struct{ Head Head }

// Activate makes a configuration the active one on this node.
type Activate struct {
	Head    Head
	Latency time.Duration // from the acceptance of the revision to its activation, at least 0
}

// Announce sends the number of the active revision to all peers.
type Announce struct{ Revision csmodel.Revision }

// RequestUpdate asks a peer for the changes after a revision.
type RequestUpdate struct {
	Peer csmodel.NodeID
	Have csmodel.Revision // the active revision; 0 requests the whole configuration
}

// SendUpdate sends an update to a peer.
type SendUpdate struct {
	Peer   csmodel.NodeID
	Update Update
}

// Mismatch reports an update or a committed revision that was rejected: its digest is wrong, it can't be applied, or it
// differs from the active configuration of the same revision.
type Mismatch struct {
	Peer     csmodel.NodeID // empty if the revision came from the local replica
	Revision csmodel.Revision
	Reason   string
}

func (Persist) command()       {}
func (Activate) command()      {}
func (Announce) command()      {}
func (RequestUpdate) command() {}
func (SendUpdate) command()    {}
func (Mismatch) command()      {}
