package main

import (
	"bytes"
	"encoding/json"
)

const dumpUsage = `Shows the internal state of one node as JSON, for fault reports. It holds no
secrets.

  cowslipstream dump --node 10.0.0.1:7000 > dump.json`

type dumpCommand struct {
	*app
	connection
	identity
}

// Execute runs the subcommand.
func (c *dumpCommand) Execute([]string) error {
	client, err := c.operator(c.app, c.identity)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	dump, err := client.Dump(ctx)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, dump, "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(c.stdout)
	return err
}
