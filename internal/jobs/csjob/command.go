package csjob

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Errors of this package, to be tested with errors.Is.
var (
	ErrInvalid  = errors.New("csjob: invalid")     // a submission, configuration or task name is invalid
	ErrCodec    = errors.New("csjob: undecodable") // a snapshot can't be decoded
	ErrTooLarge = errors.New("csjob: too large")   // a command exceeds MaxCommand
)

// Command is one entry of the replicated log. Its fields are applied in the order of their declaration; a field that is not
// set has no effect.
type Command struct {
	Config  *Config       `cbor:"1,keyasint,omitempty"`
	Submit  *Submission   `cbor:"2,keyasint,omitempty"`
	Cancel  *JobRef       `cbor:"3,keyasint,omitempty"`
	Ends    []End         `cbor:"5,keyasint,omitempty"`
	Targets []TargetEvent `cbor:"4,keyasint,omitempty"`
	Starts  []Start       `cbor:"6,keyasint,omitempty"`
	Wave    *Wave         `cbor:"7,keyasint,omitempty"`
	VMs     []VMOrder     `cbor:"8,keyasint,omitempty"`
	// Term is the term of the leader that decided the command from its own state. The group may forward the command to a
	// later leader, which may already have decided differently, so the table refuses it in any other term. Zero, for commands
	// that don't depend on a leader's state, is valid in every term.
	Term csmodel.Term `cbor:"9,keyasint,omitempty"`
	// Begun lists jobs of which a target has confirmed that it started a task.
	Begun []ID `cbor:"10,keyasint,omitempty"`
	// Part is set alone. The command that it is a part of is applied with the last missing part.
	Part *Part `cbor:"11,keyasint,omitempty"`
}

// JobRef identifies a job and the queue through which a request for it arrived.
type JobRef struct {
	Queue QueueKey `cbor:"1,keyasint"`
	ID    ID       `cbor:"2,keyasint"`
	// Account is the client account that sent the request.
	Account csmodel.AccountID `cbor:"3,keyasint,omitempty"`
}

// name returns the key of a job in state.Cancelled. The quotes separate an account from the host, which cannot contain any.
func (r JobRef) name() string {
	name := queueName(r.Queue) + " " + string(r.ID)
	if r.Account == "" {
		return name
	}
	return strconv.Quote(string(r.Account)) + " " + name
}

// Start records the intent to run a task. It is committed before the target is told to start the run, so that a later leader
// knows every run that may exist.
type Start struct {
	Task        TaskKey     `cbor:"1,keyasint"`
	Attempt     Attempt     `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeDone Outcome = iota
	OutcomeFailed
	OutcomeStopped
	OutcomeLost            // its lease expired, or the incarnation of its target ended
	OutcomeGangMemberEnded // another member of its gang ended
	OutcomeGangTimeout     // not all members of its gang started in time
	OutcomeNotStarted      // it never started
)

// End records the end of a run.
type End struct {
	Task        TaskKey     `cbor:"1,keyasint"`
	Attempt     Attempt     `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	Outcome     Outcome     `cbor:"4,keyasint"`
	Checkpoint  string      `cbor:"5,keyasint,omitempty"`
	// Ran is the measured run time, or zero if the time of the end is not exact. The table learns run times from it.
	Ran time.Duration `cbor:"6,keyasint,omitempty"`
}

// TargetEvent records a change of a target that must survive a leader change.
type TargetEvent struct {
	Target Target `cbor:"1,keyasint"`
	// Ended ends the incarnation and all of its runs.
	Ended bool `cbor:"2,keyasint,omitempty"`
}

// Target is a worker process that runs tasks.
type Target struct {
	Incarnation Incarnation              `cbor:"1,keyasint"`
	Pool        csmodel.PoolID           `cbor:"2,keyasint"`
	Address     string                   `cbor:"3,keyasint"`
	Zone        csmodel.AvailabilityZone `cbor:"4,keyasint"`
	Resources   Resources                `cbor:"5,keyasint"`
	Labels      []string                 `cbor:"6,keyasint,omitempty"`
	Draining    bool                     `cbor:"7,keyasint,omitempty"` // draining, until the incarnation ends
	Rack        string                   `cbor:"8,keyasint,omitempty"`
}

// Wave requests the maintenance of a set of VMs.
type Wave struct {
	ID            csmodel.WaveID `cbor:"1,keyasint"`
	VMs           []csmodel.VMID `cbor:"2,keyasint"`
	Deadline      time.Duration  `cbor:"3,keyasint"` // counted from the acceptance of the wave
	MaxConcurrent int            `cbor:"4,keyasint"` // maximum number of VMs that are down for the wave
}

// VMOrder records an order to the platform. It is committed before the order is sent, and again with Done set when the order
// has ended.
type VMOrder struct {
	VM   csmodel.VMID   `cbor:"1,keyasint"`
	Wave csmodel.WaveID `cbor:"2,keyasint,omitempty"` // set for maintenance
	Pool csmodel.PoolID `cbor:"3,keyasint,omitempty"` // set for a move
	// Incarnation is the incarnation that the order ends, or empty if no target ran on the VM.
	Incarnation Incarnation `cbor:"6,keyasint"`
	// Done is set when the VM is back, the order was refused or the VM was removed.
	Done bool `cbor:"4,keyasint,omitempty"`
	// Refused is set with Done if the order had no effect.
	Refused bool `cbor:"5,keyasint,omitempty"`
	// Removed is set with Done if the order ended because the platform no longer lists the VM.
	Removed bool `cbor:"8,keyasint,omitempty"`
	// Holder is the store that sends the order. A later leader commits itself as the holder before it repeats the order.
	Holder Holder `cbor:"7,keyasint,omitempty"`
}

// SameOrder reports whether two records describe the same order, regardless of its holder.
func (o VMOrder) SameOrder(b VMOrder) bool {
	return o.VM == b.VM && o.Wave == b.Wave && o.Pool == b.Pool && o.Incarnation == b.Incarnation
}

// Holder is the name under which a store sends orders for VMs. Two holders must not send orders for the same VM within an
// interval that the platform sets.
type Holder string

// LastVMOrder tells who sent the last order for a VM, and when.
type LastVMOrder struct {
	Holder Holder    `cbor:"1,keyasint"`
	At     time.Time `cbor:"2,keyasint"` // when the order, or its end, was committed
}

// Verdict is the result of a command, as returned to its proposer.
type Verdict uint8

// Results of a command.
const (
	Accepted        Verdict = iota
	UnknownQueue            // the current configuration has no such queue
	UnknownJob              // there is no such job in the queue
	StaleVersion            // a newer configuration is current
	VersionConflict         // the current configuration has the same version but other content
	Refused                 // invalid, undecodable or from another term
	Incomplete              // a part was stored and others are missing
	Unauthorized            // the current configuration requires an account and has none of that name
)

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return m
}()

// Encode returns the command in CBOR, as stored in the log. It returns an error if the command can't be encoded.
func (c Command) Encode() ([]byte, error) { return encMode.Marshal(c) }

// decMode accepts lists of any length: what was accepted must be readable after a restart.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return m
}()

func decodeCommand(b []byte) (Command, error) {
	var c Command
	err := decMode.Unmarshal(b, &c)
	return c, err
}
