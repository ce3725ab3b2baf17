package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"

	"cowslipstream.example/cowslipstream/csmeasure"
)

const policiesUsage = `Runs the decision code of all nodes under a virtual clock with the demand of
section 1.6 of the design page, once for each policy and seed, and prints mean,
standard deviation, minimum and maximum over the seeds. The same seed gives all
policies the same demand and the same faults.

  csbench policies --seeds 20 --out policies.json
  csbench policies --profile first --faults calm --compare policies.json`

// collectorPercent trades memory for time: most objects of a run live for a few virtual milliseconds.
const collectorPercent = 400

type policiesCommand struct {
	*app
	Profiles []string `long:"profile" choice:"first" choice:"second" choice:"tenth" description:"installation (default: first and second)"`
	Policies []string `long:"policy" choice:"static" choice:"lent" choice:"reactive" choice:"forecast" description:"policy (default: all)"`
	Faults   string   `long:"faults" choice:"calm" choice:"wave" choice:"both" default:"both" description:"runs without or with the wave of faults"`
	Seeds    int      `long:"seeds" default:"20" description:"number of seeds"`
	Jobs     int      `long:"jobs" default:"6" description:"runs at once, each on one core"`
	Out      string   `long:"out" value-name:"FILE" description:"write the figures as JSON"`
	Compare  string   `long:"compare" value-name:"FILE" description:"print the changes of the means since this file"`
}

// Execute runs the subcommand.
func (c *policiesCommand) Execute([]string) error {
	var before []csmeasure.Row
	if c.Compare != "" {
		if err := readJSON(c.Compare, &before); err != nil {
			return err
		}
	}
	if len(c.Profiles) == 0 {
		c.Profiles = []string{"first", "second"}
	}
	runtime.GOMAXPROCS(max(1, c.Jobs))
	debug.SetGCPercent(collectorPercent)
	var rows []csmeasure.Row
	for _, p := range csmeasure.Profiles() {
		for _, faults := range []bool{false, true} {
			if !slices.Contains(c.Profiles, p.Name) || c.Faults == "calm" && faults || c.Faults == "wave" && !faults {
				continue
			}
			part := csmeasure.Measure(p, c.policies(), c.Seeds, max(1, c.Jobs), faults)
			c.print(p, faults, part, before)
			rows = append(rows, part...)
		}
	}
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, rows)
}

func (c *policiesCommand) policies() []csmeasure.PolicyName {
	var names []csmeasure.PolicyName
	for _, name := range csmeasure.Policies() {
		if len(c.Policies) == 0 || slices.Contains(c.Policies, string(name)) {
			names = append(names, name)
		}
	}
	return names
}

func (c *policiesCommand) print(p csmeasure.Profile, faults bool, rows, before []csmeasure.Row) {
	wave := "no faults"
	if faults {
		wave = "wave of faults"
	}
	fmt.Fprintf(c.stdout, "%s: %d nodes, %d availability zones, %d VMs, %d pools, %s warm-up, %s measured, %d seeds, %s\n",
		p.Name, p.Nodes, p.Zones, p.VMs, p.Pools, p.Warm, p.Length, c.Seeds, wave)
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	header := []string{"figure"}
	for _, r := range rows {
		header = append(header, string(r.Policy))
	}
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, column := range csmeasure.Columns() {
		line := []string{strings.TrimSpace(column.Name + " " + column.Unit)}
		for _, r := range rows {
			line = append(line, cell(r, column.Name, before))
		}
		fmt.Fprintln(table, strings.Join(line, "\t"))
	}
	_ = table.Flush() // a failing standard output has no other place to be reported
	fmt.Fprintln(c.stdout)
}

// cell is mean, standard deviation and range of a figure, with the change of the mean since an earlier measurement.
func cell(r csmeasure.Row, column string, before []csmeasure.Row) string {
	f := r.Figures[column]
	text := fmt.Sprintf("%.4g ±%.2g (%.4g to %.4g)", f.Mean, f.Deviation, f.Min, f.Max)
	for _, b := range before {
		if b.Profile == r.Profile && b.Faults == r.Faults && b.Policy == r.Policy {
			text += fmt.Sprintf(" %+.3g", f.Mean-b.Figures[column].Mean)
		}
	}
	return text
}
