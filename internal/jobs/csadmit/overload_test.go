package csadmit

import (
	"fmt"
	"testing"
	"time"
)

// outcome counts what became of jobs.
type outcome struct {
	jobs, onTime, late, inVain, refused, untold int
	value                                       float64       // of a job: 1 on time, falling to 0 at three times its objective
	told                                        time.Duration // sum over refused clients, from the first attempt
}

func (o *outcome) add(p outcome) {
	o.jobs, o.onTime, o.late, o.inVain = o.jobs+p.jobs, o.onTime+p.onTime, o.late+p.late, o.inVain+p.inVain
	o.refused, o.untold, o.value, o.told = o.refused+p.refused, o.untold+p.untold, o.value+p.value, o.told+p.told
}

func (o *outcome) share(n int) float64 { return float64(n) / float64(max(1, o.jobs)) }

// served is the share of the jobs that ended while they had value.
func (o *outcome) served() float64 { return o.share(o.onTime + o.late) }

// String returns a row of the table in docs/design/overload.md.
func (o *outcome) String() string {
	told := o.told / time.Duration(max(1, o.refused))
	return fmt.Sprintf("%d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %s", o.jobs, o.share(o.onTime), o.share(o.late), o.share(o.inVain),
		o.share(o.refused), o.share(o.untold), o.value/float64(max(1, o.jobs)), told.Round(time.Millisecond))
}

// outcomeOf returns what became of a client's job. A job is late until three times its objective.
func outcomeOf(c *client) outcome {
	o := outcome{jobs: 1}
	objective := 600*time.Millisecond + time.Duration(1.6*float64(c.longest[0]+c.longest[1]))
	took := c.ended - c.first + 60*time.Millisecond // until the client asks
	switch {
	case c.accepted == nil && c.refused > 0:
		o.refused, o.told = 1, c.refused-c.first
	case c.accepted == nil:
		o.untold = 1
	case c.ended > 0 && took <= objective:
		o.onTime, o.value = 1, 1
	case c.ended > 0 && took <= 3*objective:
		o.late, o.value = 1, 1-float64(took-objective)/float64(2*objective)
	default:
		o.inVain = 1
	}
	return o
}

func steady(rates ...float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, queue int) float64 { return rates[queue] }
}

// burst is the rate of a queue that sends more for some seconds, beside one that sends at the same rate all the time.
func burst(rate, other float64, from, to time.Duration) func(time.Duration, int) float64 {
	return func(at time.Duration, queue int) float64 {
		if queue == 1 || !within(at, [2]time.Duration{from, to}) {
			return other
		}
		return rate
	}
}

var shortPaths = [2]time.Duration{500 * time.Millisecond, 500 * time.Millisecond}

var simLoads = []load{
	{name: "frozen", gain: 0.015, rate: burst(2, 0.1, 0, 5*time.Second), paths: shortPaths, frozen: [2]time.Duration{time.Second, 5 * time.Second}},
	{name: "cut", gain: 0.005, rate: steady(0.4, 0.4), paths: shortPaths, cut: [2]time.Duration{2 * time.Second, 6 * time.Second}},
	{name: "sizes", gain: 0.05, rate: burst(2.5, 0.1, time.Second, 5*time.Second), paths: shortPaths},
	{name: "held", refuses: true, gain: 0, rate: burst(30, 0.2, 0, 2*time.Second), paths: [2]time.Duration{30 * time.Second, 500 * time.Millisecond}},
}

const simSeeds = 20

// simResult is the sum over simSeeds runs.
type simResult struct {
	total   outcome
	bySize  [len(simSizes)]outcome
	byQueue [2]outcome
	doubted outcome // of the jobs that admission would refuse
}

func simulate(l load, newOrder, admission bool) simResult {
	var r simResult
	for seed := range uint64(simSeeds) {
		sim := newSimulator(l, seed, newOrder, admission)
		sim.run()
		for _, c := range sim.clients {
			if c.first > simDuration-6*time.Second || l.paths[c.queue] > 6*time.Second {
				continue // could not end within the simulation
			}
			o := outcomeOf(c)
			r.total.add(o)
			r.bySize[c.size].add(o)
			r.byQueue[c.queue].add(o)
			if c.doubted {
				r.doubted.add(o)
			}
		}
	}
	return r
}

// Pattern: one queue's burst of twice what its pool holds while the leader is frozen for 4 s; a healed cut of half the targets; jobs of
// several sizes at 2.5 times the capacity; a pool that the long tasks of one queue hold. Guards against an order of work in which late jobs
// end in vain, large jobs are served less than half as often as all, or a queue is left behind, and against refusals of jobs that would
// have been served.
func TestOverloadForCallers(t *testing.T) {
	for _, l := range simLoads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before, after := simulate(l, false, false), simulate(l, true, false)
			refusing := after
			if after.doubted.jobs > 0 {
				refusing = simulate(l, true, true)
			}
			if got := refusing.total.refused > 0; got != l.refuses {
				t.Errorf("got refusals: %t, want %t", got, l.refuses)
			}
			for i, name := range []string{"small", "medium", "large"} {
				t.Logf("| %s | %s | earlier order | %s |", l.name, name, before.bySize[i].String())
				t.Logf("| %s | %s | order of late jobs | %s |", l.name, name, after.bySize[i].String())
				t.Logf("| %s | %s | and admission | %s |", l.name, name, refusing.bySize[i].String())
				if got, want := refusing.bySize[i].served(), refusing.total.served()/2; got < want {
					t.Errorf("got %.3f of the %s jobs served, want at least %.3f, half of all", got, name, want)
				}
			}
			for i := range refusing.byQueue {
				o := &refusing.byQueue[i]
				t.Logf("queue %d: %s", i, o.String())
				if got, want := o.served(), refusing.total.served()/2; o.jobs > 0 && got < want {
					t.Errorf("got %.3f of the jobs of queue %d served, want at least %.3f, half of all", got, i, want)
				}
			}
			t.Logf("would be refused: %s", after.doubted.String())
			if gained := after.total.served() - before.total.served(); gained < l.gain {
				t.Errorf("got %.3f of the jobs served more than with the earlier order, want at least %.3f", gained, l.gain)
			}
			t.Logf("%s: served %.4f, earlier %.4f, value %.1f, earlier %.1f", l.name, after.total.served(), before.total.served(), after.total.value, before.total.value)
			if got, want := after.total.share(after.total.onTime), before.total.share(before.total.onTime); got < want-0.005 {
				t.Errorf("got %.3f of the jobs on time, want no less than the %.3f of the earlier order", got, want)
			}
			if got := after.doubted.served(); got > 0 {
				t.Errorf("got %.3f of the jobs served that admission refuses, want none", got)
			}
		})
	}
}
