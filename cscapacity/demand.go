package cscapacity

import (
	"math"
	"time"
)

// Time constants and thresholds of the forecast.
const (
	fastWindow      = time.Second
	slowWindow      = time.Minute
	serviceWindow   = 2 * time.Minute
	peakHalfLife    = 5 * time.Minute // of the expected peak
	burstStartRatio = 2.0             // ratio of the fast to the slow rate above which a burst starts
	burstEndRatio   = 1.25            // ratio below which it ends, so that a sustained load becomes the baseline
	minBurstSlots   = 2.0             // slots of demand below which no burst starts
	burstWeight     = 0.3             // weight of the newest burst in the means of duration, interval and peak
	// queueDrainSeconds is the time, in seconds, within which a queue should be served.
	queueDrainSeconds = 2.0
	// priorServiceSeconds is the service time, in seconds, that is assumed before requests are seen. It has the weight
	// of priorRequests requests.
	priorServiceSeconds = 0.25
	priorRequests       = 4.0
	// priorBurstSeconds is the expected duration of the first burst, in seconds. It lets a new leader use spare VMs.
	priorBurstSeconds = 15.0
	// maxIntervalFactor is the time since the start of the latest burst after which no further one is expected, in
	// multiples of the mean interval.
	maxIntervalFactor = 3.0
)

// demandForecast estimates the demand and the bursts of one pool. Its size does not depend on the load.
type demandForecast struct {
	initialized           bool
	since                 time.Time
	last                  time.Time
	arrivals              uint64
	fastRate, slowRate    float64 // requests per second
	busySeconds, requests float64 // decayed sums of slot seconds and requests, whose ratio is the service time
	bursting              bool
	burstCount            int
	burstStart            time.Time // of the latest burst
	burstSeconds          float64   // mean duration of bursts
	intervalSeconds       float64   // mean time from the start of a burst to that of the next
	expectedPeak          float64   // slots demanded at the peak of recent bursts
	currentPeak           float64   // slots demanded at the peak of the present burst
}

// observe updates the forecast with the load of its pool.
func (r *demandForecast) observe(now time.Time, l Load) {
	elapsed := now.Sub(r.last).Seconds()
	arrived := 0.0
	if l.Arrivals > r.arrivals {
		arrived = float64(l.Arrivals - r.arrivals)
	}
	r.arrivals = l.Arrivals
	r.last = now
	if !r.initialized {
		r.initialized = true
		r.since = now
		return
	}
	if elapsed <= 0 {
		return
	}
	r.fastRate += smoothingWeight(elapsed, fastWindow) * (arrived/elapsed - r.fastRate)
	// The window grows with the age of the forecast. Otherwise the slow rate would start near zero and the first load of a
	// new leader would look like a burst.
	age := max(fastWindow, min(slowWindow, now.Sub(r.since)))
	r.slowRate += smoothingWeight(elapsed, age) * (arrived/elapsed - r.slowRate)
	r.updateServiceTime(l, elapsed, arrived)
	r.expectedPeak *= math.Exp2(-elapsed / peakHalfLife.Seconds())
	r.detectBurst(now, r.demand(l), float64(l.Slots))
}

func smoothingWeight(elapsed float64, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed/window.Seconds())
}

// updateServiceTime updates the service time by Little's law while nothing is queued, because a queue hides and refuses
// part of the arrivals.
func (r *demandForecast) updateServiceTime(l Load, elapsed, arrived float64) {
	if l.Queued > 0 {
		return
	}
	keep := 1 - smoothingWeight(elapsed, serviceWindow)
	r.busySeconds = r.busySeconds*keep + float64(l.Busy)*elapsed
	r.requests = r.requests*keep + arrived
}

// serviceSeconds returns the mean service time of a request in seconds.
func (r *demandForecast) serviceSeconds() float64 {
	return (r.busySeconds + priorServiceSeconds*priorRequests) / (r.requests + priorRequests)
}

// demand returns the number of slots that the present arrivals need, plus those that serve the queue in time.
func (r *demandForecast) demand(l Load) float64 {
	return max(float64(l.Busy), r.fastRate*r.serviceSeconds()) + float64(l.Queued)*r.serviceSeconds()/queueDrainSeconds
}

// detectBurst detects the start and end of bursts by the ratio of the rates, or by a demand that exceeds the slots.
func (r *demandForecast) detectBurst(now time.Time, demand, slots float64) {
	short := demand > slots
	switch {
	case !r.bursting && demand > minBurstSlots && (short || r.fastRate > burstStartRatio*r.slowRate):
		r.beginBurst(now)
	case r.bursting && !short && r.fastRate < burstEndRatio*r.slowRate:
		r.endBurst(now)
	}
	if r.bursting {
		r.currentPeak = max(r.currentPeak, demand)
		r.expectedPeak = max(r.expectedPeak, demand)
	}
}

func (r *demandForecast) beginBurst(now time.Time) {
	if r.burstCount > 0 {
		r.intervalSeconds = updateMean(r.intervalSeconds, now.Sub(r.burstStart).Seconds())
	}
	r.bursting = true
	r.burstStart = now
	r.currentPeak = 0
	r.burstCount++
}

func (r *demandForecast) endBurst(now time.Time) {
	r.bursting = false
	r.burstSeconds = updateMean(r.burstSeconds, now.Sub(r.burstStart).Seconds())
	r.expectedPeak = updateMean(r.expectedPeak, r.currentPeak)
}

func updateMean(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + burstWeight*(value-mean)
}

// remainingSeconds returns the time, in seconds, that the present burst is expected to continue. A burst that exceeds
// the mean duration is expected to continue for half as long as it already has.
func (r *demandForecast) remainingSeconds(now time.Time) float64 {
	if !r.bursting {
		return 0
	}
	length := r.burstSeconds
	if length == 0 {
		length = priorBurstSeconds
	}
	elapsed := now.Sub(r.burstStart).Seconds()
	return max(length-elapsed, elapsed/2)
}

// recurring reports whether bursts are regular enough to expect another one.
func (r *demandForecast) recurring(now time.Time) bool {
	return r.burstCount > 1 && now.Sub(r.burstStart).Seconds() < maxIntervalFactor*r.intervalSeconds
}
