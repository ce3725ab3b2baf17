package main

import (
	"context"
	"errors"
	"io"
)

const demoUsage = `Runs an installation of 3 availability zones in one process on loopback for
about 15 s, injects faults, prints the measures and exits 0 only where every
invariant held.

  cowslipstream demo`

type demoCommand struct {
	*app
}

// Execute runs the subcommand.
func (c *demoCommand) Execute([]string) error {
	return demo(c.ctx, c.stdout)
}

var errDemo = errors.New("demo: this build contains no entry node")

// demo runs the demonstration and prints its report.
func demo(_ context.Context, _ io.Writer) error {
	return errDemo
}
