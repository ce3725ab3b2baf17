package csrun

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Pattern: 1,200 tasks start and end per second, and a round of decisions takes as long as the interval between rounds. Guards
// against rounds that take the processor time that commits and calls need: each commit and each call requests a round.
func TestRoundsAreRateLimited(t *testing.T) {
	cases := []struct {
		name string
		slow time.Duration
		most int // rounds in 2 s
	}{
		{"short rounds, one per 10 ms", 0, 200},
		{"rounds of 4 ms, a quarter of the time", 4 * time.Millisecond, 125},
		{"rounds of 40 ms, a pause of 100 ms", 40 * time.Millisecond, 14},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newSimulation(zap.NewNop())
			l.advance(time.Second)
			l.roundTime, l.fleetRounds = c.slow, 0
			l.advance(2 * time.Second)
			// One round may have been due before the measurement, and the last one may end after it.
			if got, want := l.fleetRounds, c.most+2; got > want {
				t.Errorf("got %d rounds, want at most %d", got, want)
			}
			if l.fleetRounds == 0 || l.starts == 0 {
				t.Errorf("got %d rounds and %d starts, want at least one of each", l.fleetRounds, l.starts)
			}
		})
	}
}

// Pattern: the process is suspended for a second in the middle of a round. Guards against a pause as long as the leases of
// targets, during which no lease would be extended.
func TestPauseAfterInterruptedRoundIsBounded(t *testing.T) {
	l := newSimulation(zap.NewNop())
	l.advance(100 * time.Millisecond)
	l.r.roundEnded(l.now.Add(-time.Second), l.now)
	if got, want := l.r.earliestRound.Sub(l.now), 100*time.Millisecond; got > want {
		t.Errorf("got a pause of %v after a round of 1 s, want at most %v", got, want)
	}
}
