package csstore

import (
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

const (
	// processBytes is what a store takes without jobs: code, links, metrics, and the leader's state of targets.
	processBytes = 24 * csmodel.MiB
	// logBytes is the log in memory: entries since the latest snapshot, those kept before it, and those that are not committed yet.
	logBytes = csgroup.DefaultSnapshotBytes + csraft.DefaultMaxUncommittedBytes + csmodel.MiB
	// callShare is the part of the heap for submissions while they are decoded and answered.
	callShare = 0.125
	// smallShare is the part of it that is kept for those that take at most smallCall.
	smallShare = 0.25
	smallCall  = 16 * csmodel.KiB
	// leastShare is the part of the heap that jobs may take on a machine that is too small for the rest.
	leastShare = 0.25
)

// limits bound what the requests of client accounts take on a leader. Zero values mean no bound.
type limits struct {
	jobs  csmodel.Bytes // the table, and submissions that are being committed
	calls csmodel.Bytes // submissions while they are decoded and answered
}

// limitsOf derives the limits from the size that the heap of the process may have.
func limitsOf(heap csmodel.Bytes) limits {
	if heap <= 0 {
		return limits{}
	}
	calls := csmodel.Bytes(callShare * float64(heap))
	return limits{calls: calls, jobs: max(heap-processBytes-logBytes-calls, csmodel.Bytes(leastShare*float64(heap)))}
}

const (
	// callFactor counts a call, the texts decoded from it, and the command with them.
	callFactor = 3
	// stepCost is the memory of a decoded step, in two forms.
	stepCost = 512
)

// callCost returns the memory that a submission of a number of bytes and steps takes while it is answered.
func callCost(size, steps int) csmodel.Bytes { return csmodel.Bytes(callFactor*size + stepCost*steps) }
