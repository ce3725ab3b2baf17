package csrelay

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

type orderKind uint8

const (
	orderStart orderKind = iota + 1
	orderStop
	orderLook
)

// order is one call to a target.
type order struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Kind       orderKind
	Target     csjob.TargetID
	Address    string
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Spec       int // index into the specs of the message
	Until      time.Duration
	Fence      csmodel.Fence
	Checkpoint string
	Ticket     string
	Noted      int64
	Wait       time.Duration
	Limit      time.Duration // of the exchange with the target
}

// orders is a message of the leader.
type orders struct {
	_      struct{} `cbor:",toarray"`
	Stamp  int64    // newest stamp of the receiver that the leader has
	Specs  []string // tasks of one job share theirs
	Orders []order
	Stores []member // that take part, the leader first; empty where unchanged
}

// member is a store that calls targets and acknowledges heartbeats.
type member struct {
	_    struct{} `cbor:",toarray"`
	Node csmodel.NodeID
	Zone csmodel.AvailabilityZone
}

type outcome uint8

const (
	outcomeAnswered outcome = iota + 1
	outcomeUnanswered
	outcomeMalformed
	outcomeExpired
	outcomeFull
)

var outcomeNames = [...]string{
	outcomeAnswered: "answered", outcomeUnanswered: "unanswered", outcomeMalformed: "malformed", outcomeExpired: "expired",
	outcomeFull: "full",
}

// result is what became of an order.
type result struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Outcome outcome
	Clock   time.Duration
	Refusal csrun.Refusal
	Born    int64
	Running []progress
	Ended   []ended
	Cause   string // why there is no answer
}

// progress is csrun.Progress in a compact form.
type progress struct {
	_          struct{} `cbor:",toarray"`
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Checkpoint string
	Percent    int
	Load       float64
}

// ended is csrun.Ended in a compact form.
type ended struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Task       csjob.TaskKey
	Attempt    csjob.Attempt
	Outcome    csjob.Outcome
	Checkpoint string
}

// report is a message of a relaying store.
type report struct {
	_       struct{} `cbor:",toarray"`
	Stamp   int64    // clock of the sender in nanoseconds
	Zone    csmodel.AvailabilityZone
	Results []result
	Signs   []csrun.SignOfLife
}

// Estimated sizes of encodings in bytes, without texts.
const (
	orderSize  = 80
	resultSize = 32
	rowSize    = 48
)

func (o *order) size() int { return orderSize + len(o.Checkpoint) + len(o.Ticket) }

func (r *result) size() int {
	n := resultSize + len(r.Cause) + rowSize*(len(r.Running)+len(r.Ended))
	for i := range r.Running {
		n += len(r.Running[i].Checkpoint)
	}
	for i := range r.Ended {
		n += len(r.Ended[i].Checkpoint)
	}
	return n
}

func resultOf(id uint64, l csrun.PollResponse) result {
	r := result{ID: id, Outcome: outcomeAnswered, Clock: l.Clock, Refusal: l.Refusal, Born: l.StartedAtMs}
	for _, p := range l.Running {
		r.Running = append(r.Running, progress{
			Task: p.Task, Attempt: p.Attempt, Checkpoint: p.Checkpoint, Percent: p.Percent, Load: p.Load,
		})
	}
	for _, e := range l.Ended {
		r.Ended = append(r.Ended, ended{
			Number: e.Number, Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
	return r
}

func (r *result) reply() csrun.Reply { return csrun.Reply{Clock: r.Clock, Refusal: r.Refusal} }

func (r *result) look() csrun.PollResponse {
	l := csrun.PollResponse{Reply: r.reply(), StartedAtMs: r.Born}
	for _, p := range r.Running {
		l.Running = append(l.Running, csrun.Progress{
			Task: p.Task, Attempt: p.Attempt, Checkpoint: p.Checkpoint, Percent: p.Percent, Load: p.Load,
		})
	}
	for _, e := range r.Ended {
		l.Ended = append(l.Ended, csrun.RunEnd{
			Number: e.Number, Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
	return l
}

// encode returns the bytes of a message.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("csrelay: %T: %w", v, err)) // messages hold only encodable fields
	}
	return b
}
