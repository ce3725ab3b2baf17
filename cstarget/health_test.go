package cstarget

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

func newHealthOf(targets int) *Health {
	h := NewHealth(HealthConfig{})
	for i := range targets {
		h.Track(csmodel.VMID(fmt.Sprint("vm", i)), 1, "p")
	}
	return h
}

func use(vm csmodel.VMID, good, bad int) TargetUse {
	return TargetUse{Target: vm, Incarnation: 1, Good: good, Bad: bad}
}

// Guards against targets that are quarantined for single failures, and failing ones that are not.
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
		h := newHealthOf(9)
		h.Observe(start, use("vm0", tt.good, tt.bad))
		if got := h.Quarantined("vm0"); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a faulty job that quarantines a whole pool.
func TestQuarantineLimit(t *testing.T) {
	tests := []struct{ local, remote, remoteQuarantined, want int }{
		{2, 0, 0, 0},
		{9, 0, 0, 3},
		{1, 8, 0, 1},
		{3, 6, 2, 1},
		{3, 6, 3, 0},
	}
	for _, tt := range tests {
		h := newHealthOf(tt.local)
		h.Remote("p", tt.remote, tt.remoteQuarantined)
		for i := range tt.local {
			h.Observe(start, use(csmodel.VMID(fmt.Sprint("vm", i)), 0, 20))
		}
		got := 0
		for i := range tt.local {
			if h.Quarantined(csmodel.VMID(fmt.Sprint("vm", i))) {
				got++
			}
		}
		if got != tt.want {
			t.Errorf("%+v: got %d quarantined", tt, got)
		}
	}
}

// Guards against two home nodes that exceed the limit because both quarantined a target at the same moment.
func TestQuarantineExcess(t *testing.T) {
	h := newHealthOf(3)
	h.Observe(start, use("vm0", 0, 20))
	h.Remote("p", 0, 1)
	if h.Quarantined("vm0") {
		t.Error("got more than a third quarantined")
	}
}

// Guards against probes that come too often, a delay that does not double, and readmission after fewer than 3 successes.
func TestProbes(t *testing.T) {
	h := newHealthOf(9)
	h.Observe(start, use("vm0", 0, 5))
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
		h.Observe(now, use("vm0", 0, 1))
	}
	now = now.Add(time.Minute)
	for i := range 3 {
		if !h.Quarantined("vm0") {
			t.Fatalf("readmitted after %d successes", i)
		}
		if !h.Probe(now, "vm0") {
			t.Fatalf("no probe after %d successes", i)
		}
		h.Observe(now, use("vm0", 1, 0))
	}
	if h.Quarantined("vm0") {
		t.Error("not readmitted after 3 successes")
	}
}

// Guards against late successes from before the quarantine that readmit a target, a rebooted target that stays in
// quarantine, and a target that no idempotent request can ever probe.
func TestQuarantineEnds(t *testing.T) {
	h := newHealthOf(9)
	h.Observe(start, use("vm0", 0, 5))
	h.Observe(start, use("vm0", 5, 0))
	if !h.Quarantined("vm0") {
		t.Error("readmitted without a probe")
	}
	h.Track("vm0", 2, "p")
	if h.Quarantined("vm0") {
		t.Error("quarantined in a new incarnation")
	}
	h.Observe(start, use("vm1", 0, 5))
	h.Tick(start.Add(maxUnprobed + time.Second))
	if h.Quarantined("vm1") {
		t.Error("quarantined without probes for a long time")
	}
}

// Guards against normal slots on a quarantined target, and more than one probe at once.
func TestProbeLease(t *testing.T) {
	r := newHome("vm0", "vm1", "vm2")
	bad := demand("n2", 1, 4)
	bad.Uses = []TargetUse{use("vm0", 0, 5)}
	for _, g := range r.Grantor().Request(start, bad).Targets {
		if g.Target == "vm0" {
			t.Errorf("got %d slots on a quarantined target", g.Slots)
		}
	}
	at := start.Add(minProbeDelay)
	probes := 0
	for i, node := range []csmodel.NodeID{"n2", "n3"} {
		for _, g := range r.Grantor().Request(at, demand(node, uint64(i+2), 4)).Targets {
			if g.Target == "vm0" {
				probes += g.Slots
				if !g.Probe {
					t.Error("got a normal lease")
				}
			}
		}
	}
	if probes != 1 {
		t.Errorf("got %d probe slots, want 1", probes)
	}
}
