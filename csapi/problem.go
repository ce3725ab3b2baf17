package csapi

import (
	"fmt"
	"net/http"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	// Type is a URI reference of the kind of problem. Empty means about:blank.
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance is the path of the request.
	Instance string `json:"instance,omitempty"`
}

// Types of problems. A status alone does not tell them apart.
const (
	UnknownJob     = "/problems/unknown-job"
	UnknownTask    = "/problems/unknown-task"
	UnknownWave    = "/problems/unknown-wave"
	UnknownDrain   = "/problems/unknown-drain"
	KeyRequired    = "/problems/key-required"
	KeyInvalid     = "/problems/key-invalid"
	BadHeader      = "/problems/bad-header"
	BadBody        = "/problems/bad-body"
	BodyTooLarge   = "/problems/body-too-large"
	Unauthorized   = "/problems/unauthorized"
	NoLeader       = "/problems/no-leader"
	BudgetExceeded = "/problems/budget-exceeded"
	QuotaExceeded  = "/problems/quota-exceeded"
)

// NewProblem returns a problem with the standard title of the status.
func NewProblem(status int, kind, detail string) Problem {
	return Problem{Type: kind, Title: http.StatusText(status), Status: status, Detail: detail}
}

// String returns status, title and detail in one line.
func (p Problem) String() string {
	if p.Detail == "" {
		return fmt.Sprintf("%d %s", p.Status, p.Title)
	}
	return fmt.Sprintf("%d %s: %s", p.Status, p.Title, p.Detail)
}
