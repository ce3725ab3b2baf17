package csapi

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Status is the response of ReadStatus: the fleet as the answering node sees it.
type Status struct {
	Node   csmodel.NodeID           `json:"node"`
	Region csmodel.Region           `json:"region"`
	Zone   csmodel.AvailabilityZone `json:"zone"`
	At     time.Time                `json:"at"`
	// Revision is the active revision of the answering node.
	Revision csmodel.Revision `json:"revision"`
	// Stale means that the node has had no contact with a leader for 3 s.
	Stale  bool    `json:"stale"`
	Groups []Group `json:"groups"`
	Nodes  []Node  `json:"nodes"`
	Pools  []Pool  `json:"pools"`
	VMs    []VM    `json:"vms"`
	Waves  []Wave  `json:"waves"`
}

// Group is one replicated group as the answering node sees it.
type Group struct {
	Name   csmodel.GroupID  `json:"name"`
	Leader csmodel.NodeID   `json:"leader,omitempty"`
	Term   csmodel.Term     `json:"term"`
	Index  csmodel.Index    `json:"index"`
	Voters []csmodel.NodeID `json:"voters"`
	Stale  bool             `json:"stale"`
}

// NodeState is the state of an entry node.
type NodeState string

// States of entry nodes.
const (
	Up          NodeState = "up"
	Leaving     NodeState = "leaving"
	Unreachable NodeState = "unreachable"
)

// Node is one entry node.
type Node struct {
	Name     csmodel.NodeID           `json:"name"`
	Region   csmodel.Region           `json:"region"`
	Zone     csmodel.AvailabilityZone `json:"zone"`
	State    NodeState                `json:"state"`
	Revision csmodel.Revision         `json:"revision"`
	Voter    bool                     `json:"voter,omitempty"`
	Global   bool                     `json:"global,omitempty"`
	// Seen is when the answering node last heard from it.
	Seen time.Time `json:"seen,omitzero"`
	// Fault is the sticky error of the node's disk.
	Fault string `json:"fault,omitempty"`
}

// Pool is one row of the pool table.
type Pool struct {
	Name   csmodel.PoolID `json:"name"`
	Region csmodel.Region `json:"region"`
	Spare  bool           `json:"spare,omitempty"`
	Size   int            `json:"size"`
	Budget int            `json:"budget"`
	// Unavailable is the number of home VMs that do not serve this pool.
	Unavailable int `json:"unavailable"`
	Serving     int `json:"serving"`
	Lent        int `json:"lent"`
	Borrowed    int `json:"borrowed"`
	Slots       int `json:"slots"`
	Busy        int `json:"busy"`
	Queued      int `json:"queued"`
}

// VMState is the state of a VM.
type VMState string

// States of VMs.
const (
	Serving   VMState = "serving"
	Draining  VMState = "draining"
	Handover  VMState = "handover"
	Rebooting VMState = "rebooting"
	Lost      VMState = "lost"
)

// VM is one row of the VM table.
type VM struct {
	ID    csmodel.VMID             `json:"id"`
	Home  csmodel.PoolID           `json:"home"`
	Pool  csmodel.PoolID           `json:"pool"`
	Zone  csmodel.AvailabilityZone `json:"zone"`
	Rack  csmodel.Rack             `json:"rack"`
	State VMState                  `json:"state"`
	Fence csmodel.Fence            `json:"fence"`
	// Serviced is when the VM was last maintained.
	Serviced time.Time `json:"serviced,omitzero"`
	// Quarantined is known on the node that the VM's target announces to.
	Quarantined bool `json:"quarantined,omitempty"`
}
