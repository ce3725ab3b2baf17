package csplan

import (
	"testing"
	"time"
)

// Pattern: thousands of small tasks fit into the free resources of a target. Guards against tasks that wait for the turn of their starts
// there while other targets are idle, and are lost with the target before they have begun.
func TestUnconfirmedStartsAreLimited(t *testing.T) {
	now := time.Now()
	gang := step(10, 10, 1)
	gang.Gang = true
	small := step(10, 10, 1)
	cases := []struct {
		name     string
		starting int
		want     int
		gang     bool
	}{
		{"none", 0, 10, false},
		{"a few less than the limit", MaxStarting - 4, 4, false},
		{"the limit", MaxStarting, 0, false},
		{"a gang", MaxStarting, 10, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := slot("a", 32_000, 1<<20)
			s.Starting = c.starting
			j := job("small", now, small)
			if c.gang {
				j = job("gang", now, gang)
			}
			if got := len(plan(now, []*Slot{s}, j)); got != c.want {
				t.Errorf("got %d tasks placed, want %d", got, c.want)
			}
		})
	}
}
