package csrollout

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// A result is kept for keepTime and while it is among the last keepCount.
	keepTime  = 24 * time.Hour
	keepCount = 10_000
	// maxResults bounds the results. It is three days of changes at the design size; submissions beyond it are refused
	// until results expire, because forgetting one could accept a resent submission twice.
	maxResults = 20_400
)

// record is the result of a submission.
type record struct {
	ID     csmodel.SubmissionID `cbor:"1,keyasint"`
	At     time.Time            `cbor:"2,keyasint"`
	Result []byte               `cbor:"3,keyasint"`
}

// results keeps the first result of each submission.
type results struct {
	records []record // oldest first
	index   map[csmodel.SubmissionID][]byte
}

func (r *results) get(id csmodel.SubmissionID) ([]byte, bool) {
	data, ok := r.index[id]
	return data, ok
}

func (r *results) add(rec record) {
	if r.index == nil {
		r.index = make(map[csmodel.SubmissionID][]byte)
	}
	r.records = append(r.records, rec)
	r.index[rec.ID] = rec.Result
}

// expire removes results that need not be kept and tells whether there is room for another one.
func (r *results) expire(now time.Time) bool {
	n := 0
	for len(r.records)-n > keepCount && now.Sub(r.records[n].At) > keepTime {
		delete(r.index, r.records[n].ID)
		n++
	}
	clear(r.records[:n])
	r.records = r.records[n:]
	return len(r.records) < maxResults
}
