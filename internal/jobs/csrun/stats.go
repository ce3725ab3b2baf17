package csrun

import (
	"time"

	"go.uber.org/zap"
)

// statsInterval is the interval between log lines about the work of the leader.
const statsInterval = time.Second

// phase is a phase of a round.
type phase uint8

const (
	phaseSync phase = iota
	phaseSchedule
	phaseFleet
	phaseEvict
	phaseOrders
	phasePolls
	phaseCount
)

var phaseNames = [phaseCount]string{"sync", "schedule", "fleet", "evict", "orders", "looks"}

// leaderStats counts the work of the leader in one interval, so that logs show whether the leader, the targets or consensus
// are slow.
type leaderStats struct {
	intervalStart time.Time
	phaseStart    time.Time
	rounds        int
	phaseTimes    [phaseCount]time.Duration
	maxDelay      time.Duration // longest time a due round waited in the mailbox
	starts        int
	stops         int
	polls         int
	ends          int
	heartbeats    int
	failedCalls   int           // calls without an answer
	slowestCommit time.Duration // longest commit of a round's decisions
	inFlight      int           // calls to targets in flight
	maxInFlight   int           // maximum of inFlight
	surplus       int           // accepted jobs that are surplus
	quotaWaits    int           // largest number of steps that waited for the quota of their account
	waits         [waitCount]int
	waitTimes     [waitCount]time.Duration // sums
}

// beginRound starts timing the first phase of a round.
func (s *leaderStats) beginRound(now time.Time) {
	if s.intervalStart.IsZero() {
		s.intervalStart = now
	}
	s.phaseStart = now
	s.rounds++
}

// endPhase ends a phase, records its duration and starts timing the next one.
func (s *leaderStats) endPhase(p phase, now time.Time, m *Metrics) {
	d := now.Sub(s.phaseStart)
	s.phaseStart = now
	s.phaseTimes[p] += d
	m.phaseTime.WithLabelValues(phaseNames[p]).Observe(d.Seconds())
}

// callSent counts a call to a target that is sent.
func (s *leaderStats) callSent() {
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
}

// callDone counts a call to a target that has ended.
func (s *leaderStats) callDone(err error) {
	s.inFlight = max(0, s.inFlight-1)
	if err != nil {
		s.failedCalls++
	}
}

// report logs the counters once per interval and resets them.
func (s *leaderStats) report(now time.Time, log *zap.Logger, targets int) {
	if now.Sub(s.intervalStart) < statsInterval {
		return
	}
	fields := []zap.Field{zap.Duration("for", now.Sub(s.intervalStart)), zap.Int("rounds", s.rounds)}
	for p, d := range s.phaseTimes {
		fields = append(fields, zap.Duration(phaseNames[p], d))
	}
	for w, n := range s.waits {
		fields = append(fields, zap.Duration(waitNames[w], s.waitTimes[w]/time.Duration(max(1, n))))
	}
	log.Info("workload", append(fields, zap.Duration("round_delay", s.maxDelay), zap.Duration("commit", s.slowestCommit),
		zap.Int("targets", targets), zap.Int("starts", s.starts), zap.Int("stops", s.stops), zap.Int("looks", s.polls),
		zap.Int("ends", s.ends), zap.Int("heartbeats", s.heartbeats), zap.Int("unanswered", s.failedCalls),
		zap.Int("calls", s.inFlight), zap.Int("most_calls", s.maxInFlight),
		zap.Int("surplus", s.surplus), zap.Int("quota_waits", s.quotaWaits))...)
	*s = leaderStats{intervalStart: now, phaseStart: now, inFlight: s.inFlight, maxInFlight: s.inFlight}
}
