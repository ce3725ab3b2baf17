package csmeasure

import (
	"math/rand/v2"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// source produces the requests of one pool.
type source struct {
	w       *world
	rng     *rand.Rand
	pool    csmodel.PoolID
	mean    float64 // requests per second
	phase   time.Duration
	burst   int           // number of the current burst
	from    time.Duration // of the current or next burst
	until   time.Duration
	highest float64 // factor of the mean in the burst
}

// demand starts the requests and the deferred tasks of all pools. Their random numbers depend on the seed only, so that
// policies and faults meet the same demand.
func (w *world) demand(seed uint64) {
	count := len(w.names) - 1
	for i, name := range w.names[:count] {
		s := &source{
			w: w, rng: rand.New(rand.NewPCG(seed, uint64(100+i))), pool: name, mean: w.profile.meanRate(i),
			phase: cycle() * time.Duration(i) / time.Duration(count),
		}
		s.plan()
		s.next()
		w.work.begin(rand.New(rand.NewPCG(seed, uint64(1000+i))), name, w.profile.taskRate(i))
	}
}

// plan chooses the next burst. The queues take turns.
func (s *source) plan() {
	start := time.Duration(s.burst)*cycle() + s.phase + time.Duration(s.rng.NormFloat64()*float64(startJitter))
	s.from = max(s.until, start)
	s.until = s.from + time.Duration(s.vary()*float64(burstLength))
	s.highest = s.vary() * peakRatio
	s.burst++
}

func (s *source) vary() float64 { return 1 + spread*(2*s.rng.Float64()-1) }

// next plans the next arrival: a Poisson process whose rate is constant until the burst starts or ends.
func (s *source) next() {
	w := s.w
	rate := calmRatio * s.mean
	change := s.from
	if w.at >= s.from {
		rate = s.highest * s.mean
		change = s.until
	}
	wait := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if w.at+wait >= change {
		w.after(change-w.at, func() {
			if w.at >= s.until {
				s.plan()
			}
			s.next()
		})
		return
	}
	w.after(wait, func() {
		w.nodes[s.rng.IntN(len(w.nodes))].arrive(s.pool)
		s.next()
	})
}
