package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
)

const statusUsage = `Shows entry nodes, pools and maintenance waves as one node sees them, with
--vms also every VM. A node that has lost contact with the leader says so.

  cowslipstream status --node 10.0.0.1:7000 --vms`

type statusCommand struct {
	*app
	connection
	identity
	VMs bool `long:"vms" description:"show every VM"`
}

// Execute runs the subcommand.
func (c *statusCommand) Execute([]string) error {
	client, err := c.operator(c.app, c.identity)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(s)
	}
	return c.print(s)
}

func (c *statusCommand) print(s csapi.Status) error {
	fmt.Fprintf(c.stdout, "node %s, region %s, availability zone %s, revision %d%s\n",
		s.Node, s.Region, s.Zone, s.Revision, staleMark(s.Stale))
	table := newTable(c.stdout)
	fmt.Fprintln(table, "\nNODE\tREGION\tZONE\tSTATE\tREVISION\tFAULT")
	for _, n := range s.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", n.Name, n.Region, n.Zone, n.State, n.Revision, n.Fault)
	}
	fmt.Fprintln(table, "\nPOOL\tSIZE\tBUDGET\tUNAVAILABLE\tSERVING\tLENT\tBORROWED\tSLOTS\tBUSY\tQUEUED")
	for _, p := range s.Pools {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			p.Name, p.Size, p.Budget, p.Unavailable, p.Serving, p.Lent, p.Borrowed, p.Slots, p.Busy, p.Queued)
	}
	printWaves(table, s.Waves)
	if c.VMs {
		printVMs(table, s.VMs)
	}
	return table.Flush()
}

func printVMs(w io.Writer, vms []csapi.VM) {
	fmt.Fprintln(w, "\nVM\tHOME\tPOOL\tZONE\tRACK\tSTATE\tFENCE\tSERVICED")
	for _, v := range vms {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			v.ID, v.Home, v.Pool, v.Zone, v.Rack, v.State, v.Fence, formatTime(v.Serviced))
	}
}

// tablePadding is the space between columns.
const tablePadding = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.DiscardEmptyColumns)
}

func staleMark(stale bool) string {
	if stale {
		return ", stale: no contact with the leader"
	}
	return ""
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
