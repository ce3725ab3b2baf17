package csrun

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of a leader.
type Metrics struct {
	orders     *prometheus.CounterVec
	ends       *prometheus.CounterVec
	polls      prometheus.Counter
	startTime  prometheus.Histogram
	phaseTime  *prometheus.HistogramVec
	roundDelay prometheus.Histogram
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
	}
	r.MustRegister(m.orders, m.ends, m.polls, m.startTime, m.phaseTime, m.roundDelay)
	return m
}
