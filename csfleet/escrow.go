package csfleet

import (
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// escrow divides the budget of a pool into shares of its availability zones. A zone may spend its share while it is
// isolated, so unreachable zones do not count. It exists for the comparison in section 3.3 of the design page.
type escrow struct{}

func (escrow) account(m *Machine, v *VM) (a account, used, limit int) {
	p := m.pool(v.Home)
	zones := p.config.Zones
	if len(zones) == 0 {
		zones = csmodel.SortedKeys(p.zones)
	}
	return account{pool: v.Home, zone: v.Zone}, p.zones[v.Zone].unavailable, share(p.config.Budget, zones, v.Zone)
}

func (escrow) cut(*Machine, csmodel.AvailabilityZone) bool { return false }

// share returns the part of a budget that belongs to a zone. The first zones get the remainder.
func share(budget int, zones []csmodel.AvailabilityZone, z csmodel.AvailabilityZone) int {
	i := slices.Index(zones, z)
	if i < 0 {
		return 0
	}
	part := budget / len(zones)
	if i < budget%len(zones) {
		part++
	}
	return part
}
