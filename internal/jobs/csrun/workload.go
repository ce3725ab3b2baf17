package csrun

import (
	"time"

	"go.uber.org/zap"
)

// workloadEvery is the interval of the lines that tell what the leader spends its time on.
const workloadEvery = time.Second

// part is a part of a round.
type part uint8

const (
	partSync part = iota
	partSchedule
	partFleet
	partEvict
	partOrders
	partLooks
	parts
)

var partNames = [parts]string{"sync", "schedule", "fleet", "evict", "orders", "looks"}

// workload adds up what the leader does, so that a slow leader can be told from slow targets and a slow group.
type workload struct {
	since    time.Time
	mark     time.Time
	rounds   int
	spent    [parts]time.Duration
	delay    time.Duration // longest wait of a due round in the mailbox
	starts   int
	stops    int
	looks    int
	ends     int
	beats    int
	failed   int           // calls that were not answered
	slowest  time.Duration // longest commit of decisions
	inFlight int           // calls of this node to targets
	most     int           // largest inFlight
}

// begin starts the time of the first part of a round.
func (w *workload) begin(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
	w.mark = now
	w.rounds++
}

// lap ends the time of a part.
func (w *workload) lap(p part, now time.Time, m *Metrics) {
	d := now.Sub(w.mark)
	w.mark = now
	w.spent[p] += d
	m.phaseTime.WithLabelValues(partNames[p]).Observe(d.Seconds())
}

// called counts a call to a target.
func (w *workload) called() {
	w.inFlight++
	w.most = max(w.most, w.inFlight)
}

// returned counts the end of a call to a target.
func (w *workload) returned(err error) {
	w.inFlight = max(0, w.inFlight-1)
	if err != nil {
		w.failed++
	}
}

// report writes a line per interval and starts the next one.
func (w *workload) report(now time.Time, log *zap.Logger, targets int) {
	if now.Sub(w.since) < workloadEvery {
		return
	}
	fields := []zap.Field{zap.Duration("for", now.Sub(w.since)), zap.Int("rounds", w.rounds)}
	for p, d := range w.spent {
		fields = append(fields, zap.Duration(partNames[p], d))
	}
	log.Info("workload", append(fields, zap.Duration("round_delay", w.delay), zap.Duration("commit", w.slowest),
		zap.Int("targets", targets), zap.Int("starts", w.starts), zap.Int("stops", w.stops), zap.Int("looks", w.looks),
		zap.Int("ends", w.ends), zap.Int("heartbeats", w.beats), zap.Int("unanswered", w.failed),
		zap.Int("calls", w.inFlight), zap.Int("most_calls", w.most))...)
	*w = workload{since: now, mark: now, inFlight: w.inFlight, most: w.inFlight}
}
