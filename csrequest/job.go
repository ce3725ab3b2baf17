package csrequest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/csconfig"
)

const (
	latencyWindow = 10 * time.Second // of each of the two histograms of a job
	latencyUnit   = 100 * time.Microsecond
	maxLatency    = 10 * time.Minute
	minSamples    = 20   // samples before a job's p95 is used
	meanWeight    = 0.05 // weight of the newest latency in a mean
	hedgeQuantile = 95
	defaultWait   = 5 * time.Second // timeout of a job that declares none
)

// jobState is a configured job and its measured latencies.
type jobState struct {
	config   csconfig.Job
	mean     time.Duration
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
}

func newJob(c csconfig.Job) *jobState { return &jobState{config: c} }

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), 1)
}

// observe adds the latency of an answered attempt.
func (j *jobState) observe(now time.Time, latency time.Duration) {
	j.mean = average(j.mean, latency)
	if j.current == nil {
		j.current = newLatencies()
		j.previous = newLatencies()
		j.rotated = now
	}
	if now.Sub(j.rotated) >= latencyWindow {
		j.current, j.previous = j.previous, j.current
		j.current.Reset()
		j.rotated = now
	}
	// A latency beyond the range is counted as the largest.
	_ = j.current.RecordValue(int64(min(latency, maxLatency) / latencyUnit))
}

// p95 returns the latency after which an attempt is unusually slow.
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
	return time.Duration(h.ValueAtQuantile(hedgeQuantile)+1) * latencyUnit, true
}

// average moves an exponentially weighted mean towards a value. The first value is taken as it is.
func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(meanWeight*float64(value-mean))
}
