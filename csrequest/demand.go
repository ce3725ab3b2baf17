package csrequest

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	demandHeadroom = 1.25                   // slots asked for each request in progress
	demandHalf     = time.Second            // half-life of a demand that is no longer seen
	demandInterval = 250 * time.Millisecond // between two reports of a lower demand
	growthInterval = 50 * time.Millisecond  // between two reports of a slightly higher demand
	growthPart     = 4                      // part of the demand by which it must grow to be reported at once
)

// demand is the number of slots that a pool needs. Peaks decay, so that the slots of a burst stay for the next one.
type demand struct {
	need   float64
	remote float64
	at     time.Time
	sent   csmodel.SlotDemand
	sentAt time.Time
}

// updateDemand reports the demand of a pool at once where it grew, and a lower one after an interval.
func (r *Router) updateDemand(now time.Time, p *pool) {
	d := &p.demand
	decay := math.Exp2(-float64(now.Sub(d.at)) / float64(demandHalf))
	if d.at.IsZero() {
		decay = 0
	}
	d.at = now
	need := float64(p.busy + p.queue.length)
	d.need = max(need, d.need*decay)
	d.remote = max(float64(p.remoteNeed(now, r.config.Zone)), d.remote*decay)
	wanted := csmodel.SlotDemand{Pool: p.name, Local: ceil(d.need), Remote: ceil(d.remote)}
	if wanted == d.sent || now.Sub(d.sentAt) < d.pause(wanted) {
		return
	}
	d.sent = wanted
	d.sentAt = now
	r.emit(Demand{SlotDemand: wanted})
}

// pause returns the time that must have passed since the last report. A burst reports only its larger steps at once.
func (d *demand) pause(wanted csmodel.SlotDemand) time.Duration {
	switch {
	case wanted.Local > d.sent.Local+d.sent.Local/growthPart, wanted.Remote > d.sent.Remote+d.sent.Remote/growthPart:
		return 0
	case wanted.Local > d.sent.Local, wanted.Remote > d.sent.Remote:
		return growthInterval
	default:
		return demandInterval
	}
}

// ceil adds the headroom. A demand that has decayed below a tenth of a slot is none.
func ceil(need float64) int {
	if need < 0.1 {
		return 0
	}
	return int(math.Ceil(need * demandHeadroom))
}

// remoteNeed returns the number of slots wanted in other availability zones: what the own zone cannot serve, where another
// zone has free slots and an expected wait that is lower by more than remoteBenefit.
func (p *pool) remoteNeed(now time.Time, zone csmodel.AvailabilityZone) int {
	localSlots := 0
	remoteFree := 0
	remoteWait := time.Duration(math.MaxInt64)
	for _, s := range p.summaries {
		if s.Zone == zone {
			localSlots += s.Slots
			continue
		}
		remoteFree += s.Free
		if s.Free > 0 {
			remoteWait = 0
		} else if s.Slots > 0 {
			remoteWait = min(remoteWait, s.Wait)
		}
	}
	short := p.busy + p.queue.length - localSlots
	if short <= 0 || remoteWait == math.MaxInt64 || p.localWait(now, zone)-remoteWait <= remoteBenefit {
		return 0
	}
	return min(short, max(1, remoteFree))
}

func (r *Router) updateDemands(now time.Time) {
	for _, name := range csmodel.SortedKeys(r.pools) {
		r.updateDemand(now, r.pools[name])
	}
}

// demandDue returns the time at which a demand may be reported again.
func (r *Router) demandDue() (time.Time, bool) {
	due := time.Time{}
	for _, p := range r.pools {
		d := p.demand
		if d.sent.Local == 0 && d.sent.Remote == 0 {
			continue
		}
		if at := d.at.Add(demandInterval); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}
