package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitDone    = 0
	exitFailure = 1
	exitUsage   = 2
)

// app is what every subcommand needs.
type app struct {
	stdout io.Writer
}

// command describes a subcommand. Its usage text is in its own file.
type command struct {
	name, short, usage string
	run                flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"policies", "Measure the capacity policies", policiesUsage, &policiesCommand{app: a}},
		{"slopes", "Measure bytes and processor time per item", slopesUsage, &slopesCommand{app: a}},
		{"memory", "Measure the resident size of a node", memoryUsage, &memoryCommand{app: a}},
	}
}

// run executes one command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout}
	parser := flags.NewNamedParser("csbench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.usage, c.run); err != nil {
			fmt.Fprintln(stderr, "csbench:", err)
			return exitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	var parsing *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &parsing) && parsing.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, parsing.Message)
		return exitDone
	case errors.As(err, &parsing):
		fmt.Fprintln(stderr, "csbench:", parsing.Message)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "csbench:", err)
		return exitFailure
	}
}
