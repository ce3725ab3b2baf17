package csrequest

import (
	"errors"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// ErrKey is returned for a text that is not an idempotency key.
var ErrKey = errors.New("malformed idempotency key")

// Key is an idempotency key. It names the node that issued it, which alone executes requests with the key.
type Key struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Sequence    uint64
	Issued      time.Time // in milliseconds
}

// String returns the text form.
func (k Key) String() string { return "" }

// ParseKey parses the text form.
func ParseKey(text string) (Key, error) { return Key{}, ErrKey }
