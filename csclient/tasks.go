package csclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Task is deferred work of a caller.
type Task struct {
	// ID identifies the task over resends. Empty takes a random one.
	ID       csmodel.TaskID
	Job      csmodel.JobID
	Deadline time.Time
	Body     []byte
}

// Submit hands over a task. Without error the task is accepted and is not lost. Otherwise the error is ErrNotRun or
// ErrUnknown; after ErrUnknown the same task may be submitted again with the id in the returned task.
func (c *Client) Submit(ctx context.Context, t Task) (csapi.Task, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	if t.ID == "" {
		t.ID = csmodel.TaskID(uuid.NewString())
	}
	call := submitCall{client: c, message: submitMessage(c.options.Team, t)}
	accepted, err := retry(ctx, c, func(address string) (csapi.Task, error) { return call.attempt(ctx, address) })
	if err == nil {
		return accepted, nil
	}
	if call.open != nil {
		err = &UnknownError{Cause: call.open}
	}
	return csapi.Task{ID: t.ID, Job: t.Job, Team: c.options.Team, Deadline: t.Deadline}, err
}

func submitMessage(team csmodel.TeamID, t Task) message {
	header := http.Header{}
	header.Set(csapi.TeamHeader, string(team))
	header.Set(csapi.DeadlineHeader, t.Deadline.UTC().Format(time.RFC3339Nano))
	header.Set(csapi.KeyHeader, string(t.ID))
	header.Set(csapi.DigestHeader, csapi.Digest(t.Body))
	return message{method: http.MethodPost, path: csapi.TasksPath(t.Job), header: header, body: t.Body}
}

// submitCall is one Submit over all its attempts.
type submitCall struct {
	client  *Client
	message message
	// open is the first fault that left the outcome open.
	open error
}

func (sc *submitCall) attempt(ctx context.Context, address string) (csapi.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := sc.client.exchange(ctx, address, sc.message)
	if isUnsent(err) {
		return csapi.Task{}, &NotRunError{Cause: err}
	}
	if err != nil {
		return csapi.Task{}, sc.leaveOpen(err)
	}
	switch csapi.Outcome(r.header.Get(csapi.OutcomeHeader)) {
	case csapi.Answer:
		return sc.accepted(r)
	case csapi.NotRun:
		refused := sc.client.notRun(r)
		if !retryable(r.status) {
			return csapi.Task{}, permanent(refused)
		}
		return csapi.Task{}, refused
	case csapi.Unknown:
		return csapi.Task{}, sc.leaveOpen(r.problem())
	default:
		return csapi.Task{}, sc.leaveOpen(errNoOutcome)
	}
}

func (sc *submitCall) accepted(r reply) (csapi.Task, error) {
	var t csapi.Task
	if err := json.Unmarshal(r.body, &t); err != nil {
		return csapi.Task{}, sc.leaveOpen(fmt.Errorf("%w: %w", errBody, err))
	}
	if string(t.ID) != sc.message.header.Get(csapi.KeyHeader) {
		return csapi.Task{}, sc.leaveOpen(errKey)
	}
	return t, nil
}

func (sc *submitCall) leaveOpen(err error) error {
	if sc.open == nil {
		sc.open = err
	}
	return &UnknownError{Cause: err}
}

// Task returns the state of a task.
func (c *Client) Task(ctx context.Context, id csmodel.TaskID) (csapi.Task, error) {
	return c.taskCall(ctx, http.MethodGet, id)
}

// Cancel cancels a task and returns its state, which is finished where the task finished first.
func (c *Client) Cancel(ctx context.Context, id csmodel.TaskID) (csapi.Task, error) {
	return c.taskCall(ctx, http.MethodDelete, id)
}

func (c *Client) taskCall(ctx context.Context, method string, id csmodel.TaskID) (csapi.Task, error) {
	header := http.Header{}
	header.Set(csapi.TeamHeader, string(c.options.Team))
	t, err := call[csapi.Task](ctx, c, message{method: method, path: csapi.TaskPath(id), header: header})
	if err == nil && t.ID != id {
		return csapi.Task{}, fmt.Errorf("%w: task %s", errBody, t.ID)
	}
	return t, err
}
