package main

import (
	"errors"
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csmodel"
)

const submitUsage = `Submits a deferred task whose input is a file, or - for standard input. An
accepted task is not lost. Where the outcome is unknown, submit it again with
the same --id: a repeated id returns the first acceptance.

  cowslipstream submit --node 10.0.0.1:7000 --team lab --within 8h study input.bin`

type submitCommand struct {
	*app
	connection
	Team     string        `long:"team" value-name:"NAME" description:"team that the task belongs to" required:"true"`
	ID       string        `long:"id" description:"task id; default: a random one"`
	Deadline string        `long:"deadline" value-name:"TIME" description:"deadline in RFC 3339"`
	Within   time.Duration `long:"within" value-name:"TIME" description:"deadline from now, for example 8h"`
	Args     struct {
		Job  string `positional-arg-name:"JOB" required:"true"`
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the subcommand.
func (c *submitCommand) Execute([]string) error {
	deadline, err := c.deadline(time.Now())
	if err != nil {
		return err
	}
	body, err := c.readFile(c.Args.File, csapi.MaxBody)
	if err != nil {
		return err
	}
	client := c.caller(c.Team)
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	task, err := client.Submit(ctx, csclient.Task{
		ID: csmodel.TaskID(c.ID), Job: csmodel.JobID(c.Args.Job), Deadline: deadline, Body: body,
	})
	if errors.Is(err, csclient.ErrUnknown) {
		return fmt.Errorf("task %s: %w; submit it again with --id %s", task.ID, err, task.ID)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(task)
	}
	fmt.Fprintf(c.stdout, "task %s %s\n", task.ID, task.State)
	return nil
}

func (c *submitCommand) deadline(now time.Time) (time.Time, error) {
	switch {
	case (c.Deadline == "") == (c.Within == 0):
		return time.Time{}, wrongUsage("give one of --deadline and --within")
	case c.Within < 0:
		return time.Time{}, wrongUsage("--within %s is negative", c.Within)
	case c.Within > 0:
		return now.Add(c.Within), nil
	}
	deadline, err := time.Parse(time.RFC3339, c.Deadline)
	if err != nil {
		return time.Time{}, wrongUsage("--deadline %q is not RFC 3339, for example 2026-03-01T04:00:00Z", c.Deadline)
	}
	return deadline, nil
}
