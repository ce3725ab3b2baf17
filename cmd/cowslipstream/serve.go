package main

import (
	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csnode"
	"cowslipstream.example/cowslipstream/cssettings"
	"cowslipstream.example/cowslipstream/csyaml"
)

const serveUsage = `Runs an entry node until it is interrupted. On SIGTERM or SIGINT the node
finishes the requests in flight and stops.

  cowslipstream serve --settings /etc/cowslipstream.yaml`

type serveCommand struct {
	*app
	Settings string `long:"settings" value-name:"FILE" description:"settings of the node" required:"true"`
}

// Execute runs the subcommand.
func (c *serveCommand) Execute([]string) error {
	data, err := c.readFile(c.Settings, csyaml.MaxSize)
	if err != nil {
		return err
	}
	settings, err := cssettings.Parse(c.Settings, data)
	if err != nil {
		return err
	}
	log, err := cslog.New(settings.Log, c.stderr)
	if err != nil {
		return err
	}
	return csnode.Serve(c.ctx, settings, log)
}
