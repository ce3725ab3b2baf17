package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Pattern: a pool of few large jobs of several steps, whose arrivals within a second swing between none and twice what it
// can run. Guards against VMs that come for each swing and are idle until the later steps start.
func TestNeedGrowsOverTheSpanOfJobs(t *testing.T) {
	const after = 2500 * time.Millisecond
	cases := []struct {
		name   string
		demand PoolDemand
		want   csmodel.MilliCPU
	}{
		{"short jobs arrive", PoolDemand{Offered: 2000, Span: time.Second}, 2000},
		{"span not known", PoolDemand{Offered: 2000}, 2000},
		{"long jobs begin to arrive", PoolDemand{Offered: 2000, Span: 5 * time.Second}, 1000},
		{"long jobs run", PoolDemand{Running: 1600, Waiting: 200, Offered: 4000, Span: 5 * time.Second}, 2900},
		{"no more arrive", PoolDemand{Running: 1600, Waiting: 200, Span: 5 * time.Second}, 1800},
		{"tasks that last", PoolDemand{Lasting: 300, Offered: 2000, Span: 5 * time.Second}, 1300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.demand.Need(after); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against a span that is forgotten between two busy phases, so that the next one counts as one of short jobs.
func TestSpanIsKeptWhileNothingArrives(t *testing.T) {
	o := offered{arrivals: []Arrival{
		{Pool: "long", Work: 3000, Span: 6 * time.Second},
		{Pool: "long", Work: 1000, Span: 2 * time.Second},
		{Pool: "short", Work: 10, Span: time.Second},
	}}
	o.measureSpans()
	o.arrivals = nil
	o.measureSpans()
	for _, c := range []struct {
		pool csmodel.PoolID
		want time.Duration
	}{{"long", 5 * time.Second}, {"short", time.Second}, {"other", 0}} {
		if got := o.spans[c.pool]; got != c.want {
			t.Errorf("got a span of %s for pool %s, want %s", got, c.pool, c.want)
		}
	}
}
