// Package csdispatch sends attempts to targets over HTTP and verifies their responses.
package csdispatch

import (
	"context"
	"time"

	"cowslipstream.example/cowslipstream/csrequest"
)

// Headers between nodes and targets.
const (
	HeaderAttempt     = "Cowslip-Attempt"
	HeaderIncarnation = "Cowslip-Incarnation"
	HeaderJob         = "Cowslip-Job"
	HeaderTimeout     = "Cowslip-Timeout"
	HeaderStarted     = "Cowslip-Started"
	HeaderDigest      = "Content-Digest"
)

// Config configures a Client. Zero fields take defaults.
type Config struct {
	// Connect is the limit for opening a connection.
	Connect time.Duration
	// Idle is the time after which an unused connection is closed.
	Idle time.Duration
}

// Client sends attempts to targets.
type Client struct{}

// NewClient returns a client without connections.
func NewClient(c Config) *Client { return &Client{} }

// Do sends one attempt and returns its AttemptAnswered, AttemptRefused or AttemptFailed event. It returns at the latest
// when the limit of the dispatch has passed or the context has ended.
func (c *Client) Do(ctx context.Context, d csrequest.Dispatch, body []byte) csrequest.Event {
	return csrequest.AttemptFailed{Attempt: d.Attempt}
}

// Close closes all connections that are not in use.
func (c *Client) Close() {}

// Digest returns the value of the header Content-Digest (RFC 9530, sha-256) for a body.
func Digest(body []byte) string { return "" }
