package csnode

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Guards against a target that changed its home node being seen through the stale report of the earlier one.
func TestObserverPrefersLatestHome(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name       string
		first      observedVM
		second     observedVM
		secondFull bool
		want       csmodel.NodeID
	}{
		{"later report of the same incarnation", observedVM{VM: "v", Incarnation: 1}, observedVM{VM: "v", Incarnation: 1}, true, "b"},
		{"older incarnation reported later", observedVM{VM: "v", Incarnation: 2}, observedVM{VM: "v", Incarnation: 1}, true, "a"},
		{"newer incarnation", observedVM{VM: "v", Incarnation: 1}, observedVM{VM: "v", Incarnation: 3}, false, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := newObserver()
			o.report(start, "a", reportMessage{Full: true, VMs: []observedVM{tt.first}})
			o.report(start.Add(time.Second), "b", reportMessage{Full: tt.secondFull, VMs: []observedVM{tt.second}})
			got, ok := o.home("v")
			if !ok || got.node != tt.want {
				t.Errorf("got home %q (%v), want %q", got.node, ok, tt.want)
			}
		})
	}
}

// Guards against VMs that stay in the observations after their home node reported them gone, and against a zone that
// stays reachable although its home nodes are silent.
func TestObserverForgets(t *testing.T) {
	start := time.Unix(1000, 0)
	zones := map[csmodel.NodeID]csmodel.AvailabilityZone{"a": "z1", "b": "z2"}
	o := newObserver()
	o.report(start, "a", reportMessage{Full: true, VMs: []observedVM{{VM: "v"}, {VM: "w"}}})
	o.report(start.Add(homeSilence), "b", reportMessage{Full: true})
	o.report(start, "a", reportMessage{Gone: []csmodel.VMID{"v"}})
	if _, ok := o.home("v"); ok {
		t.Error("got a home for v, want none")
	}
	if got := len(o.observations()); got != 1 {
		t.Errorf("got %d observations, want 1", got)
	}
	for _, zone := range o.zones(start.Add(homeSilence), zones) {
		if want := zone.Name == "z2"; zone.Reachable != want {
			t.Errorf("zone %s: got reachable %v, want %v", zone.Name, zone.Reachable, want)
		}
	}
	o.forget(start.Add(forgetHome+time.Second), forgetHome)
	if _, ok := o.home("w"); ok {
		t.Error("got a home for w after its home node was silent for long, want none")
	}
}
