package csplan

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// declaredTimes is an Estimator that believes what is declared, and perfectTimes one that knows the typical run time.
type (
	declaredTimes struct{}
	perfectTimes  struct{}
)

func (declaredTimes) Delays() Delays { return DefaultDelays }

func (declaredTimes) Duration(_ csjob.QueueKey, s csjob.Step) time.Duration { return s.Estimate }

func (perfectTimes) Delays() Delays { return DefaultDelays }

func (perfectTimes) Duration(_ csjob.QueueKey, s csjob.Step) time.Duration { return typical(&s) }

func newLearners() []learner {
	nothing := func(csjob.Step, time.Duration) {}
	var regression RunTimeEstimator
	var runTimes, withCopies csjob.RunTimes
	learned, copying := &LearnedEstimator{}, &LearnedEstimator{}
	learned.Use(&runTimes)
	copying.Use(&withCopies)
	observe := func(r *csjob.RunTimes, stopped bool) func(csjob.Step, time.Duration) {
		return func(s csjob.Step, d time.Duration) { r.Observe(testQueue.Key, &s, d, stopped) }
	}
	return []learner{
		{"declared", declaredTimes{}, nothing, nil},
		{"regression", &regression, func(s csjob.Step, d time.Duration) { regression.Observe(testQueue.Key, s, d) }, nil},
		{"learned", learned, observe(&runTimes, false), nil},
		{"learned, copies", copying, observe(&withCopies, false), observe(&withCopies, true)},
		{"perfect", perfectTimes{}, nothing, nil},
	}
}

var learnLoads = []learnLoad{
	{name: "declared times off by e^0.9", declaredError: 0.9, images: 0.5, gain: 0.01},
	{name: "3 in 100 seven times as long", declaredError: 0.2, images: 0.5, tail: true},
	{name: "drift to twice the length", declaredError: 0.2, images: 0.5, drift: true, gain: 0.003},
	{name: "declared times off by e^0.9, images alike", declaredError: 0.9, gain: 0.01},
	{name: "even", declaredError: 0.1},
}

// Pattern: a pool is busy by turns, and declared run times are wrong, or some tasks run much longer, or all tasks take twice as long from
// one moment on. Guards against learned run times that serve jobs worse than declared ones or than a regression does.
func TestLearnedRunTimesServeJobsBetter(t *testing.T) {
	const seeds = 20
	// chance is what twenty seeds differed by on the same load when predictions were made at other moments, which changes the order of work.
	const chance = 0.01
	for _, load := range learnLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			got := map[string]result{}
			for seed := range uint64(seeds) {
				for _, l := range newLearners() {
					sim := learnSim{learnLoad: load, learner: l}
					one, sum := sim.run(seed), got[l.name]
					got[l.name] = result{sum.onTime + one.onTime/seeds, sum.lateness + one.lateness/seeds, sum.err + one.err/seeds, sum.copies + one.copies}
				}
			}
			for _, l := range newLearners() {
				r := got[l.name]
				t.Logf("| %s | %.3f | %d ms | %.2f | %d |", l.name, r.onTime, r.lateness.Milliseconds(), r.err, r.copies/seeds)
			}
			for _, other := range []string{"declared", "regression"} {
				if got, want := got["learned"].onTime, got[other].onTime-chance; got < want {
					t.Errorf("got %.3f of the jobs on time with learned run times, want at least %.3f, as with the %s ones", got, want, other)
				}
				if got, want := got["learned"].lateness, time.Duration(1.03*float64(got[other].lateness)); got > want {
					t.Errorf("got a mean lateness of %s with learned run times, want at most %s, as with the %s ones", got, want, other)
				}
			}
			if got, want := got["learned"].err, got["regression"].err+0.01; got > want {
				t.Errorf("got predictions off by %.2f, want at most %.2f, as those of the regression", got, want)
			}
			if load.tail {
				if got, want := got["learned, copies"].lateness, got["learned"].lateness*9/10; got > want {
					t.Errorf("got a mean lateness of %s with copies, want at most %s, a tenth less than without", got, want)
				}
			}
			if load.gain > 0 {
				if got, want := got["learned"].onTime, got["declared"].onTime+load.gain; got < want {
					t.Errorf("got %.3f of the jobs on time with learned run times, want %.3f, more than with declared ones", got, want)
				}
			}
		})
	}
}

// BenchmarkPredict measures a prediction for steps that declare the same run times, and for steps that each declare another one. In the
// second case every sixteenth run that ends makes all predictions outdated.
func BenchmarkPredict(b *testing.B) {
	for _, steps := range []int{20, 1000} {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			var runTimes csjob.RunTimes
			var l LearnedEstimator
			l.Use(&runTimes)
			list := make([]csjob.Step, steps)
			for i := range list {
				list[i] = csjob.Step{Image: fmt.Sprint(i % 20), Estimate: time.Duration(500+i) * time.Millisecond}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%500 == 0 { // a round
					runTimes.Observe(testQueue.Key, &list[n/500%steps], time.Second, false)
				}
				l.Duration(testQueue.Key, list[n%steps])
			}
		})
	}
}
