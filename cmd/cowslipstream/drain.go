package main

import (
	"context"
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csmodel"
)

const drainUsage = `Drains a VM or an entry node: it receives no new work, and work in flight
finishes. With --wait, the command waits until nothing is left. A drain that
would exceed the availability budget of a pool is refused.

  cowslipstream drain --node 10.0.0.1:7000 --wait vm web-17
  cowslipstream drain --node 10.0.0.1:7000 node entry-a2`

// drainInterval is the interval in which --wait asks for the progress.
const drainInterval = time.Second

type drainCommand struct {
	*app
	connection
	identity
	Wait bool `long:"wait" description:"wait until nothing is left"`
	Args struct {
		Kind string `positional-arg-name:"vm|node" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the subcommand.
func (c *drainCommand) Execute([]string) error {
	drain, err := c.drain()
	if err != nil {
		return err
	}
	client, err := c.operator(c.app, c.identity)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	progress, err := c.follow(ctx, client, drain)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(progress)
	}
	if progress.Complete {
		fmt.Fprintf(c.stdout, "%s %s is drained\n", c.Args.Kind, c.Args.Name)
		return nil
	}
	fmt.Fprintf(c.stdout, "%s %s is draining, %d left\n", c.Args.Kind, c.Args.Name, progress.Left)
	return nil
}

func (c *drainCommand) drain() (csapi.Drain, error) {
	switch c.Args.Kind {
	case "vm":
		return csapi.Drain{VM: csmodel.VMID(c.Args.Name)}, nil
	case "node":
		return csapi.Drain{Node: csmodel.NodeID(c.Args.Name)}, nil
	default:
		return csapi.Drain{}, wrongUsage("drain takes vm or node, not %q", c.Args.Kind)
	}
}

func (c *drainCommand) follow(ctx context.Context, client *csclient.Client, d csapi.Drain) (csapi.Drained, error) {
	for {
		progress, err := client.Drain(ctx, d)
		if err != nil || progress.Complete || !c.Wait {
			return progress, err
		}
		select {
		case <-ctx.Done():
			return progress, fmt.Errorf("%d left: %w", progress.Left, context.Cause(ctx))
		case <-time.After(drainInterval):
		}
	}
}
