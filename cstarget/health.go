package cstarget

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	outcomeWeight     = 0.2 // weight of the newest outcome in the failure share
	minOutcomes       = 5   // outcomes before a target may be quarantined
	probeSuccesses    = 3   // successes that readmit a target
	quarantineDivisor = 3   // at most this part of a pool is quarantined
	minProbeDelay     = time.Second
	maxProbeDelay     = time.Minute
	// maxUnprobed readmits a target for which no probe reported an outcome, for example because its pool has only jobs
	// that are not idempotent.
	maxUnprobed      = 5 * time.Minute
	defaultThreshold = 0.5
)

// HealthConfig configures the quarantine. Zero fields take defaults.
type HealthConfig struct {
	// Threshold is the failure share above which a target is quarantined.
	Threshold float64
}

type targetHealth struct {
	incarnation csmodel.Incarnation
	pool        csmodel.PoolID
	share       float64 // exponentially weighted failure share
	outcomes    int
	quarantined bool
	since       time.Time // of the quarantine or of its last probe outcome
	next        time.Time // earliest next probe
	delay       time.Duration
	probing     bool
	successes   int
}

type remoteHealth struct{ targets, quarantined int }

// Health decides which targets are quarantined because of their outcomes.
type Health struct {
	threshold float64
	targets   map[csmodel.VMID]*targetHealth
	remote    map[csmodel.PoolID]remoteHealth
}

// NewHealth returns a Health without targets.
func NewHealth(c HealthConfig) *Health {
	if c.Threshold == 0 {
		c.Threshold = defaultThreshold
	}
	return &Health{
		threshold: c.Threshold,
		targets:   map[csmodel.VMID]*targetHealth{},
		remote:    map[csmodel.PoolID]remoteHealth{},
	}
}

// Track adds a target or moves it to another pool. A new incarnation starts with a clean record.
func (h *Health) Track(vm csmodel.VMID, incarnation csmodel.Incarnation, pool csmodel.PoolID) {
	t, ok := h.targets[vm]
	if !ok || t.incarnation != incarnation || t.pool != pool {
		h.targets[vm] = &targetHealth{incarnation: incarnation, pool: pool}
	}
}

// Forget removes a target.
func (h *Health) Forget(vm csmodel.VMID) { delete(h.targets, vm) }

// Remote sets the number of a pool's targets and of the quarantined ones that announce to other home nodes. Two home nodes
// may have quarantined targets at the same moment; the newest local ones are readmitted until the limit holds again.
func (h *Health) Remote(pool csmodel.PoolID, targets, quarantined int) {
	h.remote[pool] = remoteHealth{targets: targets, quarantined: quarantined}
	for h.excess(pool) > 0 {
		newest := csmodel.VMID("")
		for _, vm := range csmodel.SortedKeys(h.targets) {
			t := h.targets[vm]
			if t.pool == pool && t.quarantined && (newest == "" || t.since.After(h.targets[newest].since)) {
				newest = vm
			}
		}
		if newest == "" {
			return
		}
		h.targets[newest].readmit()
	}
}

// excess returns the number of quarantined targets above the limit of the pool.
func (h *Health) excess(pool csmodel.PoolID) int {
	targets := h.remote[pool].targets
	quarantined := h.remote[pool].quarantined
	for _, t := range h.targets {
		if t.pool != pool {
			continue
		}
		targets++
		if t.quarantined {
			quarantined++
		}
	}
	return quarantined - targets/quarantineDivisor
}

// Observe counts outcomes of attempts on a target and reports whether the target became quarantined or was readmitted.
func (h *Health) Observe(now time.Time, u TargetUse) bool {
	t, ok := h.targets[u.Target]
	count := u.Good + u.Bad
	if !ok || t.incarnation != u.Incarnation || count <= 0 {
		return false
	}
	if t.quarantined {
		return t.probed(now, u)
	}
	keep := math.Pow(1-outcomeWeight, float64(count))
	t.share = t.share*keep + float64(u.Bad)/float64(count)*(1-keep)
	t.outcomes += count
	if t.outcomes < minOutcomes || t.share <= h.threshold || h.excess(t.pool) >= 0 {
		return false
	}
	t.quarantined = true
	t.since = now
	t.delay = minProbeDelay
	t.next = now.Add(t.delay)
	return true
}

// probed handles outcomes of a quarantined target. Outcomes of attempts from before the first probe prove nothing.
func (t *targetHealth) probed(now time.Time, u TargetUse) bool {
	if !t.probing {
		return false
	}
	t.since = now
	if u.Bad > 0 {
		t.probing = false
		t.successes = 0
		t.delay = min(2*t.delay, maxProbeDelay)
		t.next = now.Add(t.delay)
		return false
	}
	t.successes += u.Good
	t.next = now
	if t.successes < probeSuccesses {
		return false
	}
	t.readmit()
	return true
}

func (t *targetHealth) readmit() {
	*t = targetHealth{incarnation: t.incarnation, pool: t.pool}
}

// Quarantined tells whether a target is quarantined.
func (h *Health) Quarantined(vm csmodel.VMID) bool {
	t, ok := h.targets[vm]
	return ok && t.quarantined
}

// Probe tells whether a probe of a quarantined target may start now and, if so, counts it as started.
func (h *Health) Probe(now time.Time, vm csmodel.VMID) bool {
	t, ok := h.targets[vm]
	if !ok || !t.quarantined || now.Before(t.next) {
		return false
	}
	t.probing = true
	t.next = now.Add(max(t.delay, SlotLease))
	return true
}

// Tick readmits quarantined targets whose probes reported nothing for a long time.
func (h *Health) Tick(now time.Time) {
	for _, t := range h.targets {
		if t.quarantined && now.Sub(t.since) > maxUnprobed {
			t.readmit()
		}
	}
}
