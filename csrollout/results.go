package csrollout

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// A result is kept for at least resultRetention and while it is among the last minRetainedResults.
	resultRetention    = 24 * time.Hour
	minRetainedResults = 10_000
	// maxResults limits the stored results. It allows for three days of changes at the design size. Further submissions are
	// refused until results expire, because a resent submission could be accepted twice if its result were dropped early.
	maxResults = 20_400
)

// resultRecord is the stored result of a submission.
type resultRecord struct {
	ID     csmodel.SubmissionID `cbor:"1,keyasint"`
	At     time.Time            `cbor:"2,keyasint"`
	Result []byte               `cbor:"3,keyasint"`
}

// results stores the result of each submission, so that a resent submission gets the same result.
type results struct {
	records []resultRecord // oldest first
	index   map[csmodel.SubmissionID][]byte
}

func (r *results) get(id csmodel.SubmissionID) ([]byte, bool) {
	data, ok := r.index[id]
	return data, ok
}

func (r *results) add(rec resultRecord) {
	if r.index == nil {
		r.index = make(map[csmodel.SubmissionID][]byte)
	}
	r.records = append(r.records, rec)
	r.index[rec.ID] = rec.Result
}

// expire drops results past their retention and reports whether another one can be stored.
func (r *results) expire(now time.Time) bool {
	n := 0
	for len(r.records)-n > minRetainedResults && now.Sub(r.records[n].At) > resultRetention {
		delete(r.index, r.records[n].ID)
		n++
	}
	clear(r.records[:n])
	r.records = r.records[n:]
	return len(r.records) < maxResults
}
