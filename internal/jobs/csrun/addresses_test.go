package csrun

import (
	"slices"
	"testing"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: executors end and their addresses go to others, a fifth of 1,100 at once. Guards against an index that keeps an ended
// target at an address, or loses the one that has taken it over.
func TestAddressIndex(t *testing.T) {
	type change struct {
		id      csjob.TargetID
		address string
	}
	cases := []struct {
		name    string
		changes []change
		want    []csjob.TargetID // at address "x"
	}{
		{"empty", nil, nil},
		{"one target", []change{{"a", "x"}}, []csjob.TargetID{"a"}},
		{"same address again", []change{{"a", "x"}, {"a", "x"}}, []csjob.TargetID{"a"}},
		{"address passes on", []change{{"b", "x"}, {"a", "x"}}, []csjob.TargetID{"a", "b"}},
		{"earlier holder removed", []change{{"b", "x"}, {"a", "x"}, {"b", ""}}, []csjob.TargetID{"a"}},
		{"moved to another address", []change{{"a", "x"}, {"a", "y"}}, nil},
		{"removed twice", []change{{"a", "x"}, {"a", ""}, {"a", ""}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var index addressIndex
			for _, ch := range c.changes {
				index.set(ch.id, ch.address)
			}
			if got := index.at("x"); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
