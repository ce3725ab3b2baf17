package csrollout

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Change is an accepted revision, stored as the delta from the revision before it.
type Change struct {
	Revision   csmodel.Revision     `cbor:"1,keyasint"`
	At         time.Time            `cbor:"2,keyasint"` // when the revision was accepted
	Submission csmodel.SubmissionID `cbor:"3,keyasint"`
	Operator   string               `cbor:"4,keyasint"`
	Digest     uint64               `cbor:"5,keyasint"` // xxhash64 of the resulting encoded configuration
	Delta      []byte               `cbor:"6,keyasint"` // encoded csconfig.Delta
}

// Head is an accepted revision with its whole configuration. The zero value is revision 0 with an empty configuration.
type Head struct {
	Change
	Configuration csconfig.Configuration
}

// Submission proposes a new revision. Exactly one of Configuration and Delta is set. Submissions with the same ID are
// decided once, as long as the result is kept.
type Submission struct {
	ID            csmodel.SubmissionID    `cbor:"1,keyasint"`
	Base          csmodel.Revision        `cbor:"2,keyasint"` // the revision that the operator read
	Operator      string                  `cbor:"3,keyasint"`
	Configuration *csconfig.Configuration `cbor:"4,keyasint,omitempty"`
	Delta         *csconfig.Delta         `cbor:"5,keyasint,omitempty"`
}

// Result is the decision on a submission: Accepted, Conflict or Invalid.
type Result interface{ result() }

// Accepted reports that the submission became a revision.
type Accepted struct {
	Revision csmodel.Revision `cbor:"1,keyasint"`
	At       time.Time        `cbor:"2,keyasint"` // when the revision was accepted
}

// Conflict reports that another submission on the same base revision was accepted first.
type Conflict struct {
	Revision   csmodel.Revision     `cbor:"1,keyasint"` // the last accepted revision at the time of the decision
	Operator   string               `cbor:"2,keyasint"` // of Submission; empty if no longer known
	Submission csmodel.SubmissionID `cbor:"3,keyasint"` // accepted on the base; empty if no longer known
	Names      []string             `cbor:"4,keyasint"` // changed since the base, see csconfig.Delta.Names
	More       int                  `cbor:"5,keyasint"` // number of further names that are not listed
	Truncated  bool                 `cbor:"6,keyasint"` // the changes directly after the base are no longer kept
}

// Invalid reports a submission that cannot be accepted.
type Invalid struct {
	Reason string `cbor:"1,keyasint"`
	// Retry is set if the submission was not decided; the same one may be sent again later.
	Retry bool `cbor:"2,keyasint,omitempty"`
}

func (Accepted) result() {}
func (Conflict) result() {}
func (Invalid) result()  {}
