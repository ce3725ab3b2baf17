package csvms

import (
	"math"
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
	// leastJobs is the number of jobs that have to arrive within the window for a phase to begin: between two phases a
	// single large job may bring as much work as a busy phase.
	leastJobs = 3
	// shortestTurn keeps a ragged change of turns from being taken for two.
	shortestTurn = 3 * time.Second
	// steadyError is how far turns may be off a regular sequence, in parts of a turn. A turn of few jobs is noticed late.
	steadyError = 0.25
	// endingShare is the part of the running work of a pool whose turn is about to end that needs VMs beyond the end: the
	// rest is done by then.
	endingShare = 0.5
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
	turns []turn
	first time.Time // the first work of any pool
}

// turn is the start of a phase of one pool after that of another one.
type turn struct {
	pool csmodel.PoolID
	at   time.Time
}

// season is what is known of the phases of one pool.
type season struct {
	given   float64 // CPU of the VMs that the pool was given
	peak    float64 // largest work seen, decaying
	at      time.Time
	busy    bool
	low     time.Time // since when little work arrives in a busy phase
	since   time.Time // since when more work arrives than in the time between two phases
	starts  []time.Time
	sum     float64 // of the work in this phase
	samples int
	mean    float64 // work in a phase
}

// Observe takes in the work and the number of jobs that arrive at a pool now. given is the CPU of the VMs that it had at
// first.
func (f *Forecast) Observe(now time.Time, pool csmodel.PoolID, work csmodel.MilliCPU, jobs int, given csmodel.MilliCPU) {
	if f.pools == nil {
		f.pools = map[csmodel.PoolID]*season{}
	}
	if jobs > 0 && f.first.IsZero() {
		f.first = now
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
	case jobs < 2 || level < busyTo*reference:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
	switch {
	case !s.busy && jobs >= leastJobs && level >= busyFrom*reference:
		s.begin(now)
		f.changeTurn(s.since, pool)
	case s.busy && s.samples > 0 && s.sum/float64(s.samples) < busyTo*level:
		// What looked like a phase was the quiet time before the first real one.
		s.starts = s.starts[:max(0, len(s.starts)-1)]
		s.begin(now)
		f.changeTurn(s.since, pool)
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
		rates, jobs := map[csmodel.PoolID]csmodel.MilliCPU{}, map[csmodel.PoolID]int{}
		for to < len(arrivals) && !arrivals[to].At.After(at) {
			to++
		}
		for from < to && at.Sub(arrivals[from].At) >= csrun.OfferedWindow {
			from++
		}
		for _, a := range arrivals[from:to] {
			rates[a.Pool] += csmodel.MilliCPU(float64(a.Work) / csrun.OfferedWindow.Seconds())
			jobs[a.Pool]++
		}
		for _, p := range csmodel.SortedKeys(pools) {
			f.Observe(at, p, rates[p], jobs[p], given(p))
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

// changeTurn notes that a phase of a pool has begun. The first one began with the first work: some pool is always busy.
func (f *Forecast) changeTurn(at time.Time, pool csmodel.PoolID) {
	n := len(f.turns)
	if n == 0 {
		f.turns = append(f.turns, turn{pool, f.first})
		return
	}
	last := &f.turns[n-1]
	switch {
	case last.pool == pool:
	case at.Sub(last.at) < shortestTurn:
		last.pool = pool // what looked like a phase was noise before this one
	default:
		f.turns = append(f.turns, turn{pool, at})
	}
}

// turnLength returns the usual time from the turn of one pool to that of the next one, and false where it is not known. A
// turn is never noticed before it begins, so the shortest mean is the best one.
func (f *Forecast) turnLength() (time.Duration, bool) {
	length := time.Duration(0)
	for i := 1; i < len(f.turns); i++ {
		mean := f.turns[i].at.Sub(f.turns[0].at) / time.Duration(i)
		if length == 0 || mean < length {
			length = mean
		}
	}
	return length, length > 0
}

// place returns how many turns of a length there were before a time, as a fraction.
func (f *Forecast) place(at time.Time, length time.Duration) float64 {
	return float64(at.Sub(f.turns[0].at)) / float64(length)
}

// present returns the present turn, and the usual length of a turn where it is known.
func (f *Forecast) present() (turn, time.Duration, bool) {
	if len(f.turns) == 0 {
		return turn{}, 0, false
	}
	length, known := f.turnLength()
	return f.turns[len(f.turns)-1], length, known
}

// steady tells whether the turns so far were about equally long, so that the end of the present one can be relied on.
func (f *Forecast) steady() bool {
	length, known := f.turnLength()
	if !known || len(f.turns) < 3 {
		return false
	}
	for _, t := range f.turns {
		place := f.place(t.at, length)
		if math.Abs(place-math.Round(place)) > steadyError {
			return false
		}
	}
	return true
}

// changing tells whether the present turn ends within some time, or has ended and the next one has not begun.
func (f *Forecast) changing(now time.Time, ahead time.Duration) bool {
	length, known := f.turnLength()
	if !known {
		return false
	}
	number := math.Round(f.place(f.turns[len(f.turns)-1].at, length))
	next := f.turns[0].at.Add(time.Duration((number + 1) * float64(length)))
	return !now.Before(next.Add(-ahead)) && !now.After(next.Add(waitFor))
}

// Ending tells whether the turn of a pool ends within some time, as far as that can be relied on.
func (f *Forecast) Ending(now time.Time, pool csmodel.PoolID, ahead time.Duration) bool {
	return f.steady() && f.changing(now, ahead) && f.turns[len(f.turns)-1].pool == pool
}

// NextTurn returns the work that the next turn is expected to bring to each of the pools that may have it, if it begins
// within some time. Pools that have had no turn yet are next; then the one whose turn is the longest ago.
func (f *Forecast) NextTurn(now time.Time, pools []csmodel.PoolID, ahead time.Duration) map[csmodel.PoolID]csmodel.MilliCPU {
	if !f.changing(now, ahead) {
		return nil
	}
	had := map[csmodel.PoolID]time.Time{} // last turn of each pool
	for _, t := range f.turns {
		had[t.pool] = t.at
	}
	next := nextPools(pools, had)
	out := map[csmodel.PoolID]csmodel.MilliCPU{}
	for _, id := range next {
		out[id] = csmodel.MilliCPU(f.usualLevel(csmodel.SortedKeys(had)) / float64(len(next)))
	}
	return out
}

// nextPools returns the pools that may have the next turn.
func nextPools(pools []csmodel.PoolID, had map[csmodel.PoolID]time.Time) []csmodel.PoolID {
	var unseen []csmodel.PoolID
	var oldest csmodel.PoolID
	for _, id := range pools {
		switch at, ok := had[id]; {
		case !ok:
			unseen = append(unseen, id)
		case oldest == "" || at.Before(had[oldest]):
			oldest = id
		}
	}
	if len(unseen) == 0 && oldest != "" {
		return []csmodel.PoolID{oldest}
	}
	return unseen
}

// usualLevel returns the median work of the phases of some pools.
func (f *Forecast) usualLevel(pools []csmodel.PoolID) float64 {
	var levels []float64
	for _, id := range pools {
		s := f.pools[id]
		switch {
		case s.mean > 0:
			levels = append(levels, s.mean)
		case s.samples > 0:
			levels = append(levels, s.sum/float64(s.samples))
		}
	}
	if len(levels) == 0 {
		return 0
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
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
