package csconfig

import (
	"fmt"
	"strings"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csyaml"
)

// Topology is the regions of an installation with their availability zones.
type Topology map[csmodel.Region]csmodel.Set[csmodel.AvailabilityZone]

// ValidateFor checks the configuration as Validate does, and its regions and availability zones against an installation.
func (c Configuration) ValidateFor(t Topology) error {
	v := c.check()
	for i, p := range c.Pools {
		v.checkPlace(t, p, fmt.Sprintf("pools[%d]", i))
	}
	return v.faults.Err()
}

func (v *validator) checkPlace(t Topology, p Pool, path string) {
	zones, ok := t[p.Region]
	if !ok {
		v.faults.Add(csyaml.Reference, path+".region", fmt.Sprintf("region %s does not exist", p.Region),
			nearest(p.Region, csmodel.SortedKeys(t), "the regions are"))
		return
	}
	for j, zone := range p.Zones {
		if !zones.Has(zone) {
			v.faults.Add(csyaml.Reference, fmt.Sprintf("%s.zones[%d]", path, j),
				fmt.Sprintf("availability zone %s does not exist in region %s", zone, p.Region),
				nearest(zone, csmodel.SortedKeys(zones), "its availability zones are"))
		}
	}
}

// nearest suggests the closest of the known names, or lists them. shownNames bounds the list.
func nearest[T ~string](name T, known []T, intro string) string {
	names := make([]string, len(known))
	for i, k := range known {
		names[i] = string(k)
	}
	if s := csyaml.Suggest(string(name), names); s != "" {
		return "write " + s
	}
	if len(names) == 0 {
		return "define it first"
	}
	if len(names) > shownNames {
		return intro + " " + strings.Join(names[:shownNames], ", ") + " and others"
	}
	return intro + " " + strings.Join(names, ", ")
}

const shownNames = 8
