package cstarget

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Summaries returns a summary of the node's targets for each pool and availability zone, to be sent to the other nodes. The
// waits are those of the node's own queues. Targets that no pool owns are left out.
func (r *Registry) Summaries(now time.Time, waits []csmodel.PoolWait) []csmodel.PoolSummary {
	at := r.elapsed(now)
	var summaries []csmodel.PoolSummary
	for _, rec := range r.records {
		pool := r.owners[rec.id].Pool
		if pool == "" {
			continue
		}
		s := r.summaryFor(&summaries, pool, rec.zone)
		s.Targets++
		s.Busy += int(rec.running)
		switch {
		case r.health.Quarantined(rec.id):
			s.Quarantined++
		case r.grantor.grantable(at, rec):
			s.Slots += int(rec.slots)
			s.Free += max(0, int(rec.slots)-int(rec.running))
		}
	}
	for i := range summaries {
		for _, w := range waits {
			if w.Pool == summaries[i].Pool {
				summaries[i].Wait = w.Wait
			}
		}
	}
	return summaries
}

// summaryFor returns the summary of a pool and zone and inserts an empty one if there is none.
func (r *Registry) summaryFor(
	all *[]csmodel.PoolSummary, pool csmodel.PoolID, zone csmodel.AvailabilityZone,
) *csmodel.PoolSummary {
	entry := csmodel.PoolSummary{Node: r.config.Node, Pool: pool, Zone: zone}
	i, found := slices.BinarySearchFunc(*all, entry, func(a, b csmodel.PoolSummary) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Zone, b.Zone))
	})
	if !found {
		*all = slices.Insert(*all, i, entry)
	}
	return &(*all)[i]
}
