package cstarget

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

func newTrackedHealth(targets int) *Health {
	h := NewHealth(HealthConfig{})
	for i := range targets {
		h.Track(csmodel.VMID(fmt.Sprint("vm", i)), 1, "p")
	}
	return h
}

func outcomes(vm csmodel.VMID, good, bad int) TargetUse {
	return TargetUse{Target: vm, Incarnation: 1, Succeeded: good, Failed: bad}
}

// Guards against targets that are quarantined for single failures, and against failing targets that are not quarantined.
func TestQuarantineThreshold(t *testing.T) {
	tests := []struct {
		name      string
		good, bad int
		want      bool
	}{
		{"too few outcomes", 0, 4, false},
		{"all fail", 0, 5, true},
		{"some fail", 8, 2, false},
		{"most fail", 2, 18, true},
	}
	for _, tt := range tests {
		h := newTrackedHealth(9)
		h.Observe(start, outcomes("vm0", tt.good, tt.bad))
		if got := h.Quarantined("vm0"); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a whole pool in quarantine because a faulty job fails on every target.
func TestQuarantineLimit(t *testing.T) {
	tests := []struct{ local, remote, remoteQuarantined, want int }{
		{2, 0, 0, 0},
		{9, 0, 0, 3},
		{1, 8, 0, 1},
		{3, 6, 2, 1},
		{3, 6, 3, 0},
	}
	for _, tt := range tests {
		h := newTrackedHealth(tt.local)
		h.SetRemoteCounts("p", tt.remote, tt.remoteQuarantined)
		for i := range tt.local {
			h.Observe(start, outcomes(csmodel.VMID(fmt.Sprint("vm", i)), 0, 20))
		}
		got := 0
		for i := range tt.local {
			if h.Quarantined(csmodel.VMID(fmt.Sprint("vm", i))) {
				got++
			}
		}
		if got != tt.want {
			t.Errorf("%+v: got %d quarantined, want %d", tt, got, tt.want)
		}
	}
}

// Guards against a pool over its quarantine limit after two home nodes quarantined a target at the same moment.
func TestQuarantineExcess(t *testing.T) {
	h := newTrackedHealth(3)
	h.Observe(start, outcomes("vm0", 0, 20))
	h.SetRemoteCounts("p", 0, 1)
	if h.Quarantined("vm0") {
		t.Error("got more than a third of the pool quarantined")
	}
}

// Guards against probes before their delay has passed, a delay that does not double after a failure, and readmission after
// fewer than 3 successes.
func TestProbeBackoff(t *testing.T) {
	h := newTrackedHealth(9)
	h.Observe(start, outcomes("vm0", 0, 5))
	now := start
	for _, seconds := range []int{1, 2, 4, 8, 16, 32, 60, 60} {
		next := now.Add(time.Duration(seconds) * time.Second)
		if h.Probe(next.Add(-time.Millisecond), "vm0") {
			t.Fatalf("probed before %d s", seconds)
		}
		now = next
		if !h.Probe(now, "vm0") {
			t.Fatalf("not probed after %d s", seconds)
		}
		h.Observe(now, outcomes("vm0", 0, 1))
	}
	now = now.Add(time.Minute)
	for i := range 3 {
		if !h.Quarantined("vm0") {
			t.Fatalf("readmitted after %d successes", i)
		}
		if !h.Probe(now, "vm0") {
			t.Fatalf("no probe after %d successes", i)
		}
		h.Observe(now, outcomes("vm0", 1, 0))
	}
	if h.Quarantined("vm0") {
		t.Error("not readmitted after 3 successes")
	}
}

// Guards against a target that is readmitted by late successes of attempts from before the quarantine, a rebooted target
// that stays in quarantine, and one that stays there forever because its pool has no idempotent requests to probe it with.
func TestQuarantineEnds(t *testing.T) {
	h := newTrackedHealth(9)
	h.Observe(start, outcomes("vm0", 0, 5))
	h.Observe(start, outcomes("vm0", 5, 0))
	if !h.Quarantined("vm0") {
		t.Error("readmitted without a probe")
	}
	h.Track("vm0", 2, "p")
	if h.Quarantined("vm0") {
		t.Error("still quarantined in a new incarnation")
	}
	h.Observe(start, outcomes("vm1", 0, 5))
	h.Tick(start.Add(probeOutcomeTimeout + time.Second))
	if h.Quarantined("vm1") {
		t.Error("still quarantined without a probe outcome after probeOutcomeTimeout")
	}
}

// Guards against regular leases on a quarantined target, and against more than one probe of it at once.
func TestProbeLease(t *testing.T) {
	r := newHomeRegistry("vm0", "vm1", "vm2")
	bad := slotRequest("n2", 1, 4)
	bad.Uses = []TargetUse{outcomes("vm0", 0, 5)}
	for _, g := range r.Grantor().Request(start, bad).Targets {
		if g.Target == "vm0" {
			t.Errorf("got %d slots on a quarantined target", g.Slots)
		}
	}
	at := start.Add(minProbeDelay)
	probes := 0
	for i, node := range []csmodel.NodeID{"n2", "n3"} {
		for _, g := range r.Grantor().Request(at, slotRequest(node, uint64(i+2), 4)).Targets {
			if g.Target == "vm0" {
				probes += g.Slots
				if !g.Probe {
					t.Error("got a regular lease on a quarantined target")
				}
			}
		}
	}
	if probes != 1 {
		t.Errorf("got %d probe slots, want 1", probes)
	}
}
