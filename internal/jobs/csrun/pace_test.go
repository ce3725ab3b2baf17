package csrun

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Pattern: 1,200 tasks start and end in a second, and a round of decisions takes as long as the pause between two of them.
// Guards against rounds that take the time of the group and of the calls: each commit and each call asks for one.
func TestRoundsLeaveTimeToOthers(t *testing.T) {
	cases := []struct {
		name string
		slow time.Duration
		most int // rounds in 2 s
	}{
		{"short rounds, one per 10 ms", 0, 200},
		{"rounds of 2 ms, a tenth of the time", 2 * time.Millisecond, 100},
		{"rounds of 4 ms, a tenth of the time", 4 * time.Millisecond, 50},
		{"rounds of 40 ms, a quarter of the time", 40 * time.Millisecond, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLoad(zap.NewNop())
			l.pass(time.Second)
			l.slow, l.visits = c.slow, 0
			l.pass(2 * time.Second)
			// The first round was due before, and the last one may go on after the end.
			if got, want := l.visits, c.most+2; got > want {
				t.Errorf("got %d rounds, want at most %d", got, want)
			}
			if l.visits == 0 || l.starts == 0 {
				t.Errorf("got %d rounds and %d starts, want some", l.visits, l.starts)
			}
		})
	}
}
