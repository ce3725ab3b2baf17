// Package cssettings reads and checks the settings of one entry node.
package cssettings

import (
	"cowslipstream.example/cowslipstream/csmodel"
)

// Settings configure one entry node.
type Settings struct {
	Node   csmodel.NodeID           `yaml:"node"`
	Region csmodel.Region           `yaml:"region"`
	Zone   csmodel.AvailabilityZone `yaml:"zone"`
	// Listen is the IP address and port of the HTTP interface for callers, targets and operators.
	Listen string `yaml:"listen"`
	// Link is the IP address and port for the links between nodes.
	Link string `yaml:"link"`
	// Folder is the data folder. A node without one has no disk and cannot be a voter.
	Folder string `yaml:"folder,omitempty"`
	// Nodes lists every entry node of the installation, this one included.
	Nodes []Node `yaml:"nodes"`
	// Secret is the cluster key that nodes authenticate with, 32 or more characters.
	Secret string `yaml:"secret"`
	// Tokens are the bearer tokens of operators.
	Tokens []Token `yaml:"tokens"`
	// Memory is the soft limit of the runtime's memory in bytes.
	Memory csmodel.Bytes `yaml:"memory,omitempty"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log string `yaml:"log,omitempty"`
}

// Node is one entry node of the installation.
type Node struct {
	Name   csmodel.NodeID           `yaml:"name"`
	Region csmodel.Region           `yaml:"region"`
	Zone   csmodel.AvailabilityZone `yaml:"zone"`
	// Listen and Link are the addresses where the other nodes, callers and targets reach the node.
	Listen string `yaml:"listen"`
	Link   string `yaml:"link"`
	// Voter makes the node a voter of its region's group.
	Voter bool `yaml:"voter,omitempty"`
	// Global makes the node a voter of the global group.
	Global bool `yaml:"global,omitempty"`
}

// Token is the bearer token of one operator.
type Token struct {
	Operator string `yaml:"operator"`
	Token    string `yaml:"token"`
}
