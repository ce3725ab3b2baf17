package csconfig

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowslipstream.example/cowslipstream/csmodel"
)

// drawConfiguration returns a configuration with few names, so that two of them overlap, in random order.
func drawConfiguration(t *rapid.T) Configuration {
	var c Configuration
	name := rapid.StringMatching("[a-f]")
	number := rapid.IntRange(0, 2)
	for _, n := range rapid.SliceOfDistinct(name, rapid.ID).Draw(t, "pools") {
		c.Pools = append(c.Pools, Pool{Name: csmodel.PoolID(n), Size: number.Draw(t, "size"),
			Zones: rapid.SliceOf(rapid.Just(csmodel.AvailabilityZone("z"))).Draw(t, "zones")})
	}
	for _, n := range rapid.SliceOfDistinct(name, rapid.ID).Draw(t, "jobs") {
		c.Jobs = append(c.Jobs, Job{Name: csmodel.JobID(n), Timeout: time.Duration(number.Draw(t, "timeout"))})
	}
	for _, n := range rapid.SliceOfDistinct(name, rapid.ID).Draw(t, "teams") {
		c.Teams = append(c.Teams, Team{Name: csmodel.TeamID(n), Rate: rapid.Float64().Draw(t, "rate")})
	}
	for _, n := range rapid.SliceOfDistinct(name, rapid.ID).Draw(t, "waves") {
		zone := time.FixedZone("test", 3600*number.Draw(t, "offset"))
		c.Waves = append(c.Waves, Wave{Name: csmodel.WaveID(n), Start: time.Unix(0, 1e18+1).In(zone)})
	}
	return c
}

// Guards against a delta that loses a change in any of its forms, and against digests that depend on order or zone.
func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, changed := drawConfiguration(t), drawConfiguration(t)
		data, err := Diff(old, changed).Encode()
		if err != nil {
			t.Fatal(err)
		}
		d, err := DecodeDelta(data)
		if err != nil {
			t.Fatal(err)
		}
		applied, err := d.Apply(old)
		if err != nil {
			t.Fatal(err)
		}
		got, errGot := applied.Digest()
		want, errWant := changed.Digest()
		if got != want || errGot != nil || errWant != nil {
			t.Fatalf("got %+v, want %+v", applied, changed)
		}
		if d := Diff(changed, applied); !d.Empty() {
			t.Fatalf("got %v between equal configurations", d.Names())
		}
		again, err := applied.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeConfiguration(again)
		if err != nil || !Diff(decoded, changed).Empty() {
			t.Fatalf("got %+v, %v, want %+v", decoded, err, changed)
		}
	})
}

// Guards against a delta that is applied to a configuration it was not made for.
func TestApplyMisfit(t *testing.T) {
	base := Configuration{Pools: []Pool{{Name: "a"}}}
	tests := []struct {
		name string
		in   Configuration
		d    Delta
	}{
		{"removes a missing pool", base, Delta{Pools: Changes[csmodel.PoolID, Pool]{Removed: []csmodel.PoolID{"b"}}}},
		{"sets twice", base, Delta{Teams: Changes[csmodel.TeamID, Team]{Set: []Team{{Name: "t"}, {Name: "t"}}}}},
		{"sets and removes", base, Delta{Pools: Changes[csmodel.PoolID, Pool]{
			Set: []Pool{{Name: "a"}}, Removed: []csmodel.PoolID{"a"}}}},
		{"base with a name twice", Configuration{Jobs: []Job{{Name: "j"}, {Name: "j"}}}, Delta{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := tt.d.Apply(tt.in); !errors.Is(err, ErrDelta) {
				t.Errorf("got %v, want %v", err, ErrDelta)
			}
		})
	}
}

// Guards against names that do not tell an operator what changed.
func TestDeltaNames(t *testing.T) {
	old := Configuration{Pools: []Pool{{Name: "a"}, {Name: "b"}}, Teams: []Team{{Name: "t"}}}
	changed := Configuration{Pools: []Pool{{Name: "a", Size: 1}}, Teams: []Team{{Name: "t"}}, Jobs: []Job{{Name: "j"}}}
	got := Diff(old, changed).Names()
	want := []string{"pool/a", "pool/b (removed)", "job/j"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
