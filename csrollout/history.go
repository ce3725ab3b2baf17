package csrollout

import (
	"slices"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Bounds of the recent steps that are kept for nodes that are behind.
const (
	maxSteps     = 256
	maxStepBytes = 1 << 20
	stepOverhead = 128
)

// history keeps recent steps without a gap, oldest first.
type history struct {
	steps []Step
	bytes int
}

func (s Step) size() int {
	return len(s.Delta) + len(s.Submission) + len(s.Operator) + stepOverhead
}

// add appends a step. One that does not follow the last step starts over.
func (h *history) add(s Step) {
	if n := len(h.steps); n > 0 && h.steps[n-1].Revision+1 != s.Revision {
		*h = history{}
	}
	h.steps = append(h.steps, s)
	h.bytes += s.size()
	n := 0
	for len(h.steps)-n > maxSteps || h.bytes > maxStepBytes {
		h.bytes -= h.steps[n].size()
		n++
	}
	h.steps = slices.Delete(h.steps, 0, n)
}

// since returns the steps after a revision. It reports false where the first of them is not kept.
func (h *history) since(base csmodel.Revision) ([]Step, bool) {
	if len(h.steps) == 0 || base+1 < h.steps[0].Revision {
		return nil, false
	}
	offset := min(uint64(len(h.steps)), uint64(base+1-h.steps[0].Revision))
	return slices.Clone(h.steps[offset:]), true
}

// find returns the step to a revision.
func (h *history) find(r csmodel.Revision) (Step, bool) {
	if steps, ok := h.since(r - 1); ok && len(steps) > 0 {
		return steps[0], true
	}
	return Step{}, false
}

// names lists what changed after a revision, without repetition, as far as the steps are kept.
func (h *history) names(base csmodel.Revision) []string {
	var out []string
	seen := csmodel.Set[string]{}
	for _, s := range h.steps {
		if s.Revision <= base {
			continue
		}
		d, err := csconfig.DecodeDelta(s.Delta)
		if err != nil {
			continue
		}
		for _, name := range d.Names() {
			if !seen.Has(name) {
				seen.Add(name)
				out = append(out, name)
			}
		}
	}
	return out
}
