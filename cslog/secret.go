package cslog

import (
	"fmt"
	"io"
)

const redacted = "[redacted]"

// Secret is a text that is never printed. Convert it to string where the value itself is needed.
type Secret string

// String returns a placeholder.
func (s Secret) String() string { return redacted }

// GoString returns a placeholder.
func (s Secret) GoString() string { return redacted }

// Format writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns a placeholder, for JSON and other encodings.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
