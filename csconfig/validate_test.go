package csconfig_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csyaml"
)

func paths(err error) []string {
	var got []string
	for _, f := range csyaml.List(err) {
		got = append(got, f.Path)
		if f.Reason == "" || f.Fix == "" || f.Kind == "" {
			got = append(got, "incomplete fault")
		}
	}
	slices.Sort(got)
	return slices.Compact(got)
}

// Guards against validation that stops at the first fault, or accepts a configuration that no node can follow. The
// faults of files are in the tests of the check command.
func TestValidateReportsAll(t *testing.T) {
	c := csconfig.Configuration{
		Pools: []csconfig.Pool{
			{Name: "Web!", Region: "north", Size: 3, Budget: 4},
			{Region: "", Size: 1_000_000, Budget: -1, Zones: []csmodel.AvailabilityZone{"a", "a"}},
		},
		Jobs: []csconfig.Job{
			{Name: "quote", Class: csconfig.Urgent, Timeout: -time.Second, CPU: -1, Memory: -1},
			{Name: "survey", Pool: "web", Runtime: 10_000 * time.Hour},
		},
		Teams: []csconfig.Team{{Name: "lab", Share: 1, Rate: math.NaN(), Burst: -1, Tasks: -1}, {Name: "desk", Share: 1, Rate: 5}},
		Waves: []csconfig.Wave{{Name: "kernel", Losses: -1, Period: -time.Hour}},
	}
	want := []string{
		"jobs[0].cpu", "jobs[0].memory", "jobs[0].pool", "jobs[0].timeout", "jobs[1].class", "jobs[1].pool",
		"jobs[1].runtime", "pools[0].budget", "pools[0].name", "pools[1].budget", "pools[1].name", "pools[1].region",
		"pools[1].size", "pools[1].zones[1]", "teams[0].burst", "teams[0].rate", "teams[0].tasks", "teams[1].burst",
		"waves[0].losses", "waves[0].parallel", "waves[0].period", "waves[0].pools", "waves[0].start",
	}
	if got := paths(c.Validate()); !slices.Equal(got, want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
	if _, err := csconfig.Print(c); err == nil {
		t.Error("printed an invalid configuration")
	}
}

// Guards against a valid region without a spare pool that is refused, and against pools placed where there is no zone.
func TestValidateFor(t *testing.T) {
	topology := csconfig.Topology{"north": csmodel.NewSet[csmodel.AvailabilityZone]("a", "b")}
	tests := []struct {
		pool csconfig.Pool
		want []string
	}{
		{csconfig.Pool{Name: "web", Region: "north", Size: 1, Budget: 1}, nil},
		{csconfig.Pool{Name: "web", Region: "north", Size: 1, Zones: []csmodel.AvailabilityZone{"b"}}, nil},
		{csconfig.Pool{Name: "web", Region: "south", Size: 1}, []string{"pools[0].region"}},
		{csconfig.Pool{Name: "web", Region: "north", Zones: []csmodel.AvailabilityZone{"b", "c"}}, []string{"pools[0].zones[1]"}},
	}
	for _, tt := range tests {
		c := csconfig.New().Pool(tt.pool).Configuration
		if got := paths(c.ValidateFor(topology)); !slices.Equal(got, tt.want) {
			t.Errorf("%+v: got %v, want %v", tt.pool, got, tt.want)
		}
	}
}
