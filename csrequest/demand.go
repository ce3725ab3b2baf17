package csrequest

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	demandHeadroom         = 1.25                   // slots requested per request in progress
	demandHalfLife         = time.Second            // half-life of a past peak
	decreaseReportInterval = 250 * time.Millisecond // minimum time between reports of a lower demand
	increaseReportInterval = 50 * time.Millisecond  // minimum time between reports of a slightly higher demand
	immediateReportDivisor = 4                      // growth by more than 1/4 is reported at once
)

// demand tracks the number of slots that a pool needs. Peaks decay exponentially, so that the slots of a burst are kept for
// the next one.
type demand struct {
	peak       float64
	remotePeak float64
	updatedAt  time.Time
	reported   csmodel.SlotDemand
	reportedAt time.Time
}

// updateDemand updates the demand of a pool and reports it if it changed and its report interval has passed.
func (r *Router) updateDemand(now time.Time, p *pool) {
	d := &p.demand
	decay := math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(demandHalfLife))
	if d.updatedAt.IsZero() {
		decay = 0
	}
	d.updatedAt = now
	current := float64(p.busy + p.queue.length)
	d.peak = max(current, d.peak*decay)
	d.remotePeak = max(float64(p.remoteDemand(now, r.config.Zone)), d.remotePeak*decay)
	wanted := csmodel.SlotDemand{Pool: p.name, Local: withHeadroom(d.peak), Remote: withHeadroom(d.remotePeak)}
	if wanted == d.reported || now.Sub(d.reportedAt) < d.reportInterval(wanted) {
		return
	}
	d.reported = wanted
	d.reportedAt = now
	r.emit(Demand{SlotDemand: wanted})
}

// reportInterval returns the time that must have passed since the last report. During a burst only growth by more than a
// quarter is reported at once.
func (d *demand) reportInterval(wanted csmodel.SlotDemand) time.Duration {
	switch {
	case wanted.Local > d.reported.Local+d.reported.Local/immediateReportDivisor,
		wanted.Remote > d.reported.Remote+d.reported.Remote/immediateReportDivisor:
		return 0
	case wanted.Local > d.reported.Local, wanted.Remote > d.reported.Remote:
		return increaseReportInterval
	default:
		return decreaseReportInterval
	}
}

// withHeadroom returns the slots to request for a demand, headroom included. A demand that has decayed below a tenth of a
// slot counts as 0.
func withHeadroom(slots float64) int {
	if slots < 0.1 {
		return 0
	}
	return int(math.Ceil(slots * demandHeadroom))
}

// remoteDemand returns the number of slots wanted in other availability zones. It is the number that the local zone lacks, if
// the expected wait in another zone is lower by more than minRemoteBenefit, but at most the free slots there (at least 1).
func (p *pool) remoteDemand(now time.Time, zone csmodel.AvailabilityZone) int {
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
	shortfall := p.busy + p.queue.length - localSlots
	if shortfall <= 0 || remoteWait == math.MaxInt64 || p.expectedLocalWait(now, zone)-remoteWait <= minRemoteBenefit {
		return 0
	}
	return min(shortfall, max(1, remoteFree))
}

func (r *Router) updateDemands(now time.Time) {
	for _, name := range csmodel.SortedKeys(r.pools) {
		r.updateDemand(now, r.pools[name])
	}
}

// nextDemandReport returns the earliest time at which the demand of a pool is due for an update. It returns false if all
// reported demands are 0.
func (r *Router) nextDemandReport() (time.Time, bool) {
	due := time.Time{}
	for _, p := range r.pools {
		d := p.demand
		if d.reported.Local == 0 && d.reported.Remote == 0 {
			continue
		}
		if at := d.updatedAt.Add(decreaseReportInterval); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}
