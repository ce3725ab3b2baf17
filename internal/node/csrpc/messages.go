package csrpc

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Methods of calls.
const (
	MethodJob    Method = iota + 1 // an entry passes on the request of a client account
	MethodBeat                     // a store passes on a heartbeat
	MethodLeave                    // a store passes on the end of a target
	MethodLeader                   // a node asks who leads
)

// JobAction is what a client account asks for.
type JobAction uint8

// Actions.
const (
	ActionSubmit JobAction = iota + 1
	ActionState
	ActionCancel
)

// JobRequest is a request of a client account. The leader finds its queue.
type JobRequest struct {
	Action JobAction         `cbor:"1,keyasint"`
	Host   string            `cbor:"2,keyasint"`
	Path   string            `cbor:"3,keyasint"`
	Job    *csjob.Submission `cbor:"4,keyasint,omitempty"`
	Size   int64             `cbor:"5,keyasint,omitempty"` // of the body in bytes
	// Remaining is how long the client account will still wait for an answer, also by sending the request again. Zero where it
	// named no time.
	Remaining time.Duration `cbor:"6,keyasint,omitempty"`
	// Waited is the entry's estimate of the time since the client account first sent the request.
	Waited time.Duration `cbor:"7,keyasint,omitempty"`
	// Key is the key of the client account, or empty if the request has none.
	Key string `cbor:"8,keyasint,omitempty"`
	// Steps is the number of steps of the job.
	Steps int `cbor:"9,keyasint,omitempty"`
}

// JobHead is the part of a JobRequest that can be decoded at little cost. It tells whose job it is and what its decoding takes.
type JobHead struct {
	Action JobAction `cbor:"1,keyasint"`
	Host   string    `cbor:"2,keyasint"`
	Path   string    `cbor:"3,keyasint"`
	Key    string    `cbor:"8,keyasint"`
	Steps  int       `cbor:"9,keyasint"`
}

// JobResult is what became of a request.
type JobResult uint8

// Results.
const (
	ResultDone         JobResult = iota + 1 // accepted, or the state is known
	ResultNoQueue                           // no such queue
	ResultNoJob                             // no such job
	ResultRefused                           // not run and never will be; the client account may return after Retry
	ResultInvalid                           // can never be run
	ResultNoConfig                          // no configuration yet; not run
	ResultMoved                             // not run; another node leads
	ResultUnknown                           // may have been run
	ResultUnauthorized                      // no client account has the key; not run
	ResultBusy                              // too many requests, or no memory for the job; not run, and the client account may return after Retry
)

// JobAnswer answers a JobRequest.
type JobAnswer struct {
	Result  JobResult      `cbor:"1,keyasint"`
	State   csjob.State    `cbor:"2,keyasint,omitempty"`
	Pending int            `cbor:"3,keyasint,omitempty"` // jobs of the queue that have not started
	Queue   bool           `cbor:"4,keyasint,omitempty"` // the answer is about the queue itself
	Retry   time.Duration  `cbor:"5,keyasint,omitempty"`
	Leader  csmodel.NodeID `cbor:"6,keyasint,omitempty"`
	// Key is what the leader found out about the key of the request.
	Key csjob.KeyCheck `cbor:"7,keyasint,omitempty"`
	// Prefix is set if a check of the same key, KeyUnknown or KeyNotNeeded, holds for all paths of the host with this prefix.
	Prefix string `cbor:"8,keyasint,omitempty"`
}

// TargetAnswer answers heartbeats and announcements of an end.
type TargetAnswer struct {
	Taken  bool           `cbor:"1,keyasint"`
	Leader csmodel.NodeID `cbor:"2,keyasint,omitempty"`
}

// LeaderAnswer tells who leads. Stores also send it unasked to the entries that are connected to them.
type LeaderAnswer struct {
	Leader csmodel.NodeID `cbor:"1,keyasint,omitempty"`
	Term   csmodel.Term   `cbor:"2,keyasint,omitempty"`
	Ready  bool           `cbor:"3,keyasint,omitempty"` // a configuration is in force
	// Stores lists the members of the group, so that an entry still finds a leader once its seeds are gone.
	Stores []csmodel.NodeID `cbor:"4,keyasint,omitempty"`
	// Keys is set if the leader is ready and its configuration requires keys of client accounts.
	Keys bool `cbor:"5,keyasint,omitempty"`
}

var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Encode returns the bytes of a message.
func Encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("csrpc: %T: %w", v, err)) // messages hold only encodable fields
	}
	return b
}

// Decode returns the message of an encoding.
func Decode[T any](b []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrCodec, err)
	}
	return v, nil
}

// Names of processes on links. An entry has the smaller name and dials the stores.
const (
	entryPrefix = "entry/"
	storePrefix = "store/"
)

// EntryNode returns the link name of the entry at an address.
func EntryNode(ip string) csmodel.NodeID { return csmodel.NodeID(entryPrefix + ip) }

// StoreNode returns the link name of the store at an address.
func StoreNode(ip string) csmodel.NodeID { return csmodel.NodeID(storePrefix + ip) }

// StoreIP returns the address of a store, and false for other names.
func StoreIP(n csmodel.NodeID) (string, bool) { return strings.CutPrefix(string(n), storePrefix) }

// IsEntry tells whether a name is one of an entry.
func IsEntry(n csmodel.NodeID) bool { return strings.HasPrefix(string(n), entryPrefix) }

// Known tells whether a name is one of an entry or a store.
func Known(n csmodel.NodeID) bool {
	return IsEntry(n) || strings.HasPrefix(string(n), storePrefix)
}

// LinkIncarnation is the incarnation of all processes on their links, which tell lives apart by random numbers. One that came from the
// clock would be refused after the time of day was set back, until it has passed the start of the earlier life. It is above the
// incarnations of earlier versions, which came from the clock, so that their processes accept it.
const LinkIncarnation csmodel.Incarnation = 1 << 62

// LinkKey authenticates links where the deployment has no secret of its own.
const LinkKey = "cowslipstream: links without a configured key"
