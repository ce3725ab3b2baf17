package csrequest

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	slowLatencyRatio       = 2.0                    // latency in multiples of the job's mean above which the limit is reduced
	slowLimitFactor        = 0.9                    // applied to the limit after slow responses or a refusal for lack of slots
	failureLimitFactor     = 0.7                    // applied to the limit after a failure
	latencyRatioWeight     = 0.1                    // weight of a new sample in target.latencyRatio
	limitReductionInterval = 100 * time.Millisecond // minimum time between reductions of a limit
	refusedPause           = 100 * time.Millisecond // no attempts after a refusal or a failure to connect
	fullPause              = 10 * time.Millisecond  // no attempts after a refusal for lack of slots
	minRemoteBenefit       = 2 * time.Millisecond   // expected wait to be saved by using another availability zone
)

// target is a target on which this node holds a slot lease, or still has attempts in flight or results to report.
type target struct {
	lease        csmodel.SlotLease
	busy         int
	limit        float64 // adaptive limit on attempts in flight, at most lease.Slots
	latencyRatio float64 // moving average of the latency in multiples of the job's mean
	reducedAt    time.Time
	pausedUntil  time.Time // no attempt before this time
	successes    int
	failures     int
}

// capacity returns the number of attempts that the target may have in flight now.
func (t *target) capacity(now time.Time) int {
	if !now.Before(t.lease.Until) {
		return 0
	}
	return min(t.lease.Slots, t.lease.Connections, max(1, int(t.limit)))
}

// available reports whether an attempt may start now. A probe lease allows a single attempt at a time, of an idempotent
// request.
func (t *target) available(now time.Time, idempotent bool) bool {
	if t.lease.Probe && (!idempotent || t.busy > 0) {
		return false
	}
	return t.busy < t.capacity(now) && !now.Before(t.pausedUntil)
}

// updateLease replaces the lease. A limit that was not reduced follows the number of slots.
func (t *target) updateLease(l csmodel.SlotLease) {
	if t.limit >= float64(t.lease.Slots) {
		t.limit = float64(l.Slots)
	}
	t.limit = min(t.limit, float64(l.Slots))
	t.lease = l
}

// observeAnswer adapts the limit to the latency of an answer: additive increase while the limit is reached, multiplicative
// decrease while responses are slow.
func (t *target) observeAnswer(now time.Time, latency, mean time.Duration) {
	t.successes++
	if mean <= 0 {
		return
	}
	if t.latencyRatio == 0 {
		t.latencyRatio = 1
	}
	t.latencyRatio += latencyRatioWeight * (float64(latency)/float64(mean) - t.latencyRatio)
	switch {
	case t.latencyRatio > slowLatencyRatio:
		t.reduceLimit(now, slowLimitFactor)
	case t.busy >= int(t.limit):
		t.limit = min(float64(t.lease.Slots), t.limit+1/max(1, t.limit))
	}
}

// observeFailure reduces the limit after a failed attempt.
func (t *target) observeFailure(now time.Time) {
	t.failures++
	t.reduceLimit(now, failureLimitFactor)
}

// reduceLimit multiplies the limit by a factor, at most once per limitReductionInterval.
func (t *target) reduceLimit(now time.Time, factor float64) {
	if now.Sub(t.reducedAt) < limitReductionInterval {
		return
	}
	t.reducedAt = now
	t.limit = max(1, t.limit*factor)
}

