package cscapacity

import (
	"math"
	"time"
)

// Time constants and thresholds of the forecast.
const (
	fastWindow    = time.Second
	slowWindow    = time.Minute
	serviceWindow = 2 * time.Minute
	peakHalf      = 5 * time.Minute // half-life of the remembered burst peak
	startRatio    = 2.0             // fast rate in multiples of the slow one at which a burst starts
	endRatio      = 1.25            // and below which it ends, so that a lasting load becomes the normal one
	minBurst      = 2.0             // slots of demand below which no burst starts
	burstWeight   = 0.3             // weight of the newest burst in the learned length and interval
	// drainTime is the time in which a queue should be served.
	drainTime = 2.0
	// priorService in seconds, with the weight of priorRequests, stands for the service time before requests were seen.
	priorService  = 0.25
	priorRequests = 4.0
	// priorLength is the length in seconds that the first burst is expected to have. It lets a new leader use spare VMs.
	priorLength = 15.0
	// maxGap bounds the interval of bursts that are still expected, in multiples of the mean interval.
	maxGap = 3.0
)

// rates is the forecast of one pool. Its size does not depend on the load.
type rates struct {
	known      bool
	since      time.Time
	last       time.Time
	arrivals   uint64
	fast, slow float64 // requests per second
	busy, came float64 // decayed sums of slot seconds and requests, whose ratio is the service time
	bursting   bool
	bursts     int
	began      time.Time // of the latest burst
	length     float64   // seconds that bursts last
	gap        float64   // seconds from the start of a burst to that of the next
	peak       float64   // slots demanded at the peak of recent bursts
	top        float64   // slots demanded at the peak of the present burst
}

// observe updates the forecast with the load of a pool.
func (r *rates) observe(now time.Time, l Load) {
	step := now.Sub(r.last).Seconds()
	came := 0.0
	if l.Arrivals > r.arrivals {
		came = float64(l.Arrivals - r.arrivals)
	}
	r.arrivals = l.Arrivals
	r.last = now
	if !r.known {
		r.known = true
		r.since = now
		return
	}
	if step <= 0 {
		return
	}
	r.fast += weight(step, fastWindow) * (came/step - r.fast)
	// The window grows with the age of the forecast. Otherwise the slow rate would start near zero and the first load of a
	// new leader would look like a burst.
	age := max(fastWindow, min(slowWindow, now.Sub(r.since)))
	r.slow += weight(step, age) * (came/step - r.slow)
	r.learnService(l, step, came)
	r.peak *= math.Exp2(-step / peakHalf.Seconds())
	r.followBurst(now, r.demand(l), float64(l.Slots))
}

func weight(step float64, window time.Duration) float64 {
	return 1 - math.Exp(-step/window.Seconds())
}

// learnService applies Little's law while nothing is queued, because a queue hides and refuses part of the arrivals.
func (r *rates) learnService(l Load, step, came float64) {
	if l.Queued > 0 {
		return
	}
	keep := 1 - weight(step, serviceWindow)
	r.busy = r.busy*keep + float64(l.Busy)*step
	r.came = r.came*keep + came
}

// service is the learned service time in seconds.
func (r *rates) service() float64 {
	return (r.busy + priorService*priorRequests) / (r.came + priorRequests)
}

// demand is the number of slots that the present arrivals need, with those that serve the queue in time.
func (r *rates) demand(l Load) float64 {
	return max(float64(l.Busy), r.fast*r.service()) + float64(l.Queued)*r.service()/drainTime
}

// followBurst tells bursts by the rise of the rate, or by a demand that exceeds the slots.
func (r *rates) followBurst(now time.Time, demand, slots float64) {
	short := demand > slots
	switch {
	case !r.bursting && demand > minBurst && (short || r.fast > startRatio*r.slow):
		r.begin(now)
	case r.bursting && !short && r.fast < endRatio*r.slow:
		r.end(now)
	}
	if r.bursting {
		r.top = max(r.top, demand)
		r.peak = max(r.peak, demand)
	}
}

func (r *rates) begin(now time.Time) {
	if r.bursts > 0 {
		r.gap = learn(r.gap, now.Sub(r.began).Seconds())
	}
	r.bursting = true
	r.began = now
	r.top = 0
	r.bursts++
}

func (r *rates) end(now time.Time) {
	r.bursting = false
	r.length = learn(r.length, now.Sub(r.began).Seconds())
	r.peak = learn(r.peak, r.top)
}

func learn(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + burstWeight*(value-mean)
}

// remaining is the number of seconds that the present burst is expected to last. A burst that exceeds the learned length is
// expected to last half as long again as it already has.
func (r *rates) remaining(now time.Time) float64 {
	if !r.bursting {
		return 0
	}
	length := r.length
	if length == 0 {
		length = priorLength
	}
	elapsed := now.Sub(r.began).Seconds()
	return max(length-elapsed, elapsed/2)
}

// recurring tells whether bursts come regularly enough to expect the next one.
func (r *rates) recurring(now time.Time) bool {
	return r.bursts > 1 && now.Sub(r.began).Seconds() < maxGap*r.gap
}
