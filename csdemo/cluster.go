// Package csdemo runs entry nodes with stand-in targets and callers in one process and on loopback, with faults between
// them. The demo and the integration tests use it.
package csdemo

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csnode"
	"cowslipstream.example/cowslipstream/cssettings"
)

// Operator and its token in a demo cluster.
const (
	Operator = "demo"
	Token    = "demo-token-for-loopback-only-0123456789" //nolint:gosec // guards nothing outside the demo
)

// Layout describes a cluster.
type Layout struct {
	Region csmodel.Region
	Zones  []csmodel.AvailabilityZone
	// NodesPerZone is the number of entry nodes in each availability zone.
	NodesPerZone int
	// Voters is the number of voters, spread over the availability zones. They have a disk.
	Voters int
	// Folder holds the data folders. Empty uses a temporary folder that Close removes.
	Folder string
	Log    *zap.Logger
}

// Cluster is a set of entry nodes with proxies on the links between them.
type Cluster struct {
	layout  Layout
	folder  string
	remove  bool
	nodes   []cssettings.Node
	proxies map[pair]*csfake.Proxy

	mutex   sync.Mutex
	running map[csmodel.NodeID]*csnode.Node
	targets []*csfake.Target
}

// pair is the dialing and the accepting node of a link.
type pair struct{ from, to csmodel.NodeID }

// NewCluster starts the nodes of a layout.
func NewCluster(l Layout) (*Cluster, error) {
	c := &Cluster{
		layout: l, folder: l.Folder, proxies: map[pair]*csfake.Proxy{}, running: map[csmodel.NodeID]*csnode.Node{},
	}
	if c.layout.Log == nil {
		c.layout.Log = zap.NewNop()
	}
	if c.folder == "" {
		folder, err := os.MkdirTemp("", "cowslipstream-")
		if err != nil {
			return nil, trace.Wrap(err)
		}
		c.folder, c.remove = folder, true
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

func (c *Cluster) start() error {
	listeners := map[csmodel.NodeID][2]net.Listener{}
	voters := 0
	for i := range c.layout.NodesPerZone {
		for _, zone := range c.layout.Zones {
			web, err := listenLoopback()
			if err != nil {
				return trace.Wrap(err)
			}
			link, err := listenLoopback()
			if err != nil {
				return trace.Wrap(err)
			}
			voter := voters < c.layout.Voters
			voters++
			node := cssettings.Node{
				Name: csmodel.NodeID(fmt.Sprintf("%s-%d", zone, i+1)), Region: c.layout.Region, Zone: zone,
				Listen: web.Addr().String(), Link: link.Addr().String(), Voter: voter, Global: voter,
			}
			c.nodes = append(c.nodes, node)
			listeners[node.Name] = [2]net.Listener{web, link}
		}
	}
	if err := c.startProxies(); err != nil {
		return trace.Wrap(err)
	}
	for _, node := range c.nodes {
		l := listeners[node.Name]
		if err := c.startNode(node, l[0], l[1]); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c *Cluster) startProxies() error {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a.Name == b.Name {
				continue
			}
			proxy, err := csfake.NewProxy(b.Link)
			if err != nil {
				return trace.Wrap(err)
			}
			c.proxies[pair{a.Name, b.Name}] = proxy
		}
	}
	return nil
}

func listenLoopback() (net.Listener, error) {
	config := net.ListenConfig{}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// Settings returns the settings of a node.
func (c *Cluster) Settings(node cssettings.Node) cssettings.Settings {
	s := cssettings.Settings{ //nolint:gosec // guards nothing outside the demo
		Node: node.Name, Region: node.Region, Zone: node.Zone, Listen: node.Listen, Link: node.Link, Nodes: c.nodes,
		Secret: "demo-cluster-secret-for-loopback-only", Tokens: []cssettings.Token{{Operator: Operator, Token: Token}},
	}
	if node.Voter {
		s.Folder = filepath.Join(c.folder, string(node.Name))
	}
	return s.Defaults()
}

func (c *Cluster) startNode(node cssettings.Node, web, link net.Listener) error {
	peers := map[csmodel.NodeID]string{}
	for _, p := range c.nodes {
		if proxy, ok := c.proxies[pair{node.Name, p.Name}]; ok {
			peers[p.Name] = proxy.Address()
		}
	}
	n, err := csnode.New(csnode.Options{
		Settings: c.Settings(node), Log: c.layout.Log, HTTP: web, Link: link, Peers: peers,
	})
	if err != nil {
		return trace.Wrap(err, "node %s", node.Name)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running[node.Name] = n
	return nil
}

// Nodes returns the nodes of the layout.
func (c *Cluster) Nodes() []cssettings.Node { return c.nodes }

// Node returns a running node, or nil.
func (c *Cluster) Node(id csmodel.NodeID) *csnode.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running[id]
}

// Running returns the running nodes in the order of the layout.
func (c *Cluster) Running() []*csnode.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var out []*csnode.Node
	for _, node := range c.nodes {
		if n := c.running[node.Name]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// Addresses returns the HTTP addresses of the nodes, those of a zone first where one is given.
func (c *Cluster) Addresses(zone csmodel.AvailabilityZone) []string {
	var near, far []string
	for _, node := range c.nodes {
		if node.Zone == zone {
			near = append(near, node.Listen)
		} else {
			far = append(far, node.Listen)
		}
	}
	return append(near, far...)
}

// Stop stops a node: after a drain, or at once as a crash does.
func (c *Cluster) Stop(ctx context.Context, id csmodel.NodeID, drain bool) error {
	n := c.Node(id)
	if n == nil {
		return trace.NotFound("node %s does not run", id)
	}
	var err error
	if drain {
		err = n.Drain(ctx)
	}
	c.mutex.Lock()
	delete(c.running, id)
	c.mutex.Unlock()
	n.Close()
	return trace.Wrap(err)
}

// Restart starts a stopped node with its data folder.
func (c *Cluster) Restart(id csmodel.NodeID) error {
	for _, node := range c.nodes {
		if node.Name == id {
			return c.startNode(node, nil, nil)
		}
	}
	return trace.NotFound("no node %s", id)
}

// CutZone cuts the links between a zone and the others, or heals them.
func (c *Cluster) CutZone(zone csmodel.AvailabilityZone, cut bool) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			proxy, ok := c.proxies[pair{a.Name, b.Name}]
			if !ok || (a.Zone == zone) == (b.Zone == zone) {
				continue
			}
			if cut {
				proxy.Cut()
			} else {
				proxy.Heal()
			}
		}
	}
}

