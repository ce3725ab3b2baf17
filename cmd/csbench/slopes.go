package main

import (
	"fmt"
	"text/tabwriter"

	"cowslipstream.example/cowslipstream/csmeasure"
)

const slopesUsage = `Measures the heap, message and log bytes and the processor time of one item in
each part of the decision code, for docs/CAPACITY.md. It takes about a minute
on one core.

  csbench slopes --out slopes.json
  csbench slopes --compare slopes.json`

type slopesCommand struct {
	*app
	Out     string `long:"out" value-name:"FILE" description:"write the figures as JSON"`
	Compare string `long:"compare" value-name:"FILE" description:"print the figures of this file as well"`
}

// Execute runs the subcommand.
func (c *slopesCommand) Execute([]string) error {
	var before []csmeasure.Slope
	if c.Compare != "" {
		if err := readJSON(c.Compare, &before); err != nil {
			return err
		}
	}
	slopes := csmeasure.Slopes()
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "bytes\tCPU in us\tbytes before\tCPU before\t  item")
	for _, s := range slopes {
		old := csmeasure.Slope{}
		for _, b := range before {
			if b.Name == s.Name {
				old = b
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t  %s\n",
			number(s.Bytes), number(s.Nanoseconds/1000), number(old.Bytes), number(old.Nanoseconds/1000), s.Name)
	}
	_ = table.Flush() // a failing standard output has no other place to be reported
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, slopes)
}

// number prints a figure. Zero stands for one that was not measured.
func number(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%.4g", v)
}
