package csvms

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Detection of busy phases from the work that arrives, relative to the largest that a pool has seen.
const (
	busyFrom = 0.35
	// leastPhase is the part of its VMs that the work of a pool's first phase is expected to keep busy at least. Less is
	// the trickle between two phases.
	leastPhase = 0.7
	// firstPhase is the work that a pool's first phase is expected to bring, relative to the VMs that it was given: a phase
	// asks for more than the pool holds.
	firstPhase = 1.5
	// rampFor is how long after its start a phase is expected to bring what earlier ones did; then what arrives tells.
	rampFor = 2500 * time.Millisecond
	busyTo  = 0.2
	// quietFor is how long little work has to arrive before a phase is over: the time over which arrivals are averaged.
	quietFor = time.Second
	// forgetPeak halves the largest work seen every minute, so that a single burst does not hide later phases.
	forgetPeak = time.Minute
	// phaseWeight is the weight of the newest phase in the mean work of a phase.
	phaseWeight = 0.5
	// shortestCycle keeps one ragged phase from being taken for two.
	shortestCycle = 4 * time.Second
	// keptStarts is the number of phases of a pool that are remembered.
	keptStarts = 4
	// prepareFor is how long before a phase is noticed its VMs should be there: half a second until enough work has
	// arrived to tell, and the time of a round.
	prepareFor = 700 * time.Millisecond
	// waitFor is how long after the expected start the VMs are kept.
	waitFor = 1500 * time.Millisecond
)

// Forecast learns the busy phases of pools. Many queues are busy by turns, each for some seconds at about the same
// interval. The zero value works.
type Forecast struct {
	pools map[csmodel.PoolID]*season
}

// season is what is known of the phases of one pool.
type season struct {
	given   float64 // CPU of the VMs that the pool was given
	peak    float64 // largest work seen, decaying
	at      time.Time
	busy    bool
	low     time.Time // since when little work arrives in a busy phase
	starts  []time.Time
	sum     float64 // of the work in this phase
	samples int
	mean    float64 // work in a phase
}

// Observe takes in the work that arrives at a pool now. given is the CPU of the VMs that it had at first.
func (f *Forecast) Observe(now time.Time, pool csmodel.PoolID, work, given csmodel.MilliCPU) {
	if f.pools == nil {
		f.pools = map[csmodel.PoolID]*season{}
	}
	s := f.pools[pool]
	if s == nil {
		s = &season{at: now}
		f.pools[pool] = s
	}
	s.peak *= 1 - 0.5*min(1, now.Sub(s.at).Seconds()/forgetPeak.Seconds())
	s.at = now
	s.given = float64(given)
	level := float64(work)
	s.peak = max(s.peak, level)
	reference := max(s.peak, leastPhase*s.given)
	switch {
	case !s.busy && level > 0 && level >= busyFrom*reference:
		s.begin(now)
	case s.busy && s.samples > 0 && s.sum/float64(s.samples) < busyTo*level:
		// What looked like a phase was the quiet time before the first real one.
		s.starts = s.starts[:max(0, len(s.starts)-1)]
		s.begin(now)
	case s.busy && level >= busyTo*reference:
		s.low = time.Time{}
	case s.busy && s.low.IsZero():
		s.low = now
	case s.busy && now.Sub(s.low) >= quietFor:
		s.end()
	}
	if s.busy {
		s.sum += level
		s.samples++
	}
}

// Replay learns from the arrivals before now.
func (f *Forecast) Replay(now time.Time, arrivals []csrun.Arrival, given func(csmodel.PoolID) csmodel.MilliCPU) {
	if len(arrivals) == 0 {
		return
	}
	pools := csmodel.NewSet[csmodel.PoolID]()
	for _, a := range arrivals {
		pools.Add(a.Pool)
	}
	from, to := 0, 0
	for at := arrivals[0].At; at.Before(now); at = at.Add(decideEvery) {
		rates := map[csmodel.PoolID]csmodel.MilliCPU{}
		for to < len(arrivals) && !arrivals[to].At.After(at) {
			to++
		}
		for from < to && at.Sub(arrivals[from].At) >= csrun.OfferedWindow {
			from++
		}
		for _, a := range arrivals[from:to] {
			rates[a.Pool] += csmodel.MilliCPU(float64(a.Work) / csrun.OfferedWindow.Seconds())
		}
		for _, p := range csmodel.SortedKeys(pools) {
			f.Observe(at, p, rates[p], given(p))
		}
	}
}

func (s *season) begin(now time.Time) {
	s.busy, s.low, s.sum, s.samples = true, time.Time{}, 0, 0
	if n := len(s.starts); n > 0 && now.Sub(s.starts[n-1]) < shortestCycle {
		return // the phase goes on
	}
	s.starts = append(s.starts, now)
	if len(s.starts) > keptStarts {
		s.starts = s.starts[1:]
	}
}

func (s *season) end() {
	s.busy = false
	if s.samples == 0 {
		return
	}
	level := s.sum / float64(s.samples)
	if s.mean == 0 {
		s.mean = level
	}
	s.mean += phaseWeight * (level - s.mean)
}

// Cycle returns the usual time between two phases of a pool, and false where none has had two.
func (f *Forecast) Cycle() (time.Duration, bool) {
	var all []time.Duration
	for _, id := range csmodel.SortedKeys(f.pools) {
		starts := f.pools[id].starts
		for i := 1; i < len(starts); i++ {
			all = append(all, starts[i].Sub(starts[i-1]))
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// Begun returns the work that a busy phase which has just begun is expected to bring.
func (f *Forecast) Begun(now time.Time, pool csmodel.PoolID) csmodel.MilliCPU {
	if s := f.pools[pool]; s != nil && s.busy && len(s.starts) > 0 {
		return s.ramp(now)
	}
	return 0
}

// Expected returns the work that the next busy phase of a pool is expected to bring, if it begins within the given time.
func (f *Forecast) Expected(now time.Time, pool csmodel.PoolID, ahead time.Duration) csmodel.MilliCPU {
	s := f.pools[pool]
	cycle, known := f.Cycle()
	if s == nil || len(s.starts) == 0 {
		return 0
	}
	if !known || s.busy || s.mean == 0 {
		return 0
	}
	next := s.starts[len(s.starts)-1].Add(cycle)
	if now.Before(next.Add(-ahead-prepareFor)) || now.After(next.Add(waitFor)) {
		return 0
	}
	return csmodel.MilliCPU(s.mean)
}

// ramp returns what a phase that has just begun is expected to bring.
func (s *season) ramp(now time.Time) csmodel.MilliCPU {
	if now.Sub(s.starts[len(s.starts)-1]) > rampFor {
		return 0
	}
	if s.mean > 0 {
		return csmodel.MilliCPU(s.mean)
	}
	return csmodel.MilliCPU(firstPhase * s.given)
}

// Seen tells whether a pool has had a busy phase that is over.
func (f *Forecast) Seen(pool csmodel.PoolID) bool {
	s := f.pools[pool]
	return s != nil && s.mean > 0
}
