package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cowslipstream.example/cowslipstream/csyaml"
)

// Exit statuses.
const (
	exitDone    = 0
	exitFailure = 1
	exitUsage   = 2
)

// app is what every subcommand needs.
type app struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// usageError is wrong usage or input.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func wrongUsage(format string, args ...any) error {
	return &usageError{cause: fmt.Errorf(format, args...)}
}

// reported is a failure that the subcommand has already printed.
type reported struct {
	status int
}

func (r *reported) Error() string { return fmt.Sprintf("exit status %d", r.status) }

// command describes a subcommand. Its usage text is in its own file.
type command struct {
	name, short, usage string
	run                flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"serve", "Run an entry node", serveUsage, &serveCommand{app: a}},
		{"store", "Run a store on the platform", storeUsage, &storeCommand{app: a}},
		{"entry", "Run an entry on the platform", entryUsage, &entryCommand{app: a}},
		{"demo", "Run a whole installation in one process", demoUsage, &demoCommand{app: a}},
		{"check", "Check a settings or configuration file", checkUsage, &checkCommand{app: a}},
		{"apply", "Submit a configuration", applyUsage, &applyCommand{app: a}},
		{"status", "Show nodes, pools, VMs and waves", statusUsage, &statusCommand{app: a}},
		{"dump", "Show the internal state of a node", dumpUsage, &dumpCommand{app: a}},
		{"drain", "Drain a VM or an entry node", drainUsage, &drainCommand{app: a}},
		{"wave", "Show, pause or resume maintenance waves", waveUsage, &waveCommand{app: a}},
		{"submit", "Submit a deferred task", submitUsage, &submitCommand{app: a}},
		{"cancel", "Cancel deferred tasks", cancelUsage, &cancelCommand{app: a}},
		{"version", "Show the version", versionUsage, &versionCommand{app: a}},
	}
}

// run executes one command line and returns the exit status.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("cowslipstream", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.usage, c.run); err != nil {
			fmt.Fprintln(stderr, "cowslipstream:", err)
			return exitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	return a.finish(err)
}

func (a *app) finish(err error) int {
	var usage *usageError
	var parsing *flags.Error
	var done *reported
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &done):
		return done.status
	case errors.As(err, &parsing) && parsing.Type == flags.ErrHelp:
		fmt.Fprintln(a.stdout, parsing.Message)
		return exitDone
	case errors.As(err, &parsing):
		fmt.Fprintln(a.stderr, "cowslipstream:", parsing.Message)
		return exitUsage
	case csyaml.List(err) != nil:
		csyaml.List(err).Print(a.stderr)
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(a.stderr, "cowslipstream:", err)
		return exitUsage
	default:
		fmt.Fprintln(a.stderr, "cowslipstream:", err)
		return exitFailure
	}
}

// readFile reads a file of at most limit bytes. The name - stands for standard input.
func (a *app) readFile(name string, limit int64) ([]byte, error) {
	in := a.stdin
	if name != "-" {
		file, err := os.Open(name) // #nosec G304 -- the operator names the file
		if err != nil {
			return nil, &usageError{cause: err}
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if int64(len(data)) > limit {
		return nil, wrongUsage("%s has more than %d bytes", name, limit)
	}
	return data, nil
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
