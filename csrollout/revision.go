package csrollout

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Step is one accepted revision as the change from the revision before it.
type Step struct {
	Revision   csmodel.Revision     `cbor:"1,keyasint"`
	At         time.Time            `cbor:"2,keyasint"` // when the revision was accepted
	Submission csmodel.SubmissionID `cbor:"3,keyasint"`
	Operator   string               `cbor:"4,keyasint"`
	Digest     uint64               `cbor:"5,keyasint"` // of the resulting configuration
	Delta      []byte               `cbor:"6,keyasint"` // encoded csconfig.Delta
}

// Head is an accepted revision with its configuration. The zero value is revision 0 with an empty configuration.
type Head struct {
	Step
	Configuration csconfig.Configuration
}

// Submission asks for a new revision. Exactly one of Configuration and Delta is set.
type Submission struct {
	ID            csmodel.SubmissionID    `cbor:"1,keyasint"`
	Base          csmodel.Revision        `cbor:"2,keyasint"` // the revision that the operator read
	Operator      string                  `cbor:"3,keyasint"`
	Configuration *csconfig.Configuration `cbor:"4,keyasint,omitempty"`
	Delta         *csconfig.Delta         `cbor:"5,keyasint,omitempty"`
}

// Result answers a submission: Accepted, Conflict or Invalid.
type Result interface{ result() }

// Accepted reports the revision that the submission became.
type Accepted struct {
	Revision csmodel.Revision `cbor:"1,keyasint"`
	At       time.Time        `cbor:"2,keyasint"`
}

// Conflict reports that another submission won the same base.
type Conflict struct {
	Revision   csmodel.Revision     `cbor:"1,keyasint"` // the last accepted revision at the time of the decision
	Operator   string               `cbor:"2,keyasint"` // winner of the base; empty where it is no longer known
	Submission csmodel.SubmissionID `cbor:"3,keyasint"`
	Names      []string             `cbor:"4,keyasint"` // changed since the base, as csconfig.Delta.Names
	More       int                  `cbor:"5,keyasint"` // further names that are not listed
	Truncated  bool                 `cbor:"6,keyasint"` // changes directly after the base are no longer known
}

// Invalid reports a submission that cannot be accepted.
type Invalid struct {
	Reason string `cbor:"1,keyasint"`
	// Retry is set where the submission was not judged, and the same one may be sent again later.
	Retry bool `cbor:"2,keyasint,omitempty"`
}

func (Accepted) result() {}
func (Conflict) result() {}
func (Invalid) result()  {}
