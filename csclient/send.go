package csclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"cowslipstream.example/cowslipstream/csapi"
)

var errBody = errors.New("unexpected body")

func isUnsent(err error) bool {
	var failed *sendError
	return errors.As(err, &failed) && !failed.sent
}

// send sends a message that may be repeated, to one node after the other, until one responds with a success or a final
// problem. A JSON body with one of the accepted statuses counts as success too.
func (c *Client) send(ctx context.Context, m message, accept ...int) (reply, error) {
	return retry(ctx, c, func(address string) (reply, error) {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		r, err := c.exchange(ctx, address, m)
		if err != nil {
			return reply{}, err
		}
		if slices.Contains(accept, r.status) && r.hasType(csapi.JSONType) {
			return r, nil
		}
		return r, c.judge(r)
	})
}

// judge returns nil for a success, a plain error where another node may succeed and a permanent one elsewhere.
func (c *Client) judge(r reply) error {
	switch {
	case r.status < http.StatusMultipleChoices:
		return nil
	case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
		return c.notRun(r)
	case r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout:
		return r.problem()
	default:
		return permanent(r.problem())
	}
}

// call sends a message and decodes the JSON body of the response.
func call[T any](ctx context.Context, c *Client, m message, accept ...int) (T, error) {
	var value T
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	r, err := c.send(ctx, m, accept...)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(r.body, &value); err != nil {
		return value, fmt.Errorf("%w: %w", errBody, err)
	}
	return value, nil
}
