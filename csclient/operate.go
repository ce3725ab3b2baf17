package csclient

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Apply submits a configuration in its YAML form. Lost responses are answered by resending with the same id, for which
// nodes repeat their first verdict. An empty id takes a random one. A conflict or an invalid configuration is a
// verdict, not an error.
func (c *Client) Apply(ctx context.Context, s csapi.Submission) (csapi.Verdict, error) {
	if s.ID == "" {
		s.ID = csmodel.SubmissionID(uuid.NewString())
	}
	body, err := json.Marshal(s)
	if err != nil {
		return csapi.Verdict{}, err
	}
	m := c.operator(http.MethodPost, csapi.RevisionsPath)
	m.header.Set(csapi.TypeHeader, csapi.JSONType)
	m.body = body
	return call[csapi.Verdict](ctx, c, m, http.StatusConflict, http.StatusUnprocessableEntity)
}

// ApplyConfiguration is Apply for a configuration written in Go.
func (c *Client) ApplyConfiguration(
	ctx context.Context, configuration csconfig.Configuration, base csmodel.Revision,
) (csapi.Verdict, error) {
	text, err := csconfig.Print(configuration)
	if err != nil {
		return csapi.Verdict{}, err
	}
	return c.Apply(ctx, csapi.Submission{Base: base, Text: string(text)})
}

// Revision returns an accepted revision and where it is active. 0 stands for the newest one.
func (c *Client) Revision(ctx context.Context, n csmodel.Revision) (csapi.Revision, error) {
	return call[csapi.Revision](ctx, c, c.operator(http.MethodGet, csapi.RevisionPath(n)))
}

// pollInterval is the interval in which nodes exchange their revisions.
const pollInterval = 500 * time.Millisecond

// Await polls a revision until every reachable node has it, or the context ends. It returns the last state seen.
func (c *Client) Await(ctx context.Context, n csmodel.Revision) (csapi.Revision, error) {
	for {
		r, err := c.Revision(ctx, n)
		if err != nil || len(r.Pending) == 0 {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, context.Cause(ctx)
		case <-c.options.Clock.After(pollInterval):
		}
	}
}

// Status returns the state of the fleet as one node sees it.
func (c *Client) Status(ctx context.Context) (csapi.Status, error) {
	return call[csapi.Status](ctx, c, c.operator(http.MethodGet, csapi.StatusPath))
}

// Dump returns the internal state of one node as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, c.operator(http.MethodGet, csapi.DumpPath))
}

// Drain starts to drain a VM or an entry node, or returns the progress where that was started before.
func (c *Client) Drain(ctx context.Context, d csapi.Drain) (csapi.Drained, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return csapi.Drained{}, err
	}
	m := c.operator(http.MethodPost, csapi.DrainsPath)
	m.header.Set(csapi.TypeHeader, csapi.JSONType)
	m.body = body
	return call[csapi.Drained](ctx, c, m)
}

// Waves returns the progress of all maintenance waves.
func (c *Client) Waves(ctx context.Context) (csapi.Waves, error) {
	return call[csapi.Waves](ctx, c, c.operator(http.MethodGet, csapi.WavesPath))
}

// Pause pauses a wave. VMs that are already in maintenance finish.
func (c *Client) Pause(ctx context.Context, wave csmodel.WaveID) (csapi.Wave, error) {
	return call[csapi.Wave](ctx, c, c.operator(http.MethodPost, csapi.PausePath(wave)))
}

// Resume resumes a paused wave.
func (c *Client) Resume(ctx context.Context, wave csmodel.WaveID) (csapi.Wave, error) {
	return call[csapi.Wave](ctx, c, c.operator(http.MethodPost, csapi.ResumePath(wave)))
}

func (c *Client) operator(method, path string) message {
	header := http.Header{}
	if c.options.Token != "" {
		header.Set(csapi.AuthorizationHeader, csapi.BearerPrefix+c.options.Token)
	}
	return message{method: method, path: path, header: header}
}
