package cssettings

import (
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csyaml"
)

// Levels of the log.
const (
	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelWarn  = "warn"
	LevelError = "error"
)

// DefaultMemory is the memory limit of a node at full size.
const DefaultMemory = 32 * csmodel.MiB

// Parse reads settings, fills in defaults and validates them. The file name appears in faults only. The error is a
// *csyaml.InvalidError and lists every fault with its position. No fault holds a secret or token.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	document, err := csyaml.Decode(file, data, &s, "secret", "tokens", "token")
	if err != nil {
		return Settings{}, err
	}
	s = s.Defaults()
	if err := s.Validate(); err != nil {
		return Settings{}, document.Place(err)
	}
	return s, nil
}

// Defaults returns the settings with the default of each absent optional field. The addresses to listen on default to
// those of the node's own entry in the list of nodes.
func (s Settings) Defaults() Settings {
	if s.Memory == 0 {
		s.Memory = DefaultMemory
	}
	if s.Log == "" {
		s.Log = LevelInfo
	}
	own, ok := s.Own()
	if !ok {
		return s
	}
	if s.Listen == "" {
		s.Listen = own.Listen
	}
	if s.Link == "" {
		s.Link = own.Link
	}
	return s
}

// Own returns the node's own entry in the list of nodes.
func (s Settings) Own() (Node, bool) {
	for _, n := range s.Nodes {
		if n.Name == s.Node {
			return n, true
		}
	}
	return Node{}, false
}

// Zones returns the availability zones of each region, for the validation of configurations.
func (s Settings) Zones() map[csmodel.Region]csmodel.Set[csmodel.AvailabilityZone] {
	zones := map[csmodel.Region]csmodel.Set[csmodel.AvailabilityZone]{}
	for _, n := range s.Nodes {
		if zones[n.Region] == nil {
			zones[n.Region] = csmodel.NewSet[csmodel.AvailabilityZone]()
		}
		zones[n.Region].Add(n.Zone)
	}
	return zones
}

// Voters returns the names of the voters of a region's group, in the order of the list of nodes.
func (s Settings) Voters(region csmodel.Region) []csmodel.NodeID {
	var voters []csmodel.NodeID
	for _, n := range s.Nodes {
		if n.Voter && n.Region == region {
			voters = append(voters, n.Name)
		}
	}
	return voters
}

// GlobalVoters returns the names of the voters of the global group, in the order of the list of nodes. An installation
// with one region uses the voters of that region's group.
func (s Settings) GlobalVoters() []csmodel.NodeID {
	regions := s.Zones()
	if len(regions) == 1 {
		return s.Voters(csmodel.SortedKeys(regions)[0])
	}
	var voters []csmodel.NodeID
	for _, n := range s.Nodes {
		if n.Global {
			voters = append(voters, n.Name)
		}
	}
	return voters
}
