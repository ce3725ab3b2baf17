package csmeasure

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csfleet"
)

// Result is the outcome of one run.
type Result struct {
	// Buffer is the mean idle capacity in VMs that is held back: idle VMs of the spare pool and in moves, and idle capacity
	// of pools whose deferred tasks wait. Idle is all idle capacity.
	Buffer, Idle float64
	Moves        float64 // started moves, including the warm-up
	P50, P99     float64 // of answered requests, in seconds
	Started      float64 // percent of the requests that started within 2.6 s
	Refused      float64 // percent of the requests
	Unknown      float64 // percent of the requests
	Deferred     float64 // percent of the tasks due in the measured time that finished by their deadline
	// Over is the number of ticks in which more VMs of a pool were out of service by choice than its budget.
	Over float64
	// Requests and Tasks are the counts behind the percentages.
	Requests, Tasks float64
}

// sample adds the present idle capacity.
func (w *world) sample() {
	if !w.measured() {
		return
	}
	w.sums.ticks++
	waiting := w.work.waiting()
	for _, v := range w.vms {
		if v.lost {
			continue
		}
		idle := max(0, 1-v.used()/slotsPerVM)
		w.sums.idle += idle
		record, ok := w.leader.machine.VM(v.id)
		if !ok || record.State != csfleet.Serving || record.Pool == w.spare() || waiting.Has(deferredJob(record.Pool)) {
			w.sums.held += idle
		}
	}
	w.checkBudgets()
}

// checkBudgets counts the VMs that moves took out of their home pools.
func (w *world) checkBudgets() {
	taken := map[string]int{}
	for _, v := range w.leader.machine.VMs() {
		if v.State != csfleet.Lost && (v.Lent() || v.InMove()) {
			taken[string(v.Home)]++
		}
	}
	for _, p := range w.leader.machine.Pools() {
		if taken[string(p.Name)] > p.Budget {
			w.sums.over++
		}
	}
}

func (w *world) result() Result {
	s := w.sums
	seconds := func(q float64) float64 {
		return (time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
	return Result{
		Buffer: s.held / float64(max(1, s.ticks)), Idle: s.idle / float64(max(1, s.ticks)), Moves: float64(s.moves), P50: seconds(50), P99: seconds(99),
		Started: percent(s.started, s.requests), Refused: percent(s.refused, s.requests),
		Unknown: percent(s.unknown, s.requests), Deferred: percent(s.finished, s.due), Over: float64(s.over),
		Requests: float64(s.requests), Tasks: float64(s.due),
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }

// Figure is a measured figure over the seeds.
type Figure struct {
	Mean      float64 `json:"mean"`
	Deviation float64 `json:"deviation"` // standard deviation
	Min       float64 `json:"min"`
	Max       float64 `json:"max"`
}

func summarise(results []Result, value func(Result) float64) Figure {
	f := Figure{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, r := range results {
		v := value(r)
		f.Mean += v
		f.Min = min(f.Min, v)
		f.Max = max(f.Max, v)
	}
	f.Mean /= float64(len(results))
	for _, r := range results {
		f.Deviation += (value(r) - f.Mean) * (value(r) - f.Mean)
	}
	if len(results) > 1 {
		f.Deviation = math.Sqrt(f.Deviation / float64(len(results)-1))
	}
	return f
}
