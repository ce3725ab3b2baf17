package csmeasure

import (
	"sync"
	"sync/atomic"
)

// Column is a figure of the report.
type Column struct {
	Name  string
	Unit  string
	value func(Result) float64
}

// Columns returns the figures of the report in order.
func Columns() []Column {
	return []Column{
		{"buffer", "VMs", func(r Result) float64 { return r.Buffer }},
		{"idle", "VMs", func(r Result) float64 { return r.Idle }},
		{"moves", "", func(r Result) float64 { return r.Moves }},
		{"p50", "s", func(r Result) float64 { return r.P50 }},
		{"p99", "s", func(r Result) float64 { return r.P99 }},
		{"started", "%", func(r Result) float64 { return r.Started }},
		{"refused", "%", func(r Result) float64 { return r.Refused }},
		{"unknown", "%", func(r Result) float64 { return r.Unknown }},
		{"deferred", "%", func(r Result) float64 { return r.Deferred }},
		{"over", "ticks", func(r Result) float64 { return r.Over }},
		{"requests", "", func(r Result) float64 { return r.Requests }},
		{"tasks", "", func(r Result) float64 { return r.Tasks }},
	}
}

// Run measures one policy on one seed.
func Run(p Profile, policy PolicyName, seed uint64, faults bool) Result {
	w := newWorld(p, newPolicy(policy), seed, faults)
	w.run()
	return w.result()
}

// Row is the outcome of one policy on one installation over all seeds.
type Row struct {
	Profile string            `json:"profile"`
	Faults  bool              `json:"faults"`
	Policy  PolicyName        `json:"policy"`
	Seeds   int               `json:"seeds"`
	Figures map[string]Figure `json:"figures"`
}

// Measure runs the seeds 1 to seeds of each policy with the given number of runs at once. The result does not depend on
// that number.
func Measure(p Profile, policies []PolicyName, seeds, jobs int, faults bool) []Row {
	results := make([][]Result, len(policies))
	for i := range policies {
		results[i] = make([]Result, seeds)
	}
	var next atomic.Int64
	var group sync.WaitGroup
	for range jobs {
		group.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= seeds*len(policies) {
					return
				}
				i, seed := n%len(policies), n/len(policies)
				results[i][seed] = Run(p, policies[i], uint64(seed)+1, faults)
			}
		})
	}
	group.Wait()
	var rows []Row
	for i, name := range policies {
		row := Row{Profile: p.Name, Faults: faults, Policy: name, Seeds: seeds, Figures: map[string]Figure{}}
		for _, c := range Columns() {
			row.Figures[c.Name] = summarise(results[i], c.value)
		}
		rows = append(rows, row)
	}
	return rows
}
