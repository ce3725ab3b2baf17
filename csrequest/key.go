package csrequest

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// ErrKey is returned for a text that is not an idempotency key.
var ErrKey = errors.New("malformed idempotency key")

const (
	keyBase  = 36 // number base of the text form
	keyParts = 5
)

// Key is an idempotency key. It names the node that issued it, which alone executes requests with the key.
type Key struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Sequence    uint64
	Issued      time.Time // in milliseconds
}

// String returns the text form: checksum, incarnation, sequence, issue time and node, separated by dots.
func (k Key) String() string {
	body := fmt.Sprintf("%s.%s.%s.%s",
		strconv.FormatUint(uint64(k.Incarnation), keyBase),
		strconv.FormatUint(k.Sequence, keyBase),
		strconv.FormatInt(k.Issued.UnixMilli(), keyBase),
		k.Node,
	)
	return checksum(body) + "." + body
}

// ParseKey parses the text form. A key whose issue time was altered could outlive its record, so the checksum must match.
func ParseKey(text string) (Key, error) {
	parts := strings.SplitN(text, ".", keyParts)
	if len(parts) != keyParts || parts[4] == "" {
		return Key{}, ErrKey
	}
	if checksum(text[len(parts[0])+1:]) != parts[0] {
		return Key{}, ErrKey
	}
	incarnation, err1 := strconv.ParseUint(parts[1], keyBase, 64)
	sequence, err2 := strconv.ParseUint(parts[2], keyBase, 64)
	issued, err3 := strconv.ParseInt(parts[3], keyBase, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Key{}, ErrKey
	}
	return Key{
		Node:        csmodel.NodeID(parts[4]),
		Incarnation: csmodel.Incarnation(incarnation),
		Sequence:    sequence,
		Issued:      time.UnixMilli(issued),
	}, nil
}

// checksum detects mistyped and altered keys. It is no protection against forgery.
func checksum(body string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(body)))
}
