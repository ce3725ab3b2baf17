package csapi

// Headers that the project defines.
const (
	TeamHeader     = "Cowslip-Team"
	TimeoutHeader  = "Cowslip-Timeout"
	DeadlineHeader = "Cowslip-Deadline"
	OutcomeHeader  = "Cowslip-Outcome"
)

// Standard headers that the interfaces use.
const (
	KeyHeader           = "Idempotency-Key"
	DigestHeader        = "Content-Digest"
	TypeHeader          = "Content-Type"
	RetryHeader         = "Retry-After"
	AuthorizationHeader = "Authorization"
)

// BearerPrefix precedes the token in the Authorization header of operators.
const BearerPrefix = "Bearer "

// Media types of bodies.
const (
	JSONType    = "application/json"
	ProblemType = "application/problem+json"
)

// Limits of the interfaces.
const (
	// MaxBody is the largest body of a request or answer in bytes.
	MaxBody = 1 << 20
	// MaxKeys is the largest number of keys in one call.
	MaxKeys = 1000
)

// Outcome is the value of the Cowslip-Outcome header. It decides, not the status: a target's own 503 is an answer.
type Outcome string

// Outcomes of requests and task submissions.
const (
	// Answer means the body is the complete response of the target, or that the task was accepted.
	Answer Outcome = "answer"
	// NotRun means the request did not run and may be sent again.
	NotRun Outcome = "not-run"
	// Unknown means the request may have run.
	Unknown Outcome = "unknown"
)

// Valid tells whether the outcome is one of the three defined values.
func (o Outcome) Valid() bool {
	return o == Answer || o == NotRun || o == Unknown
}
