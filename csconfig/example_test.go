package csconfig_test

import (
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// A program of an operator builds the configuration from typed values and prints it for apply.
func ExamplePrint() {
	web := csconfig.Pool{Name: "web", Region: "north", Size: 10, Budget: 2}
	spare := csconfig.Pool{Name: "spare", Region: "north", Size: 4, Budget: 4, Spare: true}
	fleet := csconfig.New().
		Pool(web, spare).
		Job(csconfig.UrgentJob("quote", web.Name, 2*time.Second)).
		Job(csconfig.DeferredJob("survey", web.Name, 10*time.Minute, 2500, 16*csmodel.GiB)).
		Team(csconfig.Team{Name: "counter", Share: 3, Rate: 50, Burst: 20}).
		Wave(csconfig.Wave{
			Name:     "kernel",
			Pools:    []csmodel.PoolID{web.Name},
			Start:    time.Date(2026, time.March, 1, 4, 0, 0, 0, time.UTC),
			Period:   6 * 7 * 24 * time.Hour,
			Parallel: 2,
			Losses:   1,
		})
	text, err := csconfig.Print(fleet.Configuration)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(string(text))
	// Output:
	// pools:
	// - name: web
	//   region: north
	//   size: 10
	//   budget: 2
	// - name: spare
	//   region: north
	//   size: 4
	//   budget: 4
	//   spare: true
	// jobs:
	// - name: quote
	//   pool: web
	//   class: urgent
	//   timeout: 2s
	// - name: survey
	//   pool: web
	//   class: deferred
	//   runtime: 10m
	//   cpu: 2.5
	//   memory: 16GiB
	// teams:
	// - name: counter
	//   share: 3
	//   rate: 50
	//   burst: 20
	// waves:
	// - name: kernel
	//   pools:
	//   - web
	//   start: 2026-03-01T04:00:00Z
	//   period: 1008h
	//   parallel: 2
	//   losses: 1
}
