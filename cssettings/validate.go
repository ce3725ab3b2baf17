package cssettings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csyaml"
)

// Bounds of values.
const (
	// MinSecret is the shortest cluster key in characters.
	MinSecret = 32
	// MinToken is the shortest bearer token in characters.
	MinToken = 16
	// MaxGlobal is the largest number of voters of the global group.
	MaxGlobal = 5
	// MaxGlobalRegion is the largest number of global voters of one region where there are several regions.
	MaxGlobalRegion = 2

	// minMemory is below the memory of the smallest program that links all libraries.
	minMemory = 24 * csmodel.MiB
	maxMemory = 64 * csmodel.GiB
)

// printable matches what an HTTP header can carry as a bearer token.
var printable = regexp.MustCompile(`^[!-~]+$`)

// Validate returns nil or a *csyaml.InvalidError with the path, reason and fix of every fault. Fill in
// Defaults first.
func (s Settings) Validate() error {
	v := &validator{Settings: s}
	v.checkOwn()
	v.checkNodes()
	v.checkAddresses()
	v.checkVoters()
	v.checkGlobal()
	v.checkSecrets()
	v.checkLimits()
	return v.faults.Err()
}

type validator struct {
	Settings
	faults csyaml.Faults
}

func (v *validator) checkOwn() {
	named := csyaml.CheckName(&v.faults, "node", v.Node)
	csyaml.CheckName(&v.faults, "region", v.Region)
	csyaml.CheckName(&v.faults, "zone", v.Zone)
	own, ok := v.Own()
	if !ok && named {
		v.faults.Add(csyaml.Reference, "node", fmt.Sprintf("node %s is not in the list of nodes", v.Node),
			v.nodeFix())
	}
	if !ok {
		return
	}
	if own.Region != v.Region {
		v.faults.Add(csyaml.Conflict, "region",
			fmt.Sprintf("region %s differs from region %s in the list of nodes", v.Region, own.Region),
			"write the same region in both places")
	}
	if own.Zone != v.Zone {
		v.faults.Add(csyaml.Conflict, "zone",
			fmt.Sprintf("availability zone %s differs from %s in the list of nodes", v.Zone, own.Zone),
			"write the same availability zone in both places")
	}
	if (own.Voter || own.Global) && v.Folder == "" {
		v.faults.Add(csyaml.Missing, "folder", fmt.Sprintf("node %s is a voter and has no data folder", v.Node),
			"add folder, or remove voter and global from the node")
	}
}

func (v *validator) nodeFix() string {
	names := make([]string, len(v.Nodes))
	for i, n := range v.Nodes {
		names[i] = string(n.Name)
	}
	if s := csyaml.Suggest(string(v.Node), names); s != "" {
		return "write " + s
	}
	return "add the node to nodes"
}

func (v *validator) checkNodes() {
	if len(v.Nodes) == 0 {
		v.faults.Add(csyaml.Missing, "nodes", "the list of nodes is empty", "list every entry node, this one included")
	}
	names := map[csmodel.NodeID]int{}
	regions := map[csmodel.AvailabilityZone]csmodel.Region{}
	for i, n := range v.Nodes {
		path := fmt.Sprintf("nodes[%d]", i)
		if csyaml.CheckName(&v.faults, path+".name", n.Name) {
			if first, ok := names[n.Name]; ok {
				v.faults.Add(csyaml.Duplicate, path+".name",
					fmt.Sprintf("node %s is already defined as nodes[%d]", n.Name, first), "rename or remove one of the two")
			} else {
				names[n.Name] = i
			}
		}
		csyaml.CheckName(&v.faults, path+".region", n.Region)
		if !csyaml.CheckName(&v.faults, path+".zone", n.Zone) {
			continue
		}
		if region, ok := regions[n.Zone]; ok && region != n.Region {
			v.faults.Add(csyaml.Conflict, path+".zone",
				fmt.Sprintf("availability zone %s is in region %s and in region %s", n.Zone, region, n.Region),
				"give each availability zone one region")
		}
		regions[n.Zone] = n.Region
	}
}

func (v *validator) checkAddresses() {
	if _, ok := v.Own(); ok {
		v.checkAddress("listen", v.Listen, true)
		v.checkAddress("link", v.Link, true)
	}
	used := map[netip.AddrPort]string{}
	for i, n := range v.Nodes {
		v.checkUnique(used, fmt.Sprintf("nodes[%d].listen", i), n.Listen)
		v.checkUnique(used, fmt.Sprintf("nodes[%d].link", i), n.Link)
	}
}

func (v *validator) checkUnique(used map[netip.AddrPort]string, path, text string) {
	address, ok := v.checkAddress(path, text, false)
	if !ok {
		return
	}
	if first, taken := used[address]; taken {
		v.faults.Add(csyaml.Duplicate, path, fmt.Sprintf("address %s is already used by %s", text, first),
			"give each its own address or port")
		return
	}
	used[address] = path
}

