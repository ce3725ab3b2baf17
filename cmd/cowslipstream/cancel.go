package main

import (
	"errors"
	"fmt"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csmodel"
)

const cancelUsage = `Cancels deferred tasks. A task that finished first keeps its result, which the
printed state shows. Cancelling twice is harmless.

  cowslipstream cancel --node 10.0.0.1:7000 --team lab 1f0c... 77ab...`

type cancelCommand struct {
	*app
	connection
	Team string `long:"team" value-name:"NAME" description:"team that the tasks belong to" required:"true"`
	Args struct {
		IDs []string `positional-arg-name:"TASK" required:"1"`
	} `positional-args:"true"`
}

// Execute runs the subcommand.
func (c *cancelCommand) Execute([]string) error {
	client := c.caller(c.Team)
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	tasks := []csapi.Task{}
	var failed []error
	for _, id := range c.Args.IDs {
		task, err := client.Cancel(ctx, csmodel.TaskID(id))
		if err != nil {
			failed = append(failed, fmt.Errorf("task %s: %w", id, err))
			continue
		}
		tasks = append(tasks, task)
		if !c.JSON {
			fmt.Fprintf(c.stdout, "task %s %s\n", task.ID, task.State)
		}
	}
	if c.JSON {
		if err := c.printJSON(tasks); err != nil {
			return err
		}
	}
	return errors.Join(failed...)
}