// pause allows no attempts until the given time.
func (t *target) pause(until time.Time) {
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// pool holds the queue, the targets and the demand of a pool.
type pool struct {
	name        csmodel.PoolID
	queue       fairQueue
	targets     []*target // in the order of target ids
	meanLatency time.Duration
	arrivals    uint64
	busy        int
	demand      demand
	summaries   []csmodel.PoolSummary // of all home nodes
}

func newPool(name csmodel.PoolID) *pool {
	return &pool{name: name, queue: fairQueue{teams: map[csmodel.TeamID]*teamQueue{}}}
}

// capacity returns the number of attempts that may be in flight in an availability zone, or in all zones if zone is empty.
// Probes are not counted.
func (p *pool) capacity(now time.Time, zone csmodel.AvailabilityZone) int {
	total := 0
	for _, t := range p.targets {
		if (zone == "" || t.lease.Zone == zone) && !t.lease.Probe {
			total += t.capacity(now)
		}
	}
	return total
}

// pickTarget returns the preferred available target for a request, or nil. A target in another availability zone is returned
// only if the local zone has none available and its expected wait exceeds minRemoteBenefit.
func (p *pool) pickTarget(now time.Time, zone csmodel.AvailabilityZone, r *request) *target {
	var local, remote *target
	for _, t := range p.targets {
		if !t.available(now, r.idempotent) {
			continue
		}
		best := &remote
		if t.lease.Zone == zone {
			best = &local
		}
		if *best == nil || preferred(t, *best, r) {
			*best = t
		}
	}
	if local != nil || remote == nil {
		return local
	}
	if p.expectedLocalWait(now, zone) > minRemoteBenefit {
		return remote
	}
	return nil
}

// preferred reports whether a is preferred to b: targets that the request has not tried come first, then probes, then targets
// with the lower fraction of busy slots.
func preferred(a, b *target, r *request) bool {
	if c := cmp.Compare(r.triedOn(a), r.triedOn(b)); c != 0 {
		return c < 0
	}
	if a.lease.Probe != b.lease.Probe {
		return a.lease.Probe
	}
	return a.busy*b.lease.Slots < b.busy*a.lease.Slots
}

// expectedLocalWait returns the expected time in which the targets of the local availability zone alone would serve the queue.
func (p *pool) expectedLocalWait(now time.Time, zone csmodel.AvailabilityZone) time.Duration {
	capacity := p.capacity(now, zone)
	if capacity == 0 {
		return maxLatency
	}
	return p.meanLatency * time.Duration(p.queue.length) / time.Duration(capacity)
}

// expectedWait returns the expected wait of a request if it is queued now. It is the lower of two estimates: for the whole
// queue, and for the requests of its team with earlier deadlines at the team's share of the capacity.
func (p *pool) expectedWait(now time.Time, r *request) time.Duration {
	capacity := p.capacity(now, "")
	if capacity == 0 || p.busy+p.queue.length < capacity {
		return 0
	}
	share := r.team.share()
	wholeQueue := p.meanLatency * time.Duration(p.queue.length+1) / time.Duration(capacity)
	ahead := p.queue.ahead(r) + 1
	ownTeam := p.meanLatency * time.Duration(ahead*p.queue.totalShares(r.teamName, share)) / time.Duration(capacity*share)
	return min(wholeQueue, ownTeam)
}

// expectedQueueWait returns the expected wait of a request at the end of the queue.
func (p *pool) expectedQueueWait(now time.Time) time.Duration {
	capacity := p.capacity(now, "")
	if capacity == 0 || p.busy+p.queue.length < capacity {
		return 0
	}
	return p.meanLatency * time.Duration(p.queue.length+1) / time.Duration(capacity)
}

// replaceLeases replaces the leases of the pool. Targets without a lease are kept while they have attempts in flight or
// results that TargetUsage has not returned.
func (p *pool) replaceLeases(leases []csmodel.SlotLease) {
	for _, t := range p.targets {
		t.lease.Until = time.Time{}
	}
	for _, l := range leases {
		i, found := slices.BinarySearchFunc(p.targets, l, func(t *target, l csmodel.SlotLease) int {
			return cmp.Or(cmp.Compare(t.lease.Target, l.Target), cmp.Compare(t.lease.Incarnation, l.Incarnation))
		})
		if !found {
			p.targets = slices.Insert(p.targets, i, &target{lease: csmodel.SlotLease{
				Target:      l.Target,
				Incarnation: l.Incarnation,
			}})
		}
		p.targets[i].updateLease(l)
	}
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		return t.lease.Until.IsZero() && t.busy == 0 && t.successes == 0 && t.failures == 0
	})
}
