package csvms

import (
	"math"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// Detection of busy phases from the arriving work. Phases start and end at ratios of the largest work that a pool has seen.
const (
	phaseStartRatio = 0.35
	// minPhaseRatio is the least work expected of a pool's first phase, relative to its share of the VMs. Less is the trickle
	// between two phases.
	minPhaseRatio = 0.7
	// firstPhaseRatio is the work expected of a pool's first phase, relative to its share of the VMs: a phase demands more than
	// the pool holds.
	firstPhaseRatio = 1.5
	// rampTime is how long after its start a phase is expected to bring the work of earlier ones; then the arrivals are used.
	rampTime      = 2500 * time.Millisecond
	phaseEndRatio = 0.2
	// phaseEndDelay is how long little work has to arrive before a phase is over: the time over which arrivals are averaged.
	phaseEndDelay = time.Second
	// peakDecayTime is the time over which the largest work seen decays, so that a single burst does not hide later phases. An
	// update after this time or more halves it; frequent updates leave about 61 %.
	peakDecayTime = time.Minute
	// newestPhaseWeight is the weight of the newest phase in the moving average of the work in a phase.
	newestPhaseWeight = 0.5
	// minCycle keeps a phase with gaps from being counted as two.
	minCycle = 4 * time.Second
	// maxPhaseStarts is the number of phase starts that are kept for a pool.
	maxPhaseStarts = 4
	// minPhaseJobs is the number of jobs that have to arrive within csrun.OfferedWindow for a phase to start: between two phases
	// a single large job may bring as much work as a busy phase.
	minPhaseJobs = 3
	// minTurn keeps an unsteady change of turns from being counted as two.
	minTurn = 3 * time.Second
	// maxTurnError is how far turns may deviate from a regular sequence, as a fraction of a turn. A turn with few jobs is
	// detected late.
	maxTurnError = 0.25
	// endingWorkRatio is the part of the running work of a pool that still needs VMs after the end of its turn: the rest is done
	// by then.
	endingWorkRatio = 0.5
	// detectionDelay is how long before a phase is detected its VMs should be there: half a second until enough work has arrived,
	// and the time of a round.
	detectionDelay = 700 * time.Millisecond
	// lateStartTolerance is how long after the expected start of a phase its VMs are kept.
	lateStartTolerance = 1500 * time.Millisecond
)

// Forecast predicts the busy phases of pools. Many queues are busy by turns, each for some seconds at about the same interval.
// Work is in millicores. The zero value is ready to use.
type Forecast struct {
	pools       map[csmodel.PoolID]*poolHistory
	turns       []turn
	firstWorkAt time.Time // first arrival in any pool
}

// turn is the start of the busy phase of a pool after that of another pool.
type turn struct {
	pool csmodel.PoolID
	at   time.Time
}

// poolHistory is what is known of the busy phases of one pool.
type poolHistory struct {
	shareCPU     float64 // CPU of the pool's even share of the VMs
	peak         float64 // largest work seen, decaying
	updatedAt    time.Time
	busy         bool
	lowSince     time.Time // since when little work has arrived in a busy phase
	risingSince  time.Time // since when more work has arrived than between two phases
	starts       []time.Time
	phaseWork    float64 // sum of the work samples of this phase
	phaseSamples int
	meanWork     float64 // moving average of the work in a phase
}

// Observe records the work and the number of jobs that arrive at a pool now. shareCPU is the CPU of the pool's even share of the
// VMs.
func (f *Forecast) Observe(now time.Time, pool csmodel.PoolID, work csmodel.MilliCPU, jobs int, shareCPU csmodel.MilliCPU) {
	if f.pools == nil {
		f.pools = map[csmodel.PoolID]*poolHistory{}
	}
	if jobs > 0 && f.firstWorkAt.IsZero() {
		f.firstWorkAt = now
	}
	h := f.pools[pool]
	if h == nil {
		h = &poolHistory{updatedAt: now}
		f.pools[pool] = h
	}
	h.peak *= 1 - 0.5*min(1, now.Sub(h.updatedAt).Seconds()/peakDecayTime.Seconds())
	h.updatedAt = now
	h.shareCPU = float64(shareCPU)
	level := float64(work)
	h.peak = max(h.peak, level)
	reference := max(h.peak, minPhaseRatio*h.shareCPU)
	switch {
	case jobs < 2 || level < phaseEndRatio*reference:
		h.risingSince = time.Time{}
	case h.risingSince.IsZero():
		h.risingSince = now
	}
	switch {
	case !h.busy && jobs >= minPhaseJobs && level >= phaseStartRatio*reference:
		h.beginPhase(now)
		f.recordTurn(h.risingSince, pool)
	case h.busy && h.phaseSamples > 0 && h.phaseWork/float64(h.phaseSamples) < phaseEndRatio*level:
		// What was taken for a phase was the quiet time before the first real one.
		h.starts = h.starts[:max(0, len(h.starts)-1)]
		h.beginPhase(now)
		f.recordTurn(h.risingSince, pool)
	case h.busy && level >= phaseEndRatio*reference:
		h.lowSince = time.Time{}
	case h.busy && h.lowSince.IsZero():
		h.lowSince = now
	case h.busy && now.Sub(h.lowSince) >= phaseEndDelay:
		h.endPhase()
	}
	if h.busy {
		h.phaseWork += level
		h.phaseSamples++
	}
}

// Replay learns from the arrivals before now. share returns the CPU of a pool's even share of the VMs.
func (f *Forecast) Replay(now time.Time, arrivals []csrun.Arrival, share func(csmodel.PoolID) csmodel.MilliCPU) {
	if len(arrivals) == 0 {
		return
	}
	pools := csmodel.NewSet[csmodel.PoolID]()
	for _, a := range arrivals {
		pools.Add(a.Pool)
	}
	from, to := 0, 0
	for at := arrivals[0].At; at.Before(now); at = at.Add(decisionInterval) {
		rates, jobs := map[csmodel.PoolID]csmodel.MilliCPU{}, map[csmodel.PoolID]int{}
		for to < len(arrivals) && !arrivals[to].At.After(at) {
			to++
		}
		for from < to && at.Sub(arrivals[from].At) >= csrun.OfferedLoadWindow {
			from++
		}
		for _, a := range arrivals[from:to] {
			rates[a.Pool] += csmodel.MilliCPU(float64(a.Work) / csrun.OfferedLoadWindow.Seconds())
			jobs[a.Pool]++
		}
		for _, p := range csmodel.SortedKeys(pools) {
			f.Observe(at, p, rates[p], jobs[p], share(p))
		}
	}
}

func (h *poolHistory) beginPhase(now time.Time) {
	h.busy, h.lowSince, h.phaseWork, h.phaseSamples = true, time.Time{}, 0, 0
	if n := len(h.starts); n > 0 && now.Sub(h.starts[n-1]) < minCycle {
		return // the phase goes on
	}
	h.starts = append(h.starts, now)
	if len(h.starts) > maxPhaseStarts {
		h.starts = h.starts[1:]
	}
}

func (h *poolHistory) endPhase() {
	h.busy = false
	if h.phaseSamples == 0 {
		return
	}
	level := h.phaseWork / float64(h.phaseSamples)
	if h.meanWork == 0 {
		h.meanWork = level
	}
	h.meanWork += newestPhaseWeight * (level - h.meanWork)
}

// Cycle returns the median time between the starts of two phases of a pool, or false if no pool has had two.
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

// recordTurn records that a phase of a pool has started. The first one started with the first work: some pool is always busy.
func (f *Forecast) recordTurn(at time.Time, pool csmodel.PoolID) {
	n := len(f.turns)
	if n == 0 {
		f.turns = append(f.turns, turn{pool, f.firstWorkAt})
		return
	}
	last := &f.turns[n-1]
	switch {
	case last.pool == pool:
	case at.Sub(last.at) < minTurn:
		last.pool = pool // what was taken for a phase was noise before this one
	default:
		f.turns = append(f.turns, turn{pool, at})
	}
}

// turnLength returns the usual time from the turn of one pool to that of the next one, or false if it is not known. A turn is
// never detected before it starts, so the shortest mean is the best estimate.
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

// turnPosition returns the number of turns of the given length before a time, as a fraction.
func (f *Forecast) turnPosition(at time.Time, length time.Duration) float64 {
	return float64(at.Sub(f.turns[0].at)) / float64(length)
}

// currentTurn returns the current turn, and the usual length of a turn if it is known.
func (f *Forecast) currentTurn() (turn, time.Duration, bool) {
	if len(f.turns) == 0 {
		return turn{}, 0, false
	}
	length, known := f.turnLength()
	return f.turns[len(f.turns)-1], length, known
}

// turnsRegular reports whether the turns so far were about equally long, so that the predicted end of the current one is
// reliable.
func (f *Forecast) turnsRegular() bool {
	length, known := f.turnLength()
	if !known || len(f.turns) < 3 {
		return false
	}
	for _, t := range f.turns {
		position := f.turnPosition(t.at, length)
		if math.Abs(position-math.Round(position)) > maxTurnError {
			return false
		}
	}
	return true
}

// turnChanging reports whether the current turn ends within the time ahead, or has ended while the next one has not started.
func (f *Forecast) turnChanging(now time.Time, ahead time.Duration) bool {
	length, known := f.turnLength()
	if !known {
		return false
	}
	number := math.Round(f.turnPosition(f.turns[len(f.turns)-1].at, length))
	next := f.turns[0].at.Add(time.Duration((number + 1) * float64(length)))
	return !now.Before(next.Add(-ahead)) && !now.After(next.Add(lateStartTolerance))
}

// TurnEnding reports whether the turn of a pool ends within the time ahead. It is false if the turns are too irregular to tell.
func (f *Forecast) TurnEnding(now time.Time, pool csmodel.PoolID, ahead time.Duration) bool {
	return f.turnsRegular() && f.turnChanging(now, ahead) && f.turns[len(f.turns)-1].pool == pool
}

// NextTurn returns the work that the next turn is expected to bring to each of the pools that may have it, if it starts within
// the time ahead. Pools without a turn so far come first; then the one whose turn was the longest ago.
func (f *Forecast) NextTurn(now time.Time, pools []csmodel.PoolID, ahead time.Duration) map[csmodel.PoolID]csmodel.MilliCPU {
	if !f.turnChanging(now, ahead) {
		return nil
	}
	lastTurns := map[csmodel.PoolID]time.Time{} // start of the last turn of each pool
	for _, t := range f.turns {
		lastTurns[t.pool] = t.at
	}
	next := nextPools(pools, lastTurns)
	out := map[csmodel.PoolID]csmodel.MilliCPU{}
	for _, id := range next {
		out[id] = csmodel.MilliCPU(f.medianPhaseWork(csmodel.SortedKeys(lastTurns)) / float64(len(next)))
	}
	return out
}

// nextPools returns the pools that may have the next turn.
func nextPools(pools []csmodel.PoolID, lastTurns map[csmodel.PoolID]time.Time) []csmodel.PoolID {
	var unseen []csmodel.PoolID
	var oldest csmodel.PoolID
	for _, id := range pools {
		switch at, ok := lastTurns[id]; {
		case !ok:
			unseen = append(unseen, id)
		case oldest == "" || at.Before(lastTurns[oldest]):
			oldest = id
		}
	}
	if len(unseen) == 0 && oldest != "" {
		return []csmodel.PoolID{oldest}
	}
	return unseen
}

// medianPhaseWork returns the median work in the phases of the given pools.
func (f *Forecast) medianPhaseWork(pools []csmodel.PoolID) float64 {
	var levels []float64
	for _, id := range pools {
		h := f.pools[id]
		switch {
		case h.meanWork > 0:
			levels = append(levels, h.meanWork)
		case h.phaseSamples > 0:
			levels = append(levels, h.phaseWork/float64(h.phaseSamples))
		}
	}
	if len(levels) == 0 {
		return 0
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
}

// RampUp returns the work expected of a busy phase that has just started, or 0 if there is none.
func (f *Forecast) RampUp(now time.Time, pool csmodel.PoolID) csmodel.MilliCPU {
	if h := f.pools[pool]; h != nil && h.busy && len(h.starts) > 0 {
		return h.rampUp(now)
	}
	return 0
}

// NextPhase returns the work expected of the next busy phase of a pool, or 0 if it does not start within the time ahead.
func (f *Forecast) NextPhase(now time.Time, pool csmodel.PoolID, ahead time.Duration) csmodel.MilliCPU {
	h := f.pools[pool]
	cycle, known := f.Cycle()
	if h == nil || len(h.starts) == 0 {
		return 0
	}
	if !known || h.busy || h.meanWork == 0 {
		return 0
	}
	next := h.starts[len(h.starts)-1].Add(cycle)
	if now.Before(next.Add(-ahead-detectionDelay)) || now.After(next.Add(lateStartTolerance)) {
		return 0
	}
	return csmodel.MilliCPU(h.meanWork)
}

// rampUp returns the work expected of a phase that has just started, or 0 after rampTime.
func (h *poolHistory) rampUp(now time.Time) csmodel.MilliCPU {
	if now.Sub(h.starts[len(h.starts)-1]) > rampTime {
		return 0
	}
	if h.meanWork > 0 {
		return csmodel.MilliCPU(h.meanWork)
	}
	return csmodel.MilliCPU(firstPhaseRatio * h.shareCPU)
}
