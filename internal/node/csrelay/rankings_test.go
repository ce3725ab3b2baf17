package csrelay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: stores join, rest and are lost while calls to 300 targets go on. Guards against a remembered order of stores that no
// longer holds.
func TestRememberedRankingsFollowTheStores(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCaller(Options{Self: "store/0", Zone: "a", Clock: clock, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry())})
	zones := []csmodel.AvailabilityZone{"a", "b", "c"}
	check := func(when string) {
		t.Helper()
		c.mu.Lock()
		defer c.mu.Unlock()
		for n := range 300 {
			target := csjob.Target{Incarnation: csjob.Incarnation{Target: csjob.TargetID(fmt.Sprint("t", n))}, Zone: zones[n%3]}
			for range 2 {
				if got, want := c.ranked(clock.Now(), target), rank(c.members(clock.Now()), target); !slices.Equal(got, want) {
					t.Fatalf("%s: got %v for %s, want %v", when, got, target.Incarnation.Target, want)
				}
			}
		}
	}
	check("alone")
	for n := range 6 {
		c.reported(csmodel.NodeID(fmt.Sprint("store/", n+1)), report{Zone: zones[n%3]})
		check("store joined")
	}
	c.rest("store/2", outcomeFull)
	check("store rests")
	clock.Advance(restFor + time.Millisecond)
	check("store takes part again")
	c.lose("store/3", "test")
	check("store lost")
}

// Guards against rankings that grow with each incarnation of a target.
func TestRankingsAreBounded(t *testing.T) {
	c := newCaller(Options{Self: "store/0", Zone: "a", Clock: clockwork.NewFakeClock(), Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry())})
	for n := range 3 * maxRankings {
		c.best(csjob.Target{Incarnation: csjob.Incarnation{Target: csjob.TargetID(fmt.Sprint(n))}})
	}
	if got, want := len(c.rankings.ranked), maxRankings; got > want {
		t.Errorf("got %d remembered targets, want at most %d", got, want)
	}
}
