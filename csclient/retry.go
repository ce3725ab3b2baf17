package csclient

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retry runs attempts at one node after the other until one succeeds, one fails permanently or the context ends. The
// error of the last attempt is returned, not that of the context.
//
// A refusal with a delay moves on to the next node at once. When every node has refused, the shortest of their delays
// is waited for. A delay beyond the deadline ends the call, since waiting could not help.
func retry[T any](ctx context.Context, c *Client, attempt func(address string) (T, error)) (T, error) {
	var zero T
	if len(c.options.Nodes) == 0 {
		return zero, ErrNoNodes
	}
	node := c.firstNode()
	var last error
	var delays roundDelays
	operation := func() (T, error) {
		value, err := attempt(c.address(node))
		node++
		last = err
		return value, delays.apply(err, len(c.options.Nodes))
	}
	value, err := backoff.Retry(ctx, operation, c.retryOptions(ctx)...)
	if err != nil {
		return zero, unmarked(last)
	}
	return value, nil
}

func (c *Client) retryOptions(ctx context.Context) []backoff.RetryOption {
	left := DefaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = max(time.Until(deadline), 1)
	}
	return []backoff.RetryOption{
		backoff.WithBackOff(c.options.Backoff()),
		backoff.WithMaxElapsedTime(left),
	}
}

// roundDelays collects the delays that nodes ask for in one round over the list of nodes.
type roundDelays struct {
	tries    int
	shortest time.Duration
}

func (d *roundDelays) apply(err error, nodes int) error {
	d.tries++
	delay := time.Duration(0)
	var refused *NotRunError
	if errors.As(err, &refused) {
		delay = refused.RetryAfter
	}
	if first := (d.tries-1)%nodes == 0; first || delay < d.shortest {
		d.shortest = delay
	}
	if d.tries%nodes != 0 || d.shortest == 0 || isPermanent(err) {
		return err
	}
	return &backoff.RetryAfterError{Duration: d.shortest}
}

func isPermanent(err error) bool {
	var permanent *backoff.PermanentError
	return err == nil || errors.As(err, &permanent)
}

// permanent marks an error that another attempt cannot change.
func permanent(err error) error { return backoff.Permanent(err) }

// unmarked removes the mark.
func unmarked(err error) error {
	var p *backoff.PermanentError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

// withTimeout adds the default timeout to a context without deadline.
func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}
