package cstarget

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	outcomeWeight          = 0.2 // weight of the newest outcome in the failure rate
	minOutcomes            = 5   // outcomes required before a target may be quarantined
	requiredProbeSuccesses = 3   // successes of probes that readmit a target
	quarantineDivisor      = 3   // at most 1/3 of the targets of a pool are quarantined
	minProbeDelay          = time.Second
	maxProbeDelay          = time.Minute
	// probeOutcomeTimeout is the time without an outcome of a probe after which a quarantined target is readmitted. A pool
	// with only jobs that are not idempotent, for example, has no request that can be a probe.
	probeOutcomeTimeout   = 5 * time.Minute
	defaultMaxFailureRate = 0.5
)

// HealthConfig configures the quarantine. Zero fields take their defaults.
type HealthConfig struct {
	// MaxFailureRate is the failure rate, from 0 to 1, above which a target is quarantined. The default is 0.5.
	MaxFailureRate float64
}

// targetHealth is the outcome history of one target in its incarnation and pool.
type targetHealth struct {
	incarnation    csmodel.Incarnation
	pool           csmodel.PoolID
	failureRate    float64 // exponentially weighted moving average, from 0 to 1
	outcomes       int
	quarantined    bool
	lastOutcome    time.Time // the one that led to the quarantine, or the last of a probe
	nextProbe      time.Time // earliest time of the next probe
	probeDelay     time.Duration
	probing        bool
	probeSuccesses int
}

// remoteCounts counts the targets of a pool on other home nodes.
type remoteCounts struct{ targets, quarantined int }

// Health decides from the outcomes of attempts which targets are quarantined.
type Health struct {
	maxFailureRate float64
	targets        map[csmodel.VMID]*targetHealth
	remote         map[csmodel.PoolID]remoteCounts
}

// NewHealth returns a Health that tracks no targets.
func NewHealth(c HealthConfig) *Health {
	if c.MaxFailureRate == 0 {
		c.MaxFailureRate = defaultMaxFailureRate
	}
	return &Health{
		maxFailureRate: c.MaxFailureRate,
		targets:        map[csmodel.VMID]*targetHealth{},
		remote:         map[csmodel.PoolID]remoteCounts{},
	}
}

// Track adds a target. A new incarnation or pool of a known target clears its history.
func (h *Health) Track(vm csmodel.VMID, incarnation csmodel.Incarnation, pool csmodel.PoolID) {
	t, ok := h.targets[vm]
	if !ok || t.incarnation != incarnation || t.pool != pool {
		h.targets[vm] = &targetHealth{incarnation: incarnation, pool: pool}
	}
}

// Forget removes a target and its history.
func (h *Health) Forget(vm csmodel.VMID) { delete(h.targets, vm) }

// SetRemoteCounts sets how many targets of a pool announce to other home nodes and how many of these are quarantined. Two home
// nodes may quarantine targets at the same moment and exceed the limit together, so the local targets with the latest outcome
// are readmitted until it holds again.
func (h *Health) SetRemoteCounts(pool csmodel.PoolID, targets, quarantined int) {
	h.remote[pool] = remoteCounts{targets: targets, quarantined: quarantined}
	for h.quarantineExcess(pool) > 0 {
		newest := csmodel.VMID("")
		for _, vm := range csmodel.SortedKeys(h.targets) {
			t := h.targets[vm]
			if t.pool == pool && t.quarantined && (newest == "" || t.lastOutcome.After(h.targets[newest].lastOutcome)) {
				newest = vm
			}
		}
		if newest == "" {
			return
		}
		h.targets[newest].readmit()
	}
}

// quarantineExcess returns by how much the quarantined targets of a pool exceed the limit. It is negative below the limit.
func (h *Health) quarantineExcess(pool csmodel.PoolID) int {
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

// Observe adds outcomes of attempts on a target and reports whether the target was quarantined or readmitted by them.
func (h *Health) Observe(now time.Time, u TargetUse) bool {
	t, ok := h.targets[u.Target]
	count := u.Succeeded + u.Failed
	if !ok || t.incarnation != u.Incarnation || count <= 0 {
		return false
	}
	if t.quarantined {
		return t.observeProbe(now, u)
	}
	decay := math.Pow(1-outcomeWeight, float64(count))
	t.failureRate = t.failureRate*decay + float64(u.Failed)/float64(count)*(1-decay)
	t.outcomes += count
	if t.outcomes < minOutcomes || t.failureRate <= h.maxFailureRate || h.quarantineExcess(t.pool) >= 0 {
		return false
	}
	t.quarantined = true
	t.lastOutcome = now
	t.probeDelay = minProbeDelay
	t.nextProbe = now.Add(t.probeDelay)
	return true
}

// observeProbe adds outcomes of a quarantined target and reports whether it was readmitted. Outcomes that arrive
// before a probe has started belong to earlier attempts and prove nothing, so they are ignored.
func (t *targetHealth) observeProbe(now time.Time, u TargetUse) bool {
	if !t.probing {
		return false
	}
	t.lastOutcome = now
	if u.Failed > 0 {
		t.probing = false
		t.probeSuccesses = 0
		t.probeDelay = min(2*t.probeDelay, maxProbeDelay)
		t.nextProbe = now.Add(t.probeDelay)
		return false
	}
	t.probeSuccesses += u.Succeeded
	t.nextProbe = now
	if t.probeSuccesses < requiredProbeSuccesses {
		return false
	}
	t.readmit()
	return true
}

func (t *targetHealth) readmit() {
	*t = targetHealth{incarnation: t.incarnation, pool: t.pool}
}

// Quarantined reports whether a target is quarantined.
func (h *Health) Quarantined(vm csmodel.VMID) bool {
	t, ok := h.targets[vm]
	return ok && t.quarantined
}

// Probe reports whether a probe of a quarantined target may start now. If so, the probe counts as started.
func (h *Health) Probe(now time.Time, vm csmodel.VMID) bool {
	t, ok := h.targets[vm]
	if !ok || !t.quarantined || now.Before(t.nextProbe) {
		return false
	}
	t.probing = true
	t.nextProbe = now.Add(max(t.probeDelay, SlotLease))
	return true
}

// Tick readmits quarantined targets without an outcome of a probe for probeOutcomeTimeout.
func (h *Health) Tick(now time.Time) {
	for _, t := range h.targets {
		if t.quarantined && now.Sub(t.lastOutcome) > probeOutcomeTimeout {
			t.readmit()
		}
	}
}
