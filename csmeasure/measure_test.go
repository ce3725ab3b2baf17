package csmeasure

import (
	"reflect"
	"testing"
	"time"
)

func smallProfile() Profile {
	return Profile{
		Name: "small", Nodes: 3, Zones: 3, VMs: 12, Pools: 3, Cores: 16, Caller: time.Millisecond, Budget: 0.2,
		SpareBudget: 0.6, Service: 400 * time.Millisecond, Warm: 4 * time.Second, Length: 14 * time.Second,
	}
}

// Guards against results that depend on the number of runs at once or on map order, and against a policy that exceeds a
// budget during the faults.
func TestMeasureRepeats(t *testing.T) {
	one := Measure(smallProfile(), []PolicyName{Reactive, Forecast}, 1, 1, true)
	two := Measure(smallProfile(), []PolicyName{Reactive, Forecast}, 1, 4, true)
	if !reflect.DeepEqual(one, two) {
		t.Errorf("got %v with one job and %v with four", one, two)
	}
	for _, r := range one {
		if got := r.Figures["over"].Max; got != 0 {
			t.Errorf("%s: got %g ticks over budget, want 0", r.Policy, got)
		}
	}
}

// Guards against policies and faults that change the demand, which would make their figures incomparable, and against a
// world in which nothing runs.
func TestDemandIsShared(t *testing.T) {
	p := smallProfile()
	static := Run(p, Static, 3, false)
	forecast := Run(p, Forecast, 3, true)
	if static.Requests != forecast.Requests || static.Requests == 0 {
		t.Errorf("got %g and %g requests, want the same", static.Requests, forecast.Requests)
	}
	if forecast.P50 < p.Service.Seconds()/2 || forecast.Started < 10 {
		t.Errorf("got p50 %g s and %g%% started", forecast.P50, forecast.Started)
	}
}

// Guards against a demand whose mean is not the one that its ratios promise.
func TestCycleMean(t *testing.T) {
	part := burstLength.Seconds() / cycle().Seconds()
	if got := part*peakRatio + (1-part)*calmRatio; got < 0.999 || got > 1.001 {
		t.Errorf("got mean %g, want 1", got)
	}
}

// Guards against a spread that is computed for the whole population instead of a sample.
func TestSummarise(t *testing.T) {
	got := summarise([]Result{{P50: 1}, {P50: 2}, {P50: 3}}, func(r Result) float64 { return r.P50 })
	if want := (Figure{Mean: 2, Deviation: 1, Min: 1, Max: 3}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
