package csnode

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
)

const namespace = "cowslipstream"

// metrics are exported by the node. Labels are bounded by the configuration.
type metrics struct {
	registry     *prometheus.Registry
	outcomes     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	attempts     prometheus.Counter
	queued       *prometheus.GaugeVec
	busy         *prometheus.GaugeVec
	idle         *prometheus.GaugeVec
	targets      *prometheus.GaugeVec
	rollout      prometheus.Histogram
	revision     prometheus.Gauge
	stale        prometheus.Gauge
	moves        prometheus.Counter
	unavailable  *prometheus.GaugeVec
	taskStarts   prometheus.Counter
	leading      prometheus.Gauge
	restarts     prometheus.Counter
	unsent       prometheus.Counter
	malformed    prometheus.Counter
	unauthorized prometheus.Counter
	groupErrors  *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry:     prometheus.NewRegistry(),
		outcomes:     counterVec("request_outcomes_total", "Requests by outcome and reason.", "outcome", "reason"),
		latency:      latencyVec(),
		attempts:     counter("request_attempts_total", "Attempts sent to targets."),
		queued:       gaugeVec("pool_queued_requests", "Requests queued on this node.", "pool"),
		busy:         gaugeVec("pool_busy_slots", "Slots that this node uses.", "pool"),
		idle:         gaugeVec("pool_idle_slots", "Idle slots of this home node's targets (buffer).", "pool"),
		targets:      gaugeVec("pool_targets", "Targets that announce to this node.", "pool"),
		rollout:      rolloutHistogram(),
		revision:     gauge("configuration_revision", "Active configuration revision."),
		stale:        gauge("configuration_stale", "1 while the leader of the global group is silent."),
		moves:        counter("vm_moves_total", "Moves of VMs that this node started as leader."),
		unavailable:  gaugeVec("pool_unavailable_vms", "Unavailable VMs, on the leader.", "pool"),
		taskStarts:   counter("task_starts_total", "Deferred tasks started on targets of this node."),
		leading:      gauge("region_leader", "1 while this node leads the region's group."),
		restarts:     counter("child_restarts_total", "Children restarted by the supervisor."),
		unsent:       counter("link_unsent_total", "Messages that no link took."),
		malformed:    counter("link_malformed_total", "Messages of peers that could not be decoded."),
		unauthorized: counter("http_unauthorized_total", "Calls without a valid operator token."),
		groupErrors:  counterVec("group_errors_total", "Failures of replicated groups.", "group"),
	}
	m.registry.MustRegister(m.outcomes, m.latency, m.attempts, m.queued, m.busy, m.idle, m.targets, m.rollout, m.revision,
		m.stale, m.moves, m.unavailable, m.taskStarts, m.leading, m.restarts, m.unsent, m.malformed, m.unauthorized,
		m.groupErrors, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func latencyVec() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_duration_seconds", Help: "Time from arrival to outcome.",
		Buckets: []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.6, 5, 10},
	}, []string{"outcome"})
}

func rolloutHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "configuration_rollout_seconds",
		Help:    "Time from acceptance of a revision until it is active on this node.",
		Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 6, 10, 30, 60, 600, 3600},
	})
}

func (m *metrics) observeOutcome(r csrequest.Reply) {
	m.outcomes.WithLabelValues(r.Outcome.String(), string(r.Reason)).Inc()
}

func (m *metrics) observeLoads(loads []csrequest.Load) {
	for _, l := range loads {
		m.queued.WithLabelValues(string(l.Pool)).Set(float64(l.Queued))
		m.busy.WithLabelValues(string(l.Pool)).Set(float64(l.Busy))
	}
}

func (m *metrics) observeSummaries(pools []csmodel.PoolSummary) {
	m.idle.Reset()
	m.targets.Reset()
	for _, p := range pools {
		m.idle.WithLabelValues(string(p.Pool)).Add(float64(p.Free))
		m.targets.WithLabelValues(string(p.Pool)).Add(float64(p.Targets))
	}
}

func (m *metrics) observeFleet(f *csfleet.Machine) {
	for _, p := range f.Pools() {
		m.unavailable.WithLabelValues(string(p.Name)).Set(float64(f.Unavailable(p.Name)))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
