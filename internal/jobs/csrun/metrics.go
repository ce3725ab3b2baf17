package csrun

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a leader.
type Metrics struct {
	orders       *prometheus.CounterVec
	ends         *prometheus.CounterVec
	polls        prometheus.Counter
	startTime    prometheus.Histogram
	phaseTime    *prometheus.HistogramVec
	roundDelay   prometheus.Histogram
	copies       *prometheus.CounterVec
	runTimeError prometheus.Histogram
	slowTargets  *prometheus.GaugeVec
}

// NewMetrics creates the metrics and registers them. It panics if one of them is registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_orders_total", Help: "Orders sent to targets, by kind.",
		}, []string{"kind"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_run_ends_total", Help: "Runs that ended, by outcome.",
		}, []string{"outcome"}),
		polls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cowslipstream_looks_total", Help: "Calls for the runs and ends of a target.",
		}),
		startTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cowslipstream_start_seconds", Help: "Time from the commit of a start to its acknowledgement by the target.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		phaseTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cowslipstream_round_seconds", Help: "Time of a round of decisions, by part of the round.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14),
		}, []string{"part"}),
		roundDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cowslipstream_round_delay_seconds", Help: "Time from when a round was due until it began.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14),
		}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_copies_total", Help: "Copies of unusually long runs: started, won (they ended first) and wasted (any other end).",
		}, []string{"event"}),
		runTimeError: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cowslipstream_run_time_ratio", Help: "Actual run time of done runs as a multiple of the predicted one.",
			Buckets: prometheus.ExponentialBuckets(0.125, math.Sqrt2, 17),
		}),
		slowTargets: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cowslipstream_slow_targets", Help: "Targets that get less urgent tasks because runs take longer or fail there, by pool.",
		}, []string{"pool"}),
	}
	r.MustRegister(m.copies, m.runTimeError, m.slowTargets)
	r.MustRegister(m.orders, m.ends, m.polls, m.startTime, m.phaseTime, m.roundDelay)
	return m
}
