package main

import (
	"context"
	"fmt"
	"io"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csmodel"
)

const waveUsage = `Shows the progress of maintenance waves and what blocks them, or pauses or
resumes one. VMs that are already in maintenance finish during a pause.

  cowslipstream wave --node 10.0.0.1:7000
  cowslipstream wave --node 10.0.0.1:7000 pause kernel
  cowslipstream wave --node 10.0.0.1:7000 resume kernel`

type waveCommand struct {
	*app
	connection
	identity
	Args struct {
		Action string `positional-arg-name:"pause|resume"`
		Name   string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute runs the subcommand.
func (c *waveCommand) Execute([]string) error {
	if err := c.checkArgs(); err != nil {
		return err
	}
	client, err := c.operator(c.app, c.identity)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	waves, err := c.call(ctx, client)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(waves)
	}
	if waves.Stale {
		fmt.Fprintln(c.stdout, "stale: no contact with the leader")
	}
	table := newTable(c.stdout)
	printWaves(table, waves.Waves)
	return table.Flush()
}

func (c *waveCommand) checkArgs() error {
	switch {
	case c.Args.Action == "":
		return nil
	case c.Args.Action != "pause" && c.Args.Action != "resume":
		return wrongUsage("wave takes pause or resume, not %q", c.Args.Action)
	case c.Args.Name == "":
		return wrongUsage("name the wave to %s", c.Args.Action)
	default:
		return nil
	}
}

func (c *waveCommand) call(ctx context.Context, client *csclient.Client) (csapi.Waves, error) {
	name := csmodel.WaveID(c.Args.Name)
	var wave csapi.Wave
	var err error
	switch c.Args.Action {
	case "pause":
		wave, err = client.Pause(ctx, name)
	case "resume":
		wave, err = client.Resume(ctx, name)
	default:
		return client.Waves(ctx)
	}
	return csapi.Waves{Waves: []csapi.Wave{wave}}, err
}

func printWaves(w io.Writer, waves []csapi.Wave) {
	if len(waves) == 0 {
		return
	}
	fmt.Fprintln(w, "\nWAVE\tSTATE\tPASS\tDONE\tTOTAL\tACTIVE\tDUE")
	for _, v := range waves {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			v.Name, v.State, v.Pass, v.Done, v.Total, len(v.Active), formatTime(v.Due))
	}
	for _, v := range waves {
		for _, b := range v.Blockers {
			fmt.Fprintf(w, "%s is blocked: %s: %s\n", v.Name, b.Kind, b.Reason)
		}
	}
}
