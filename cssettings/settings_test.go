package cssettings_test

import (
	"slices"
	"testing"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cssettings"
	"cowslipstream.example/cowslipstream/csyaml"
)

func valid(regions ...csmodel.Region) cssettings.Settings {
	s := cssettings.Settings{
		Node: "a1", Region: regions[0], Zone: csmodel.AvailabilityZone(regions[0]) + "-1", Folder: "/data",
		Secret: "0123456789abcdef0123456789abcdef",
		Tokens: []cssettings.Token{{Operator: "ines", Token: "0123456789abcdef"}},
	}
	port := 0
	for i, region := range regions {
		for j := range 3 {
			port++
			ip := "10.0.0." + string(rune('0'+port))
			s.Nodes = append(s.Nodes, cssettings.Node{
				Name:   csmodel.NodeID(rune('a'+i)) + csmodel.NodeID(rune('1'+j)),
				Region: region,
				Zone:   csmodel.AvailabilityZone(region) + "-" + csmodel.AvailabilityZone(rune('1'+j)),
				Listen: ip + ":7000", Link: ip + ":7001", Voter: true,
				Global: len(regions) > 1 && j == 0,
			})
		}
	}
	return s.Defaults()
}

// Guards against settings that would start a node which cannot join, cannot be reached, or splits the voters. The
// faults of files are in the tests of the check command.
func TestValidate(t *testing.T) {
	three := []csmodel.Region{"north", "south", "west"}
	tests := []struct {
		name    string
		regions []csmodel.Region
		change  func(*cssettings.Settings)
		want    []string
	}{
		{"one region", three[:1], func(*cssettings.Settings) {}, nil},
		{"three regions", three, func(*cssettings.Settings) {}, nil},
		{"no nodes", three[:1], func(s *cssettings.Settings) { s.Nodes = nil }, []string{"node", "nodes"}},
		{"any address", three[:1], func(s *cssettings.Settings) { s.Listen = "0.0.0.0:0" }, nil},
		{"unreachable", three[:1], func(s *cssettings.Settings) { s.Nodes[1].Link = "0.0.0.0:7001" }, []string{"nodes[1].link"}},
		{"no port", three[:1], func(s *cssettings.Settings) { s.Nodes[1].Link = "::1" }, []string{"nodes[1].link"}},
		{"same node", three[:1], func(s *cssettings.Settings) { s.Nodes[2].Name = "a2" }, []string{"nodes[2].name"}},
		{"other region", three[:1], func(s *cssettings.Settings) { s.Region = "south" }, []string{"region"}},
		{"zone in two regions", three, func(s *cssettings.Settings) { s.Nodes[4].Zone = "north-1" }, []string{"nodes[4].zone"}},
		{"no voters", three, func(s *cssettings.Settings) {
			s.Nodes[3].Voter, s.Nodes[4].Voter, s.Nodes[5].Voter = false, false, false
		}, []string{"nodes[3].region"}},
		{"no global voters", three, func(s *cssettings.Settings) {
			s.Nodes[0].Global, s.Nodes[3].Global, s.Nodes[6].Global = false, false, false
		}, []string{"nodes"}},
		{"three global in a region", three, func(s *cssettings.Settings) {
			s.Nodes[1].Global, s.Nodes[2].Global = true, true
		}, []string{"nodes[2].global"}},
		{"six global", three, func(s *cssettings.Settings) {
			s.Nodes[1].Global, s.Nodes[4].Global, s.Nodes[7].Global = true, true, true
		}, []string{"nodes[7].global"}},
		{"no secrets", three[:1], func(s *cssettings.Settings) { s.Secret, s.Tokens[0].Token = "", "" }, []string{"secret", "tokens[0].token"}},
		{"same token", three[:1], func(s *cssettings.Settings) { s.Tokens = append(s.Tokens, s.Tokens[0]) }, []string{"tokens[1].token"}},
		{"space in token", three[:1], func(s *cssettings.Settings) { s.Tokens[0].Token = "0123456789 abcdef" }, []string{"tokens[0].token"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := valid(tt.regions...)
			tt.change(&s)
			var got []string
			for _, f := range csyaml.List(s.Validate()) {
				got = append(got, f.Path)
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a global group that is not made of the voters of the only region, or has no quorum after the loss of
// a region.
func TestGlobalVoters(t *testing.T) {
	if got, want := valid("north").GlobalVoters(), []csmodel.NodeID{"a1", "a2", "a3"}; !slices.Equal(got, want) {
		t.Errorf("one region: got %v, want %v", got, want)
	}
	if got, want := valid("north", "south", "west").GlobalVoters(), []csmodel.NodeID{"a1", "b1", "c1"}; !slices.Equal(got, want) {
		t.Errorf("three regions: got %v, want %v", got, want)
	}
}
