package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csyaml"
)

const applyUsage = `Checks a configuration and submits it. The submission is based on the newest
revision, or on --base where the file was edited from an older one. Of two
submissions with the same base one wins and the other is refused as a conflict.
With --wait, the command waits until every reachable node has the revision.
Exits 0 where the revision is accepted (with --wait: active on every node), 1
for a conflict or an unreachable node, 2 for an invalid configuration.

  cowslipstream apply --node 10.0.0.1:7000 --wait fleet.yaml`

type applyCommand struct {
	*app
	connection
	identity
	Base *uint64 `long:"base" value-name:"N" description:"revision that the file is based on; default: the newest one"`
	ID   string  `long:"id" description:"submission id of an earlier call whose response was lost"`
	Wait bool    `long:"wait" description:"wait until every reachable node has the revision"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// applyReport is the JSON output.
type applyReport struct {
	csapi.Verdict
	Active      []csmodel.NodeID `json:"active,omitempty"`
	Pending     []csmodel.NodeID `json:"pending,omitempty"`
	Unreachable []csmodel.NodeID `json:"unreachable,omitempty"`
}

// Execute runs the subcommand.
func (c *applyCommand) Execute([]string) error {
	text, err := c.readFile(c.Args.File, csyaml.MaxSize)
	if err != nil {
		return err
	}
	if _, err := csconfig.Parse(c.Args.File, text); err != nil {
		return err
	}
	client, err := c.operator(c.app, c.identity)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.context(c.app)
	defer cancel()
	base, err := c.base(ctx, client)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	submission := csapi.Submission{ID: csmodel.SubmissionID(c.ID), Base: base, Text: string(text)}
	verdict, err := client.Apply(ctx, submission)
	if err != nil {
		return fmt.Errorf("submission %s: %w; repeat it with --id %s --base %d", c.ID, err, c.ID, base)
	}
	return c.finish(ctx, client, verdict)
}

func (c *applyCommand) base(ctx context.Context, client *csclient.Client) (csmodel.Revision, error) {
	if c.Base != nil {
		return csmodel.Revision(*c.Base), nil
	}
	newest, err := client.Revision(ctx, 0)
	if csclient.IsProblem(err, http.StatusNotFound) {
		return 0, nil
	}
	return newest.Revision, err
}

func (c *applyCommand) finish(ctx context.Context, client *csclient.Client, verdict csapi.Verdict) error {
	report := applyReport{Verdict: verdict}
	var waited error
	if c.Wait && verdict.Result == csapi.Accepted {
		var r csapi.Revision
		r, waited = client.Await(ctx, verdict.Revision)
		report.Active, report.Pending, report.Unreachable = r.Active, r.Pending, r.Unreachable
	}
	if c.JSON {
		if err := c.printJSON(report); err != nil {
			return err
		}
	} else {
		c.print(report)
	}
	if waited != nil {
		return fmt.Errorf("revision %d is accepted; waiting for the nodes: %w", verdict.Revision, waited)
	}
	switch {
	case verdict.Result == csapi.Invalid:
		return &reported{status: exitUsage}
	case verdict.Result != csapi.Accepted || len(report.Unreachable) > 0:
		return &reported{status: exitFailure}
	default:
		return nil
	}
}

func (c *applyCommand) print(r applyReport) {
	switch r.Result {
	case csapi.Accepted:
		fmt.Fprintf(c.stdout, "revision %d accepted\n", r.Revision)
		if c.Wait {
			fmt.Fprintf(c.stdout, "active on %d nodes\n", len(r.Active))
			printNodes(c.app, "pending", r.Pending)
			printNodes(c.app, "unreachable", r.Unreachable)
		}
	case csapi.Conflict:
		fmt.Fprintf(c.stderr, "conflict: the newest revision is %d\n", r.Revision)
		if w := r.Winner; w != nil {
			fmt.Fprintf(c.stderr, "submission %s of %s won as revision %d\n", w.ID, w.Operator, w.Revision)
			for _, change := range w.Changes {
				fmt.Fprintf(c.stderr, "  %s %s\n", change.Kind, change.Path)
			}
			if w.More > 0 {
				fmt.Fprintf(c.stderr, "  and %d more\n", w.More)
			}
		}
	case csapi.Invalid:
		for _, f := range r.Faults {
			csyaml.Fault{
				File: c.Args.File, Line: f.Line, Column: f.Column, Path: f.Path, Reason: f.Reason, Fix: f.Fix,
			}.Print(c.stderr)
		}
	}
}

func printNodes(a *app, label string, nodes []csmodel.NodeID) {
	if len(nodes) == 0 {
		return
	}
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = string(n)
	}
	fmt.Fprintf(a.stdout, "%s: %s\n", label, strings.Join(names, ", "))
}
