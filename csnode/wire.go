package csnode

import (
	"time"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
)

// Kinds of messages between nodes.
const (
	kindGlobal    cslink.Kind = iota + 1 // Raft message of the global group
	kindRegion                           // Raft message of the region's group
	kindRevision                         // active revision of the sender
	kindAsk                              // request for a configuration update
	kindUpdate                           // configuration update
	kindSummary                          // summaries of the sender's targets
	kindSlots                            // slot request
	kindGrant                            // slot grant
	kindForward                          // forwarded request
	kindForwarded                        // outcome of a forwarded request
	kindReport                           // observations of a home node for the region's leader
	kindInstruct                         // instructions of the region's leader for a home node
	kindLeaving                          // the sender drains
	kindRehomed                          // a target announced to the sender
)

type revisionMessage struct {
	Revision csmodel.Revision `cbor:"1,keyasint"`
}

type summaryMessage struct {
	Pools []csmodel.PoolSummary `cbor:"1,keyasint,omitempty"`
}

type rehomedMessage struct {
	VM          csmodel.VMID        `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64              `cbor:"3,keyasint"`
}

type forwardMessage struct {
	ID      csrequest.RequestID `cbor:"1,keyasint"`
	Job     csmodel.JobID       `cbor:"2,keyasint"`
	Team    csmodel.TeamID      `cbor:"3,keyasint"`
	Key     string              `cbor:"4,keyasint"`
	Timeout time.Duration       `cbor:"5,keyasint"`
	Body    []byte              `cbor:"6,keyasint"`
}

type forwardedMessage struct {
	ID         csrequest.RequestID `cbor:"1,keyasint"`
	Outcome    csrequest.Outcome   `cbor:"2,keyasint"`
	Answer     csrequest.Answer    `cbor:"3,keyasint"`
	Reason     csrequest.Reason    `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration       `cbor:"5,keyasint,omitempty"`
}

// reportMessage is what a home node tells the region's leader. A report without Full changes the previous one.
type reportMessage struct {
	Full  bool           `cbor:"1,keyasint,omitempty"`
	VMs   []observedVM   `cbor:"2,keyasint,omitempty"`
	Gone  []csmodel.VMID `cbor:"3,keyasint,omitempty"`
	Loads []poolLoad     `cbor:"4,keyasint,omitempty"`
}

// observedVM is the state of one target as its home node knows it.
type observedVM struct {
	VM          csmodel.VMID             `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation      `cbor:"2,keyasint"`
	Zone        csmodel.AvailabilityZone `cbor:"3,keyasint"`
	Rack        csmodel.Rack             `cbor:"4,keyasint"`
	Pool        csmodel.PoolID           `cbor:"5,keyasint"`
	CPU         csmodel.MilliCPU         `cbor:"6,keyasint"`
	Memory      csmodel.Bytes            `cbor:"7,keyasint"`
	Fence       csmodel.Fence            `cbor:"8,keyasint"`
	Drained     bool                     `cbor:"9,keyasint,omitempty"`
	Quarantined bool                     `cbor:"10,keyasint,omitempty"`
	Tasks       []observedTask           `cbor:"11,keyasint,omitempty"`
	Slots       int                      `cbor:"12,keyasint"`
}

type observedTask struct {
	ID     csmodel.TaskID   `cbor:"1,keyasint"`
	Fence  csmodel.Fence    `cbor:"2,keyasint"`
	CPU    csmodel.MilliCPU `cbor:"3,keyasint,omitempty"`
	Memory csmodel.Bytes    `cbor:"4,keyasint,omitempty"`
	// Runtime is rounded to seconds, so that a report does not change at every announcement.
	Runtime time.Duration `cbor:"5,keyasint,omitempty"`
}

// poolLoad is the load of a pool's queue on one node.
type poolLoad struct {
	Pool     csmodel.PoolID `cbor:"1,keyasint"`
	Arrivals uint64         `cbor:"2,keyasint"`
	Queued   int            `cbor:"3,keyasint,omitempty"`
	Busy     int            `cbor:"4,keyasint,omitempty"`
}

// order is an instruction of the region's leader for a home node.
type order struct {
	Action orderKind      `cbor:"1,keyasint"`
	VM     csmodel.VMID   `cbor:"2,keyasint"`
	Fence  csmodel.Fence  `cbor:"3,keyasint"`
	Task   csmodel.TaskID `cbor:"4,keyasint,omitempty"`
	// Incarnation is that of the target before a reboot.
	Incarnation csmodel.Incarnation `cbor:"5,keyasint,omitempty"`
	// Overrun marks a stop of a task that overran.
	Overrun bool `cbor:"6,keyasint,omitempty"`
	// Off ends a throttle.
	Off bool `cbor:"7,keyasint,omitempty"`
}

type orderKind uint8

const (
	orderReboot orderKind = iota + 1
	orderThrottle
	orderCheckpoint
	orderStop
)

// slotMessage and grantMessage are the messages of the slot leases.
type (
	slotMessage  = cstarget.SlotRequest
	grantMessage = cstarget.SlotGrant
)

func encode(v any) []byte {
	b, err := cscodec.Marshal(v)
	if err != nil {
		panic(err) // every message type of this package can be encoded
	}
	return b
}

func decode[T any](b []byte) (T, error) {
	var v T
	err := cscodec.Unmarshal(b, &v)
	return v, err
}
