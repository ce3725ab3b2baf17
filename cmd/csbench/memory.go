package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"cowslipstream.example/cowslipstream/csmeasure"
	"cowslipstream.example/cowslipstream/csmodel"
)

const memoryUsage = `Runs one entry node in this process, announces 100, 800 and 3,200 targets to it
and prints the resident size. It takes about 15 s and works on Linux.

  csbench memory --out memory.json`

type memoryCommand struct {
	*app
	Out     string `long:"out" value-name:"FILE" description:"write the figures as JSON"`
	Compare string `long:"compare" value-name:"FILE" description:"print the figures of this file as well"`
}

// Execute runs the subcommand.
func (c *memoryCommand) Execute([]string) error {
	before := map[int]csmeasure.Resident{}
	if c.Compare != "" {
		var list []csmeasure.Resident
		if err := readJSON(c.Compare, &list); err != nil {
			return err
		}
		for _, r := range list {
			before[r.Targets] = r
		}
	}
	all, err := csmeasure.Memory(context.Background())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "targets\tresident MiB\theap MiB\tresident before\t")
	for _, r := range all {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t\n", r.Targets, mebibytes(r.Bytes), mebibytes(r.Heap), mebibytes(before[r.Targets].Bytes))
	}
	_ = table.Flush() // a failing standard output has no other place to be reported
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, all)
}

func mebibytes(b csmodel.Bytes) string {
	if b == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f", float64(b)/float64(csmodel.MiB))
}
