// Package csrequest routes urgent requests to targets. It handles idempotency keys, admission, fair queuing, routing, retries
// and outcomes.
//
// The Router is a deterministic state machine: Router.Step takes an event and the current time and returns commands. The
// caller of the package keeps the request bodies.
package csrequest

// Outcome is the outcome of a request as reported to its caller. The zero value is invalid.
type Outcome uint8

// Outcomes of a request.
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

// Answer is a complete, verified response of a target. It must not be modified after it was passed to the Router.
type Answer struct {
	Status int    `cbor:"1,keyasint"`
	Type   string `cbor:"2,keyasint,omitempty"` // Content-Type
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// Reason is the reason why a request was not answered.
type Reason string

// Reasons for the outcomes NotRun and Unknown.
const (
	ReasonNone             Reason = ""
	ReasonUnknownJob       Reason = "unknown job"
	ReasonInvalidKey       Reason = "key missing or malformed"
	ReasonKeyReused        Reason = "key belongs to another request"
	ReasonKeyExpired       Reason = "key expired"
	ReasonNoRecord         Reason = "key has no record"
	ReasonAnswerEvicted    Reason = "stored answer no longer available"
	ReasonBodyTooLarge     Reason = "body too large"
	ReasonQuotaExceeded    Reason = "team quota exceeded"
	ReasonQueueFull        Reason = "queue full"
	ReasonWaitTooLong      Reason = "expected wait exceeds timeout"
	ReasonTimeout          Reason = "timeout"
	ReasonDraining         Reason = "node is draining"
	ReasonUnconfigured     Reason = "node does not know the configuration yet"
	ReasonStopped          Reason = "node stopped"
	ReasonCanceled         Reason = "cancelled by caller"
	ReasonTargetFailed     Reason = "target failed"
	ReasonTargetsRefused   Reason = "targets refused"
	ReasonOwnerUnreachable Reason = "key owner unreachable"
	ReasonRecordFailed     Reason = "record not written"
)