// checkAddress checks an IP address with port. Only an address to listen on may be unspecified or have port 0.
func (v *validator) checkAddress(path, text string, local bool) (netip.AddrPort, bool) {
	if text == "" {
		v.faults.Add(csyaml.Missing, path, "the address is missing", "add an IP address and port, for example 10.0.0.1:7000")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		v.faults.Add(csyaml.Type, path, fmt.Sprintf("%q is not an IP address and port", text), addressFix(text))
		return netip.AddrPort{}, false
	}
	if !local && (address.Addr().IsUnspecified() || address.Port() == 0) {
		v.faults.Add(csyaml.Range, path, fmt.Sprintf("other nodes cannot reach %s", text),
			"write the address and port where others reach the node")
		return netip.AddrPort{}, false
	}
	return address, true
}

func addressFix(text string) string {
	if _, err := netip.ParseAddr(text); err == nil {
		return "add a port, for example " + netip.AddrPortFrom(netip.MustParseAddr(text), 7000).String()
	}
	host, port, found := strings.Cut(text, ":")
	if found && host != "" && port != "" && strings.Trim(port, "0123456789") == "" {
		return "write the IP address of " + host + " rather than its name"
	}
	return "write an IP address and port, for example 10.0.0.1:7000"
}

func (v *validator) checkVoters() {
	first := map[csmodel.Region]int{}
	for i, n := range v.Nodes {
		if _, ok := first[n.Region]; !ok {
			first[n.Region] = i
		}
	}
	for _, region := range csmodel.SortedKeys(first) {
		count := len(v.Voters(region))
		if slices.Contains([]int{1, 3, 5}, count) {
			continue
		}
		v.faults.Add(csyaml.Range, fmt.Sprintf("nodes[%d].region", first[region]),
			fmt.Sprintf("region %s has %d voters", region, count), "set voter: true on 1, 3 or 5 nodes of the region")
	}
}

func (v *validator) checkGlobal() {
	zones := v.Zones()
	total := 0
	regional := map[csmodel.Region]int{}
	for i, n := range v.Nodes {
		path := fmt.Sprintf("nodes[%d].global", i)
		if !n.Global {
			continue
		}
		total++
		regional[n.Region]++
		switch {
		case len(zones) == 1 && !n.Voter:
			v.faults.Add(csyaml.Conflict, path,
				"with one region the voters of the region are the voters of the global group", "remove global")
		case total > MaxGlobal:
			v.faults.Add(csyaml.Range, path, fmt.Sprintf("more than %d nodes are global voters", MaxGlobal),
				fmt.Sprintf("keep global on at most %d nodes", MaxGlobal))
		case len(zones) > 1 && regional[n.Region] > MaxGlobalRegion:
			v.faults.Add(csyaml.Range, path,
				fmt.Sprintf("region %s has more than %d global voters", n.Region, MaxGlobalRegion),
				fmt.Sprintf("keep global on at most %d nodes of each region", MaxGlobalRegion))
		}
	}
	if total == 0 && len(zones) > 1 {
		v.faults.Add(csyaml.Missing, "nodes", "no node is a global voter",
			fmt.Sprintf("set global: true on up to %d nodes, at most %d of each region", MaxGlobal, MaxGlobalRegion))
	}
}

func (v *validator) checkSecrets() {
	switch {
	case v.Secret == "":
		v.faults.Add(csyaml.Missing, "secret", "the secret is missing", secretFix)
	case len(v.Secret) < MinSecret:
		v.faults.Add(csyaml.Range, "secret", fmt.Sprintf("the secret has %d characters", len(v.Secret)), secretFix)
	}
	used := map[string]int{}
	for i, t := range v.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		csyaml.CheckName(&v.faults, path+".operator", t.Operator)
		if len(t.Token) < MinToken {
			v.faults.Add(csyaml.Range, path+".token", fmt.Sprintf("the token has %d characters", len(t.Token)), tokenFix)
			continue
		}
		if !printable.MatchString(t.Token) {
			v.faults.Add(csyaml.Range, path+".token", "the token holds a space or a character that is not ASCII", tokenFix)
		}
		if first, ok := used[t.Token]; ok {
			v.faults.Add(csyaml.Duplicate, path+".token", fmt.Sprintf("the token is the same as that of tokens[%d]", first),
				"give each entry its own token")
			continue
		}
		used[t.Token] = i
	}
}

var (
	secretFix = fmt.Sprintf("use %d or more random characters, the same on every node", MinSecret)
	tokenFix  = fmt.Sprintf("use %d or more random characters without spaces", MinToken)
)

func (v *validator) checkLimits() {
	if v.Memory < minMemory || v.Memory > maxMemory {
		v.faults.Add(csyaml.Range, "memory", fmt.Sprintf("memory %s is not between %s and %s", v.Memory, minMemory, maxMemory),
			fmt.Sprintf("write an amount in this range, for example %s", DefaultMemory))
	}
	levels := []string{LevelDebug, LevelInfo, LevelWarn, LevelError}
	if slices.Contains(levels, v.Log) {
		return
	}
	fix := "write one of " + strings.Join(levels, ", ")
	if s := csyaml.Suggest(v.Log, levels); s != "" {
		fix = "write " + s
	}
	v.faults.Add(csyaml.Range, "log", fmt.Sprintf("unknown level %q", v.Log), fix)
}
