package csrequest

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	slowRatio     = 2.0                    // latency in multiples of the job's mean above which the limit is cut
	slowCut       = 0.9                    // factor of the limit after slow responses or a refusal for lack of slots
	failureCut    = 0.7                    // factor of the limit after a failure
	ratioWeight   = 0.1                    // weight of the newest latency ratio
	cutInterval   = 100 * time.Millisecond // between two cuts of a limit
	refusedPause  = 100 * time.Millisecond // without attempts after a refusal or a failure to connect
	fullPause     = 10 * time.Millisecond  // without attempts after a refusal for lack of slots
	remoteBenefit = 2 * time.Millisecond   // by which a remote availability zone must have the lower expected wait
)

// target is a target with a slot lease, or with attempts in flight.
type target struct {
	lease   csmodel.SlotLease
	busy    int
	limit   float64 // adaptive limit of attempts in flight, at most the slots
	ratio   float64 // smoothed latency in multiples of the job's mean
	cutAt   time.Time
	pausing time.Time // no attempt before this time
	good    int
	bad     int
}

// capacity returns the number of attempts that the target may have in flight now.
func (t *target) capacity(now time.Time) int {
	if !now.Before(t.lease.Until) {
		return 0
	}
	return min(t.lease.Slots, t.lease.Connections, max(1, int(t.limit)))
}

// free tells whether an attempt of the request may start now.
func (t *target) free(now time.Time, idempotent bool) bool {
	if t.lease.Probe && (!idempotent || t.busy > 0) {
		return false
	}
	return t.busy < t.capacity(now) && !now.Before(t.pausing)
}

// renew replaces the lease.
func (t *target) renew(l csmodel.SlotLease) {
	if t.limit >= float64(t.lease.Slots) {
		t.limit = float64(l.Slots)
	}
	t.limit = min(t.limit, float64(l.Slots))
	t.lease = l
}

// answered adapts the limit to a latency: additive increase while the limit is in use, decrease while responses are slow.
func (t *target) answered(now time.Time, latency, mean time.Duration) {
	t.good++
	if mean <= 0 {
		return
	}
	if t.ratio == 0 {
		t.ratio = 1
	}
	t.ratio += ratioWeight * (float64(latency)/float64(mean) - t.ratio)
	switch {
	case t.ratio > slowRatio:
		t.cut(now, slowCut)
	case t.busy >= int(t.limit):
		t.limit = min(float64(t.lease.Slots), t.limit+1/max(1, t.limit))
	}
}

func (t *target) failed(now time.Time) {
	t.bad++
	t.cut(now, failureCut)
}

func (t *target) cut(now time.Time, factor float64) {
	if now.Sub(t.cutAt) < cutInterval {
		return
	}
	t.cutAt = now
	t.limit = max(1, t.limit*factor)
}

func (t *target) pause(until time.Time) {
	if until.After(t.pausing) {
		t.pausing = until
	}
}

// pool is the queue of a pool and the targets that may serve it.
type pool struct {
	name      csmodel.PoolID
	queue     fairQueue
	targets   []*target // in the order of target ids
	mean      time.Duration
	arrivals  uint64
	busy      int
	demand    demand
	summaries []csmodel.PoolSummary // of all home nodes
}

func newPool(name csmodel.PoolID) *pool {
	return &pool{name: name, queue: fairQueue{teams: map[csmodel.TeamID]*teamQueue{}}}
}

// capacity returns the attempts that may be in flight, in all availability zones or only in one.
func (p *pool) capacity(now time.Time, zone csmodel.AvailabilityZone) int {
	total := 0
	for _, t := range p.targets {
		if (zone == "" || t.lease.Zone == zone) && !t.lease.Probe {
			total += t.capacity(now)
		}
	}
	return total
}

// pick chooses the target for a request: the least used one of the own availability zone, or of another one while the
// expected wait for the own one is higher by more than remoteBenefit.
func (p *pool) pick(now time.Time, zone csmodel.AvailabilityZone, r *request) *target {
	var local, remote *target
	for _, t := range p.targets {
		if !t.free(now, r.idempotent) {
			continue
		}
		best := &remote
		if t.lease.Zone == zone {
			best = &local
		}
		if *best == nil || better(t, *best, r) {
			*best = t
		}
	}
	if local != nil || remote == nil {
		return local
	}
	if p.localWait(now, zone) > remoteBenefit {
		return remote
	}
	return nil
}

// better prefers targets on which the request has not failed, then probes, then the lowest use.
func better(a, b *target, r *request) bool {
	if c := cmp.Compare(r.triedOn(a), r.triedOn(b)); c != 0 {
		return c < 0
	}
	if a.lease.Probe != b.lease.Probe {
		return a.lease.Probe
	}
	return a.busy*b.lease.Slots < b.busy*a.lease.Slots
}

// localWait returns the expected time until the queue is served by the own availability zone alone.
func (p *pool) localWait(now time.Time, zone csmodel.AvailabilityZone) time.Duration {
	capacity := p.capacity(now, zone)
	if capacity == 0 {
		return maxLatency
	}
	return p.mean * time.Duration(p.queue.length) / time.Duration(capacity)
}

// wait returns the expected wait of a request that a team adds to the queue now.
func (p *pool) wait(now time.Time, r *request) time.Duration {
	capacity := p.capacity(now, "")
	if capacity == 0 || p.busy+p.queue.length < capacity {
		return 0
	}
	share := r.team.share()
	all := p.mean * time.Duration(p.queue.length+1) / time.Duration(capacity)
	ahead := p.queue.ahead(r) + 1
	fair := p.mean * time.Duration(ahead*p.queue.shares(r.teamName, share)) / time.Duration(capacity*share)
	return min(all, fair)
}

// expected returns the expected wait for the whole queue.
func (p *pool) expected(now time.Time) time.Duration {
	capacity := p.capacity(now, "")
	if capacity == 0 || p.busy+p.queue.length < capacity {
		return 0
	}
	return p.mean * time.Duration(p.queue.length+1) / time.Duration(capacity)
}

// lease replaces the leases of the pool.
func (p *pool) lease(leases []csmodel.SlotLease) {
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
		p.targets[i].renew(l)
	}
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		return t.lease.Until.IsZero() && t.busy == 0 && t.good == 0 && t.bad == 0
	})
}
