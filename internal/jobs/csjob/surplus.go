package csjob

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// surplusWindow is the burst of an account's token bucket as a multiple of its rate, according to the platform's rules (QuotaWindowS).
const surplusWindow = 5 * time.Second

// takeToken takes a token from the bucket of an account for an accepted job. It reports false if the job is surplus: the account has sent more
// jobs than its weight owes it. An account without a weight has no surplus.
//
// The bucket is kept as the time at which it is full again. Times are integers, so that all nodes reach the same state; sums of fractions of
// tokens would depend on the processor's rounding.
func (t *Table) takeToken(id csmodel.AccountID, at time.Time) bool {
	a, ok := t.Account(id)
	if id == "" || !ok || a.Weight <= 0 {
		return true
	}
	refill := time.Duration(min(float64(surplusRefillMax), float64(time.Second)/a.Weight)) // of one token
	full := t.state.Buckets[id]
	if full.Before(at) {
		full = at
	}
	// A bucket holds at least one token, otherwise all jobs of an account with less than one in surplusWindow would be surplus.
	if full = full.Add(refill); full.Sub(at) > max(surplusWindow, refill) {
		return false
	}
	if t.state.Buckets == nil {
		t.state.Buckets = map[csmodel.AccountID]time.Time{}
	}
	t.state.Buckets[id] = full
	return true
}

// surplusRefillMax bounds the time for one token, so that sums of times can't overflow.
const surplusRefillMax = 365 * 24 * time.Hour

// pruneBuckets deletes the buckets that are full.
func (t *Table) pruneBuckets(at time.Time) {
	for id, full := range t.state.Buckets {
		if !full.After(at) {
			delete(t.state.Buckets, id)
		}
	}
}
