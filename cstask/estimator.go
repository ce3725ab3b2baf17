package cstask

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Bounds of the usage estimators.
const (
	MinSamples    = 5   // finished runs before an estimate is used
	maxSamples    = 512 // runs at which all counts are halved, so that older runs lose weight
	maxEstimators = 256 // jobs with an estimator
)

// Units and ranges of the histograms. One significant digit keeps each under 3 KiB at an error of at most 10%.
const (
	significantDigits = 1
	memoryUnit        = csmodel.MiB
	runtimeUnit       = 100 * time.Millisecond
	maxCPUValue       = 1 << 20 // millicores
	maxMemoryValue    = 1 << 24 // MiB
	maxRuntimeValue   = 1 << 25 // multiples of runtimeUnit, 38 days
	sizePercentile    = 95
	runtimePercentile = 90
)

// usageEstimator estimates the usage of the tasks of one job by percentiles over its finished runs.
type usageEstimator struct {
	cpu, memory, runtime *hdrhistogram.Histogram
	updated              uint64 // sequence of the table at the last run
	cachedEstimate       Usage
}

func newUsageEstimator() *usageEstimator {
	return &usageEstimator{
		cpu:     hdrhistogram.New(1, maxCPUValue, significantDigits),
		memory:  hdrhistogram.New(1, maxMemoryValue, significantDigits),
		runtime: hdrhistogram.New(1, maxRuntimeValue, significantDigits),
	}
}

// learnUsage adds the usage of a finished run to the estimator of its job. A run without any reported usage is ignored.
func (t *Table) learnUsage(j *job, u Usage) {
	if u == (Usage{}) {
		return
	}
	if j.estimator == nil {
		t.evictOldestEstimator()
		j.estimator = newUsageEstimator()
		t.estimatorCount++
	}
	t.sequence++
	j.estimator.updated = t.sequence
	j.estimator.add(u)
}

// evictOldestEstimator removes the least recently updated estimator when maxEstimators jobs have one.
func (t *Table) evictOldestEstimator() {
	if t.estimatorCount < maxEstimators {
		return
	}
	var oldest *job
	for _, j := range t.jobs {
		if j.estimator == nil {
			continue
		}
		if oldest == nil || cmp.Compare(j.estimator.updated, oldest.estimator.updated) < 0 {
			oldest = j
		}
	}
	oldest.estimator = nil
	t.estimatorCount--
	t.dropUnusedJob(oldest)
}

func (e *usageEstimator) add(u Usage) {
	recordValue(e.cpu, int64(u.CPU), maxCPUValue)
	recordValue(e.memory, ceilDiv(int64(u.Memory), int64(memoryUnit)), maxMemoryValue)
	recordValue(e.runtime, ceilDiv(int64(u.Runtime), int64(runtimeUnit)), maxRuntimeValue)
	if e.runtime.TotalCount() >= maxSamples {
		e.cpu, e.memory, e.runtime = halveCounts(e.cpu), halveCounts(e.memory), halveCounts(e.runtime)
	}
	e.updateEstimate()
}

// updateEstimate caches the percentiles, because the scheduler reads them for each task and they change only with a run.
func (e *usageEstimator) updateEstimate() {
	e.cachedEstimate = Usage{
		CPU:     csmodel.MilliCPU(e.cpu.ValueAtQuantile(sizePercentile)),
		Memory:  csmodel.Bytes(e.memory.ValueAtQuantile(sizePercentile)) * memoryUnit,
		Runtime: time.Duration(e.runtime.ValueAtQuantile(runtimePercentile)) * runtimeUnit,
	}
}

func (e *usageEstimator) estimate() (Usage, bool) {
	return e.cachedEstimate, e.runtime.TotalCount() >= MinSamples
}

func recordValue(h *hdrhistogram.Histogram, v, limit int64) {
	// RecordValue cannot fail, because the value is within the range of the histogram.
	_ = h.RecordValue(min(max(v, 1), limit))
}

func ceilDiv(v, unit int64) int64 { return (v + unit - 1) / unit }

func halveCounts(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	s := h.Export()
	for i, n := range s.Counts {
		s.Counts[i] = n - n/2
	}
	return hdrhistogram.Import(s)
}

// sparseHistogram holds the positions and counts of the non-empty buckets of a histogram.
type sparseHistogram struct {
	_         struct{} `cbor:",toarray"`
	Positions []int
	Counts    []int64
}

func newSparseHistogram(h *hdrhistogram.Histogram) sparseHistogram {
	var sparse sparseHistogram
	for i, n := range h.Export().Counts {
		if n == 0 {
			continue
		}
		sparse.Positions = append(sparse.Positions, i)
		sparse.Counts = append(sparse.Counts, n)
	}
	return sparse
}

func (sparse sparseHistogram) expand(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	s := h.Export()
	for i, p := range sparse.Positions {
		if p >= 0 && p < len(s.Counts) && i < len(sparse.Counts) {
			s.Counts[p] = sparse.Counts[i]
		}
	}
	return hdrhistogram.Import(s)
}
