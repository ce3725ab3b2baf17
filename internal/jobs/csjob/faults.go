package csjob

import (
	"fmt"
	"strings"
)

// maxFaults bounds the faults that an error lists. Anyone who reaches a store may send a document of 4 MiB with a million faults, whose
// descriptions would not fit into memory.
const maxFaults = 100

// faults collects descriptions of faults. Names are cut to 64 characters by their format, %.64q, for the same reason.
type faults struct {
	texts   []string
	omitted int
}

func (f *faults) addf(format string, args ...any) {
	if len(f.texts) >= maxFaults {
		f.omitted++
		return
	}
	f.texts = append(f.texts, fmt.Sprintf(format, args...))
}

// err returns an ErrInvalid that lists the faults, or nil if there are none.
func (f *faults) err() error {
	switch {
	case len(f.texts) == 0:
		return nil
	case f.omitted > 0:
		return fmt.Errorf("%w: %s; and %d more", ErrInvalid, strings.Join(f.texts, "; "), f.omitted)
	default:
		return fmt.Errorf("%w: %s", ErrInvalid, strings.Join(f.texts, "; "))
	}
}
