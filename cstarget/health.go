package cstarget

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// HealthConfig configures the quarantine. Zero fields take defaults.
type HealthConfig struct {
	// Threshold is the failure share above which a target is quarantined.
	Threshold float64
}

// Health decides which targets are quarantined because of their outcomes.
type Health struct{}

// NewHealth returns a Health without targets.
func NewHealth(c HealthConfig) *Health { return &Health{} }

// Track adds a target or moves it to another pool. A new incarnation starts with a clean record.
func (h *Health) Track(vm csmodel.VMID, incarnation csmodel.Incarnation, pool csmodel.PoolID) {}

// Forget removes a target.
func (h *Health) Forget(vm csmodel.VMID) {}

// Remote sets the number of a pool's targets and of the quarantined ones that announce to other home nodes.
func (h *Health) Remote(pool csmodel.PoolID, targets, quarantined int) {}

// Observe counts outcomes of attempts on a target and reports whether the target became quarantined or was readmitted.
func (h *Health) Observe(now time.Time, u TargetUse) bool { return false }

// Quarantined tells whether a target is quarantined.
func (h *Health) Quarantined(vm csmodel.VMID) bool { return false }

// Probe tells whether a probe of a quarantined target may start now and, if so, counts it as started.
func (h *Health) Probe(now time.Time, vm csmodel.VMID) bool { return false }

// Tick readmits quarantined targets that received no probe for a long time.
func (h *Health) Tick(now time.Time) {}
