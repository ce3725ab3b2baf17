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
	waitTimes    [waitCount]prometheus.Observer
	copies       *prometheus.CounterVec
	runTimeError prometheus.Histogram
	slowTargets  *prometheus.GaugeVec
	usage        *prometheus.GaugeVec
	limit        *prometheus.GaugeVec
	quotaWaits   prometheus.Gauge
	surplus      prometheus.Counter
}

// accountLabels are the labels of the metrics of accounts.
var accountLabels = []string{"account", "resource"}

// NewMetrics creates the metrics and registers them. It panics if one of them is registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	waitTime := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cowslipstream_task_wait_seconds", Help: "Time that tasks take beside their runs, by part.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
	}, []string{"part"})
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
		usage: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cowslipstream_account_usage", Help: "What the open runs of an account use (cpu in cores, memory in MiB, gpus), of the 20 largest accounts and other.",
		}, accountLabels),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cowslipstream_account_limit", Help: "Limit of an account, of the same accounts and in the same units; 0 is no limit.",
		}, accountLabels),
		quotaWaits: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cowslipstream_quota_waiting_steps", Help: "Steps that wait for the quota of their account.",
		}),
		surplus: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cowslipstream_surplus_jobs_total", Help: "Accepted jobs beyond what their account is owed; a new leader counts the active ones.",
		}),
	}
	r.MustRegister(m.copies, m.runTimeError, m.slowTargets, m.usage, m.limit, m.quotaWaits, m.surplus)
	r.MustRegister(m.orders, m.ends, m.polls, m.startTime, m.phaseTime, m.roundDelay, waitTime)
	for w, name := range waitNames {
		m.waitTimes[w] = waitTime.WithLabelValues(name)
	}
	return m
}