// SilenceLinks silences the open links of a node, while new ones work.
func (c *Cluster) SilenceLinks(id csmodel.NodeID) {
	for p, proxy := range c.proxies {
		if p.from == id || p.to == id {
			proxy.Silence()
		}
	}
}

// AddTarget starts a target that announces to its zone first.
func (c *Cluster) AddTarget(config csfake.TargetConfig) (*csfake.Target, error) {
	if config.Nodes == nil {
		config.Nodes = c.Addresses(config.Zone)
	}
	t, err := csfake.NewTarget(config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.targets = append(c.targets, t)
	return t, nil
}

// Client returns a client of the operator for all nodes.
func (c *Cluster) Client() *csclient.Client {
	return csclient.New(csclient.Options{Nodes: c.Addresses(""), Token: Token, Team: "operators"})
}

// WaitLeaders waits until both groups have a leader.
func (c *Cluster) WaitLeaders(ctx context.Context) error {
	return Wait(ctx, func() bool {
		for _, n := range c.Running() {
			if n.Ready() {
				return true
			}
		}
		return false
	})
}

// Close stops everything and removes a temporary folder.
func (c *Cluster) Close() {
	c.mutex.Lock()
	targets := c.targets
	c.mutex.Unlock()
	for _, t := range targets {
		t.Close()
	}
	var all sync.WaitGroup
	for _, n := range c.Running() {
		all.Go(n.Close)
	}
	all.Wait()
	for _, p := range c.proxies {
		p.Close()
	}
	if c.remove {
		_ = os.RemoveAll(c.folder)
	}
}

// waitPoll is the interval between two looks of Wait.
const waitPoll = 20 * time.Millisecond

// Wait waits until a condition holds.
func Wait(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "condition not met")
		case <-time.After(waitPoll):
		}
	}
	return nil
}

// Targets returns the targets that were added.
func (c *Cluster) Targets() []*csfake.Target {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*csfake.Target(nil), c.targets...)
}
