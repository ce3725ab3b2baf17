package cscapacity

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	delayWeight  = 0.3         // weight of the newest delay in a mean
	maxMoveDelay = time.Minute // a move without effect is dropped after this time
)

// moveDelays measures how long moves take, from the first plan that wants one until its first VM is in service. Its
// size is bounded by the pairs of pools with a wanted move.
type moveDelays struct {
	spareMean, lendMean time.Duration
	pending             map[poolPair]pendingMove
	sparePools          csmodel.Set[csmodel.PoolID]
	borrowed            map[poolPair]int
}

// poolPair is a pair of pools between which VMs move.
type poolPair struct{ from, to csmodel.PoolID }

type pendingMove struct {
	since     time.Time
	vmsBefore int // borrowed VMs before the move
}

// mean returns the mean delay of a move from a spare pool, or between other pools, and a default before the first one.
func (d *moveDelays) mean(spare bool) time.Duration {
	switch {
	case spare && d.spareMean > 0:
		return d.spareMean
	case spare:
		return initialSpareMoveDelay
	case d.lendMean > 0:
		return d.lendMean
	default:
		return initialLendMoveDelay
	}
}

// observe records the delay of pending moves that had their first effect, and drops those that took too long.
func (d *moveDelays) observe(now time.Time, loads []Load) {
	d.sparePools = csmodel.Set[csmodel.PoolID]{}
	d.borrowed = map[poolPair]int{}
	for _, l := range loads {
		if l.Spare {
			d.sparePools.Add(l.Pool)
		}
		for _, b := range l.Borrowed {
			d.borrowed[poolPair{from: b.Home, to: l.Pool}] = b.VMs
		}
	}
	for _, k := range d.pendingPairs() {
		w := d.pending[k]
		took := now.Sub(w.since)
		switch {
		case d.borrowed[k] > w.vmsBefore:
			d.updateMean(d.sparePools.Has(k.from), took)
			delete(d.pending, k)
		case took > maxMoveDelay:
			delete(d.pending, k)
		}
	}
}

// pendingPairs returns the pending moves in a fixed order, because the mean depends on it.
func (d *moveDelays) pendingPairs() []poolPair {
	keys := make([]poolPair, 0, len(d.pending))
	for k := range d.pending {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b poolPair) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	return keys
}

func (d *moveDelays) updateMean(spare bool, took time.Duration) {
	mean := &d.lendMean
	if spare {
		mean = &d.spareMean
	}
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(delayWeight * float64(took-*mean))
}

// track starts to measure the wanted moves that are not pending yet.
func (d *moveDelays) track(now time.Time, moves []Move) {
	if d.pending == nil {
		d.pending = map[poolPair]pendingMove{}
	}
	for _, m := range moves {
		k := poolPair{from: m.From, to: m.To}
		if _, ok := d.pending[k]; !ok {
			d.pending[k] = pendingMove{since: now, vmsBefore: d.borrowed[k]}
		}
	}
}
