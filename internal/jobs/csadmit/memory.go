package csadmit

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// freeFactor bounds the memory of an owner to a multiple of what is free, so that some is left for others.
	freeFactor = 4
	// largeJob is the size from which a job counts as large, and largeShare the part of the limit that is open to large jobs.
	largeJob   = 16 * csmodel.KiB
	largeShare = 0.75

	// maxMemoryRetry is the longest time after which a client account is told to return to a store without memory.
	maxMemoryRetry = 30 * time.Second

	freeRateInterval = time.Second // shortest time between two samples of a FreeRate
	freeRateWeight   = 0.3         // of a new sample
)

// Memory is the memory of a store from the point of view of one owner of jobs. The zero value has no limit.
type Memory struct {
	Limit csmodel.Bytes
	Used  csmodel.Bytes // of all owners, by the table and by submissions that are being committed
	Owned csmodel.Bytes // the part of Used that is attributed to the owner
	Rate  float64       // memory that jobs have released lately, in bytes per second
}

// Decide decides whether there is memory for a job or the cancellation of an unknown job. An owner that has much is refused before the
// memory is full: what it may have is a multiple of what is free, so that the jobs of one owner never keep out those of another.
func (m Memory) Decide(id csjob.ID, need csmodel.Bytes) Decision {
	missing := m.missing(need)
	if m.Limit <= 0 || missing <= 0 {
		return Decision{}
	}
	return Decision{Reason: OutOfMemory, Retry: jittered(id, m.timeToFree(missing))}
}

// DecideBusy refuses a submission for which there is no memory while it is answered. That of others is free again soon.
func DecideBusy(id csjob.ID) Decision { return Decision{Reason: Busy, Retry: jittered(id, minRetry)} }

// missing returns how much memory the owner has to release before it may have the given amount in addition.
func (m Memory) missing(need csmodel.Bytes) csmodel.Bytes {
	limit := m.Limit
	if need > largeJob {
		limit = csmodel.Bytes(largeShare * float64(limit))
	}
	free := m.Limit - m.Used
	// What the owner releases is free afterwards.
	overShare := m.Owned + need - freeFactor*free
	return max(m.Used+need-limit, (overShare+freeFactor)/(freeFactor+1))
}

// timeToFree returns how long jobs need to release the given amount if they go on as lately.
func (m Memory) timeToFree(amount csmodel.Bytes) time.Duration {
	if m.Rate <= 0 {
		return maxMemoryRetry
	}
	seconds := min(float64(amount)/m.Rate, maxMemoryRetry.Seconds())
	return max(minRetry, time.Duration(seconds*float64(time.Second)))
}

// FreeRate estimates the rate at which memory is released. The zero value has seen nothing yet. It is not safe for concurrent use.
type FreeRate struct {
	at    time.Time
	freed csmodel.Bytes
	rate  float64 // bytes per second
}

// Update takes in the sum of all memory that was released up to a time, and returns the current rate in bytes per second.
func (r *FreeRate) Update(now time.Time, freed csmodel.Bytes) float64 {
	elapsed := now.Sub(r.at)
	switch {
	case r.at.IsZero() || freed < r.freed: // the first sample, or the table was restored
		r.at, r.freed = now, freed
	case elapsed >= freeRateInterval:
		sample := float64(freed-r.freed) / elapsed.Seconds()
		r.rate += freeRateWeight * (sample - r.rate)
		r.at, r.freed = now, freed
	}
	return r.rate
}
