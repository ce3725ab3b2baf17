// Package csrequest decides for urgent requests: idempotency keys, admission, fair queues, routing, retries and outcomes.
//
// The package is a deterministic state machine: events and the current time go in, commands come out. Request bodies stay
// with the caller of the package.
package csrequest

// Outcome is what a caller learns about a request. The zero value is invalid.
type Outcome uint8

// The three outcomes.
const (
	Answered Outcome = iota + 1 // a complete, verified response of the target
	NotRun                      // the request was not run
	Unknown                     // the request may have run
)

// String returns the value of the header Cowslip-Outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answer"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Answer is a complete, verified response of a target. It is not modified after it was passed to the Router.
type Answer struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint,omitempty"` // Content-Type
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// Reason tells why a request was not answered.
type Reason string

// Reasons.
const (
	ReasonNone     Reason = ""
	ReasonJob      Reason = "unknown job"
	ReasonKey      Reason = "key missing or malformed"
	ReasonReused   Reason = "key belongs to another request"
	ReasonExpired  Reason = "key expired"
	ReasonLost     Reason = "key has no record"
	ReasonEvicted  Reason = "stored answer no longer available"
	ReasonSize     Reason = "body too large"
	ReasonQuota    Reason = "team quota exceeded"
	ReasonQueue    Reason = "queue full"
	ReasonWait     Reason = "expected wait exceeds timeout"
	ReasonTimeout  Reason = "timeout"
	ReasonDrain    Reason = "node is draining"
	ReasonUnready  Reason = "node does not know the configuration yet"
	ReasonStopped  Reason = "node stopped"
	ReasonCanceled Reason = "cancelled by caller"
	ReasonTarget   Reason = "target failed"
	ReasonRefused  Reason = "targets refused"
	ReasonOwner    Reason = "key owner unreachable"
	ReasonDisk     Reason = "record not written"
)
