package cstask

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Bounds of the learned sizes.
const (
	MinSamples = 5   // finished runs before an estimate is used
	maxSamples = 512 // runs after which older ones lose half their weight
	maxLearned = 256 // jobs with learned sizes
)

// Units and ranges of the histograms. One significant digit keeps each under 3 KiB at an error of at most 10%.
const (
	digits          = 1
	memoryUnit      = csmodel.MiB
	runtimeUnit     = 100 * time.Millisecond
	maxCPU          = 1 << 20 // thousandths of a core
	maxMemory       = 1 << 24 // MiB
	maxRuntime      = 1 << 25 // tenths of a second, 38 days
	sizeQuantile    = 95
	runtimeQuantile = 90
)

// sizes learns quantiles of the usage of one job.
type sizes struct {
	cpu, memory, runtime *hdrhistogram.Histogram
	updated              uint64 // sequence number of the last run
	cached               Usage
}

func newSizes() *sizes {
	return &sizes{
		cpu:     hdrhistogram.New(1, maxCPU, digits),
		memory:  hdrhistogram.New(1, maxMemory, digits),
		runtime: hdrhistogram.New(1, maxRuntime, digits),
	}
}

// learn adds the usage of a finished run. A run without any reported usage teaches nothing.
func (t *Table) learn(j *job, u Usage) {
	if u == (Usage{}) {
		return
	}
	if j.sizes == nil {
		t.makeRoom()
		j.sizes = newSizes()
		t.learned++
	}
	t.sequence++
	j.sizes.updated = t.sequence
	j.sizes.add(u)
}

// makeRoom forgets the sizes that were updated longest ago when too many jobs have some.
func (t *Table) makeRoom() {
	if t.learned < maxLearned {
		return
	}
	var oldest *job
	for _, j := range t.jobs {
		if j.sizes == nil {
			continue
		}
		if oldest == nil || cmp.Compare(j.sizes.updated, oldest.sizes.updated) < 0 {
			oldest = j
		}
	}
	oldest.sizes = nil
	t.learned--
	t.dropJob(oldest)
}

func (s *sizes) add(u Usage) {
	observe(s.cpu, int64(u.CPU), maxCPU)
	observe(s.memory, ceil(int64(u.Memory), int64(memoryUnit)), maxMemory)
	observe(s.runtime, ceil(int64(u.Runtime), int64(runtimeUnit)), maxRuntime)
	if s.runtime.TotalCount() >= maxSamples {
		s.cpu, s.memory, s.runtime = halve(s.cpu), halve(s.memory), halve(s.runtime)
	}
	s.refresh()
}

// refresh caches the quantiles, because the scheduler reads them for each task and they change only with a run.
func (s *sizes) refresh() {
	s.cached = Usage{
		CPU:     csmodel.MilliCPU(s.cpu.ValueAtQuantile(sizeQuantile)),
		Memory:  csmodel.Bytes(s.memory.ValueAtQuantile(sizeQuantile)) * memoryUnit,
		Runtime: time.Duration(s.runtime.ValueAtQuantile(runtimeQuantile)) * runtimeUnit,
	}
}

func (s *sizes) estimate() (Usage, bool) {
	return s.cached, s.runtime.TotalCount() >= MinSamples
}

func observe(h *hdrhistogram.Histogram, v, limit int64) {
	// The value is within the range of the histogram, so it cannot fail.
	_ = h.RecordValue(min(max(v, 1), limit))
}

func ceil(v, unit int64) int64 { return (v + unit - 1) / unit }

func halve(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	s := h.Export()
	for i, n := range s.Counts {
		s.Counts[i] = n - n/2
	}
	return hdrhistogram.Import(s)
}

// bars is the sparse form of a histogram: positions and counts of the non-empty cells.
type bars struct {
	_         struct{} `cbor:",toarray"`
	Positions []int
	Counts    []int64
}

func pack(h *hdrhistogram.Histogram) bars {
	var b bars
	for i, n := range h.Export().Counts {
		if n == 0 {
			continue
		}
		b.Positions = append(b.Positions, i)
		b.Counts = append(b.Counts, n)
	}
	return b
}

func (b bars) unpack(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	s := h.Export()
	for i, p := range b.Positions {
		if p >= 0 && p < len(s.Counts) && i < len(b.Counts) {
			s.Counts[p] = b.Counts[i]
		}
	}
	return hdrhistogram.Import(s)
}
