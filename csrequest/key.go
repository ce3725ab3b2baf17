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

// ErrKey is returned by ParseKey for a malformed or altered idempotency key.
var ErrKey = errors.New("malformed idempotency key")

const (
	keyBase  = 36 // base of the numbers in the text form
	keyParts = 5  // checksum, incarnation, sequence, issue time, node
)

// Key is an idempotency key. Only Node, the node that issued it (its owner), executes requests with the key.
type Key struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Sequence    uint64
	Issued      time.Time // millisecond precision
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

// ParseKey parses the text form of a key. It returns ErrKey if the text is malformed or its checksum is wrong: a key with an
// altered issue time could be valid for longer than its record is kept.
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

// checksum returns a hash that detects mistyped and altered keys. It does not protect against forgery.
func checksum(body string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(body)))
}
