package main

import (
	"context"
	"errors"
	"io"

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
	return serve(c.ctx, settings, c.stderr)
}

var errServe = errors.New("serve: this build contains no entry node")

// serve runs a node until the context ends. It logs to the given writer.
func serve(_ context.Context, _ cssettings.Settings, _ io.Writer) error {
	return errServe
}
