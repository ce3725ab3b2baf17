package csfleet

import (
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// escrowBudget divides the budget of a pool into shares of its availability zones. A zone may spend its share while it
// is isolated, so unreachable zones do not count as unavailable. It is used only for the comparison in section 3.3 of
// the design page.
type escrowBudget struct{}

func (escrowBudget) account(m *Machine, v *VM) (a account, used, limit int) {
	p := m.pool(v.Home)
	zones := p.config.Zones
	if len(zones) == 0 {
		zones = csmodel.SortedKeys(p.zones)
	}
	return account{pool: v.Home, zone: v.Zone}, p.zones[v.Zone].unavailable, zoneShare(p.config.Budget, zones, v.Zone)
}

func (escrowBudget) zoneUnavailable(*Machine, csmodel.AvailabilityZone) bool { return false }

// zoneShare returns the part of a budget that belongs to a zone. The remainder goes to the first zones, one each.
func zoneShare(budget int, zones []csmodel.AvailabilityZone, z csmodel.AvailabilityZone) int {
	i := slices.Index(zones, z)
	if i < 0 {
		return 0
	}
	n := budget / len(zones)
	if i < budget%len(zones) {
		n++
	}
	return n
}
