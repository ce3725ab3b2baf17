package csapi

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Submission is the body of SubmitRevision. The operator is the owner of the bearer token.
type Submission struct {
	// ID stays the same when the submission is sent again, so that it gets its first response.
	ID csmodel.SubmissionID `json:"id"`
	// Base is the revision that the operator read, 0 where there is none yet.
	Base csmodel.Revision `json:"base"`
	// Text is the configuration in its YAML form.
	Text string `json:"text"`
}

// SubmissionResult is the verdict on a submission.
type SubmissionResult string

// Results of submissions, with their HTTP status.
const (
	// Accepted: status 201, or 200 on a resend.
	Accepted SubmissionResult = "accepted"
	// Conflict: status 409, another submission won on the same base.
	Conflict SubmissionResult = "conflict"
	// Invalid: status 422, the configuration is not valid.
	Invalid SubmissionResult = "invalid"
)

// Verdict is the response of SubmitRevision for all three results.
type Verdict struct {
	Result SubmissionResult `json:"result"`
	// Revision is the accepted revision, or the newest one on a conflict.
	Revision csmodel.Revision `json:"revision,omitempty"`
	// Winner is the submission that won on a conflict.
	Winner *Winner `json:"winner,omitempty"`
	// Faults lists everything that is wrong with an invalid configuration.
	Faults []Fault `json:"faults,omitempty"`
}

// Winner tells the loser of a conflict who won and what changed since its base.
type Winner struct {
	ID       csmodel.SubmissionID `json:"id"`
	Operator string               `json:"operator"`
	Revision csmodel.Revision     `json:"revision"`
	At       time.Time            `json:"at,omitzero"`
	Changes  []Change             `json:"changes,omitempty"`
	// More is the number of further changes that are not listed.
	More int `json:"more,omitempty"`
}

// Change is one difference between two configurations.
type Change struct {
	// Path names the element, for example pool/web.
	Path string `json:"path"`
	// Kind is removed or changed.
	Kind ChangeKind `json:"kind"`
}

// ChangeKind says what happened to an element of the configuration.
type ChangeKind string

// Kinds of changes.
const (
	Removed ChangeKind = "removed"
	// Changed stands for added elements, too.
	Changed ChangeKind = "changed"
)

// Fault is one fault of a submitted configuration.
type Fault struct {
	Path   string `json:"path,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Reason string `json:"reason"`
	Fix    string `json:"fix,omitempty"`
}

// Revision is the response of ReadRevision.
type Revision struct {
	Revision csmodel.Revision     `json:"revision"`
	ID       csmodel.SubmissionID `json:"id"`
	Operator string               `json:"operator"`
	Base     csmodel.Revision     `json:"base"`
	At       time.Time            `json:"at,omitzero"`
	// Text is the configuration in its YAML form.
	Text string `json:"text"`
	// Active lists the nodes that acknowledged this revision or a newer one.
	Active []csmodel.NodeID `json:"active"`
	// Pending lists the reachable nodes that have not acknowledged it yet.
	Pending []csmodel.NodeID `json:"pending,omitempty"`
	// Unreachable lists the nodes that the answering node has no contact with.
	Unreachable []csmodel.NodeID `json:"unreachable,omitempty"`
	Stale       bool             `json:"stale,omitempty"`
}
