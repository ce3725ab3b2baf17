package csrun

import "cowslipstream.example/cowslipstream/csmodel"

// fenceBits is the part of a fence that counts within a term, room for a million lives. The whole stays below 2^53, the
// largest integer that every reader of JSON keeps, for 2^33 terms.
const fenceBits = 20

// nextFence returns a fence above all that this term and earlier ones have used. Each life that the table takes in gets one
// of its own: a target that joins again refuses late orders from the time before, as soon as it has answered the first look.
func (r *runner) nextFence() csmodel.Fence {
	if r.fences < 1<<fenceBits-1 {
		r.fences++
	}
	return csmodel.Fence(r.term)<<fenceBits + csmodel.Fence(r.fences)
}
