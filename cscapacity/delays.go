package cscapacity

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	delayWeight = 0.3         // weight of the newest delay in a mean
	maxDelay    = time.Minute // after which a move that had no effect is no longer waited for
)

// delays measures how long moves take: from the first plan that wants one to the VM in service. Its size is bounded by the
// pairs of pools with a wanted move.
type delays struct {
	spare, lend time.Duration
	waiting     map[lane]wait
	spares      csmodel.Set[csmodel.PoolID]
	present     map[lane]int
}

// lane is a pair of pools between which VMs move.
type lane struct{ from, to csmodel.PoolID }

type wait struct {
	since time.Time
	had   int // VMs before the move
}

// of returns the delay of a move from a spare pool, or between other pools.
func (d *delays) of(spare bool) time.Duration {
	switch {
	case spare && d.spare > 0:
		return d.spare
	case spare:
		return spareDelay
	case d.lend > 0:
		return d.lend
	default:
		return lendDelay
	}
}

// observe notes the moves that had their first effect.
func (d *delays) observe(now time.Time, loads []Load) {
	d.spares = csmodel.Set[csmodel.PoolID]{}
	d.present = map[lane]int{}
	for _, l := range loads {
		if l.Spare {
			d.spares.Add(l.Pool)
		}
		for _, b := range l.Borrowed {
			d.present[lane{from: b.Home, to: l.Pool}] = b.VMs
		}
	}
	for _, k := range d.lanes() {
		w := d.waiting[k]
		took := now.Sub(w.since)
		switch {
		case d.present[k] > w.had:
			d.learn(d.spares.Has(k.from), took)
			delete(d.waiting, k)
		case took > maxDelay:
			delete(d.waiting, k)
		}
	}
}

// lanes returns the awaited moves in a fixed order, because the learned mean depends on it.
func (d *delays) lanes() []lane {
	keys := make([]lane, 0, len(d.waiting))
	for k := range d.waiting {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b lane) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	return keys
}

func (d *delays) learn(spare bool, took time.Duration) {
	mean := &d.lend
	if spare {
		mean = &d.spare
	}
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(delayWeight * float64(took-*mean))
}

// started notes the wanted moves that are not waited for yet.
func (d *delays) started(now time.Time, moves []Move) {
	if d.waiting == nil {
		d.waiting = map[lane]wait{}
	}
	for _, m := range moves {
		k := lane{from: m.From, to: m.To}
		if _, ok := d.waiting[k]; !ok {
			d.waiting[k] = wait{since: now, had: d.present[k]}
		}
	}
}
