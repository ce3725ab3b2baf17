package csrun

import "cowslipstream.example/cowslipstream/csmodel"

// fenceCounterBits is the number of bits of a fence that count within a term, enough for a million incarnations. For 2^33 terms a
// fence stays below 2^53, up to which every JSON parser represents integers exactly.
const fenceCounterBits = 20

// nextFence returns a fence higher than all fences issued in this term and earlier ones. Each incarnation gets its own fence, so that
// a target that rejoins refuses delayed orders from before, as soon as it has answered the first poll.
func (r *runner) nextFence() csmodel.Fence {
	if r.issuedFences < 1<<fenceCounterBits-1 {
		r.issuedFences++
	}
	return csmodel.Fence(r.term)<<fenceCounterBits + csmodel.Fence(r.issuedFences)
}
