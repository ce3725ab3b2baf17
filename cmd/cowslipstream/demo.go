package main

import (
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csdemo"
	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cssettings"
)

const demoUsage = `Runs an installation of 3 availability zones in one process on loopback for
about 15 s, injects faults, prints the measures and exits 0 only where every
invariant held.

  cowslipstream demo`

type demoCommand struct {
	*app
	Verbose bool `long:"verbose" description:"log the events of all nodes to standard error"`
}

// Execute runs the subcommand.
func (c *demoCommand) Execute([]string) error {
	log := zap.NewNop()
	if c.Verbose {
		verbose, err := cslog.New(cssettings.LevelInfo, c.stderr)
		if err != nil {
			return err
		}
		log = verbose
	}
	result, err := csdemo.Run(c.ctx, c.stdout, csdemo.Layout{
		Region: "demo", Zones: []csmodel.AvailabilityZone{"north", "south", "east"}, NodesPerZone: 2, Voters: 3, Log: log,
	})
	if err != nil {
		return err
	}
	result.Print(c.stdout)
	if !result.Held() {
		return &reported{status: exitFailure}
	}
	return nil
}
