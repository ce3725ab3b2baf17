package csrequest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/csconfig"
)

const (
	latencyWindow     = 10 * time.Second // covered by each of the two histograms of a job
	latencyResolution = 100 * time.Microsecond
	maxLatency        = 10 * time.Minute
	minSamples        = 20   // samples needed to compute a job's p95
	meanLatencyWeight = 0.05 // weight of a new latency in a mean
	hedgePercentile   = 95
	defaultTimeout    = 5 * time.Second // for a job without a configured timeout
)

// jobState holds the configuration and the measured latencies of a job. The p95 comes from two histograms that are rotated
// every latencyWindow.
type jobState struct {
	config      csconfig.Job
	meanLatency time.Duration
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	rotatedAt   time.Time
}

func newJob(c csconfig.Job) *jobState { return &jobState{config: c} }

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyResolution), 1)
}

// observe adds the latency of an answered attempt.
func (j *jobState) observe(now time.Time, latency time.Duration) {
	j.meanLatency = ewma(j.meanLatency, latency)
	if j.current == nil {
		j.current = newLatencyHistogram()
		j.previous = newLatencyHistogram()
		j.rotatedAt = now
	}
	if now.Sub(j.rotatedAt) >= latencyWindow {
		j.current, j.previous = j.previous, j.current
		j.current.Reset()
		j.rotatedAt = now
	}
	// A latency above maxLatency is counted as maxLatency.
	_ = j.current.RecordValue(int64(min(latency, maxLatency) / latencyResolution))
}

// p95 returns the 95th percentile of the latencies, after which an attempt is hedged. It returns false if there are too few
// samples.
func (j *jobState) p95() (time.Duration, bool) {
	if j.current == nil {
		return 0, false
	}
	h := j.current
	if h.TotalCount() < minSamples {
		h = j.previous
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(hedgePercentile)+1) * latencyResolution, true
}

// ewma adds a value to an exponentially weighted moving average. A mean of 0 is replaced by the value.
func ewma(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(meanLatencyWeight*float64(value-mean))
}
