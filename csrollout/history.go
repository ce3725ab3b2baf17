package csrollout

import (
	"slices"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Limits of the recent changes that are kept to update nodes with an older revision and to describe conflicts. The
// overhead stands for the fields of fixed size.
const (
	maxChanges          = 256
	maxChangeBytes      = 1 << 20
	changeOverheadBytes = 128
)

// history holds the changes of the most recent consecutive revisions, oldest first.
type history struct {
	changes []Change
	bytes   int
}

// encodedSize returns the approximate encoded size in bytes.
func (c Change) encodedSize() int {
	return len(c.Delta) + len(c.Submission) + len(c.Operator) + changeOverheadBytes
}

// add appends a change and drops the oldest ones beyond the limits. A change that does not follow the last one replaces
// the whole history.
func (h *history) add(c Change) {
	if n := len(h.changes); n > 0 && h.changes[n-1].Revision+1 != c.Revision {
		*h = history{}
	}
	h.changes = append(h.changes, c)
	h.bytes += c.encodedSize()
	n := 0
	for len(h.changes)-n > maxChanges || h.bytes > maxChangeBytes {
		h.bytes -= h.changes[n].encodedSize()
		n++
	}
	h.changes = slices.Delete(h.changes, 0, n)
}

// since returns the changes after a revision. It returns false if the first of them is not kept.
func (h *history) since(base csmodel.Revision) ([]Change, bool) {
	if len(h.changes) == 0 || base+1 < h.changes[0].Revision {
		return nil, false
	}
	offset := min(uint64(len(h.changes)), uint64(base+1-h.changes[0].Revision))
	return slices.Clone(h.changes[offset:]), true
}

// find returns the change that led to a revision. It returns false if that is not kept.
func (h *history) find(r csmodel.Revision) (Change, bool) {
	if changes, ok := h.since(r - 1); ok && len(changes) > 0 {
		return changes[0], true
	}
	return Change{}, false
}

// changedNames returns the names of what changed after a revision, without duplicates, as far as the changes are kept.
func (h *history) changedNames(base csmodel.Revision) []string {
	var names []string
	seen := csmodel.Set[string]{}
	for _, change := range h.changes {
		if change.Revision <= base {
			continue
		}
		delta, err := csconfig.DecodeDelta(change.Delta)
		if err != nil {
			continue
		}
		for _, name := range delta.Names() {
			if !seen.Has(name) {
				seen.Add(name)
				names = append(names, name)
			}
		}
	}
	return names
}
