package cstarget

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Summaries returns the state of each pool and availability zone, for the other nodes. The waits are those of the node's
// own queues. Targets that no pool owns are left out.
func (r *Registry) Summaries(now time.Time, waits []csmodel.PoolWait) []csmodel.PoolSummary {
	at := r.since(now)
	var summaries []csmodel.PoolSummary
	for _, rec := range r.records {
		pool := r.owners[rec.id].Pool
		if pool == "" {
			continue
		}
		s := r.summary(&summaries, pool, rec.zone)
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

func (r *Registry) summary(
	all *[]csmodel.PoolSummary, pool csmodel.PoolID, zone csmodel.AvailabilityZone,
) *csmodel.PoolSummary {
	wanted := csmodel.PoolSummary{Node: r.config.Node, Pool: pool, Zone: zone}
	i, found := slices.BinarySearchFunc(*all, wanted, func(a, b csmodel.PoolSummary) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Zone, b.Zone))
	})
	if !found {
		*all = slices.Insert(*all, i, wanted)
	}
	return &(*all)[i]
}
