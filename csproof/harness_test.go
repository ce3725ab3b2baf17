package csproof

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cssettings"
	"cowslipstream.example/cowslipstream/csyaml"
)

const (
	region = "r1"
	secret = "cluster-secret-of-the-integration-tests"
	token  = "token-of-the-integration-tests"

	// ample bounds waits whose duration is not under test.
	ample = 30 * time.Second
	poll  = 20 * time.Millisecond
)

var temporary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "csproof-")
	if err != nil {
		panic(err)
	}
	temporary = folder
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// program builds the program, with the race detector where the tests run with it.
var program = sync.OnceValues(func() (string, error) {
	file := filepath.Join(temporary, "cowslipstream")
	arguments := []string{"build", "-o", file}
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		arguments = append(arguments, "-race")
	}
	out, err := exec.Command("go", append(arguments, "../cmd/cowslipstream")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// cluster is a set of entry nodes, each in its own process. The node with the smaller name dials, so there is one link
// for each pair.
type cluster struct {
	t     testing.TB
	nodes []*node
	links map[[2]csmodel.NodeID]*link
	// memory is the memory limit in the settings. The race detector needs more than the default.
	memory csmodel.Bytes
}

// node is one entry node over all its processes.
type node struct {
	cssettings.Node
	t      testing.TB
	folder string
	client *csclient.Client // operator, for this node only
	cmd    *exec.Cmd
	exited chan struct{}
}

// newCluster starts nodes in the availability zones a, b, c and waits for leaders. The first node of each is a voter.
func newCluster(t testing.TB, perZone int) *cluster {
	t.Helper()
	c := &cluster{t: t, links: map[[2]csmodel.NodeID]*link{}, memory: 512 * csmodel.MiB}
	for i := range perZone {
		for _, zone := range []csmodel.AvailabilityZone{"a", "b", "c"} {
			c.add(cssettings.Node{
				Name: csmodel.NodeID(fmt.Sprintf("%s-%d", zone, i+1)), Region: region, Zone: zone,
				Listen: freeAddress(t), Link: freeAddress(t), Voter: i == 0,
			})
		}
	}
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a.Name < b.Name {
				c.links[[2]csmodel.NodeID{a.Name, b.Name}] = newLink(t, b.Link)
			}
		}
	}
	c.startAll()
	return c
}

func (c *cluster) add(settings cssettings.Node) {
	n := &node{t: c.t, folder: filepath.Join(c.t.TempDir(), string(settings.Name)), Node: settings}
	n.client = csclient.New(csclient.Options{Nodes: []string{n.Listen}, Token: token, Team: "team"})
	c.t.Cleanup(n.client.Close)
	c.nodes = append(c.nodes, n)
}

// startAll starts the processes and waits for leaders.
func (c *cluster) startAll() {
	for _, n := range c.nodes {
		c.writeSettings(n, secret)
		n.start()
		c.t.Cleanup(n.clean)
	}
	c.waitLeaders()
}

// given holds the addresses of all tests, so that none is given twice while its node is down.
var given sync.Map

// freeAddress returns an address whose port is outside the range from which the system chooses ports, so that no
// outgoing connection takes it while its node is down.
func freeAddress(t testing.TB) string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// writeSettings lists the addresses of the links as those of the peers that the node dials.
func (c *cluster) writeSettings(n *node, secret string) {
	s := cssettings.Settings{
		Node: n.Name, Region: n.Region, Zone: n.Zone, Listen: n.Listen, Link: n.Link, Secret: secret,
		Tokens: []cssettings.Token{{Operator: "operator", Token: token}}, Memory: c.memory, Log: cssettings.LevelInfo,
	}
	if n.Voter || n.Global {
		s.Folder = filepath.Join(n.folder, "data")
	}
	for _, p := range c.nodes {
		listed := p.Node
		if l, ok := c.links[[2]csmodel.NodeID{n.Name, p.Name}]; ok {
			listed.Link = l.address()
		}
		s.Nodes = append(s.Nodes, listed)
	}
	text, err := csyaml.Encode(s)
	if err == nil {
		err = errors.Join(os.MkdirAll(n.folder, 0o750), os.WriteFile(filepath.Join(n.folder, "settings"), text, 0o600))
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// start starts the process. Its log is appended to that of the earlier ones.
func (n *node) start() {
	n.t.Helper()
	file, err := program()
	if err != nil {
		n.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(file, "serve", "--settings", filepath.Join(n.folder, "settings"))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the state tells how it ended
		close(exited)
	}()
}

func (n *node) signal(s syscall.Signal) {
	if err := n.cmd.Process.Signal(s); err != nil {
		n.t.Errorf("%v to %s: %v", s, n.Name, err)
	}
}

// stop sends a signal that ends the process and returns its exit status.
func (n *node) stop(s syscall.Signal) int {
	n.signal(s)
	<-n.exited
	return n.cmd.ProcessState.ExitCode()
}

// clean ends the process and checks the log for what no test may cause.
func (n *node) clean() {
	select {
	case <-n.exited:
	default:
		n.stop(syscall.SIGKILL)
	}
	log := n.log()
	for _, bad := range []string{"DATA RACE", "panic: ", "child restarted", "handler panicked"} {
		if i := strings.Index(log, bad); i >= 0 {
			n.t.Errorf("log of %s: %s", n.Name, log[i:min(len(log), i+3000)])
		}
	}
	if n.t.Failed() {
		n.t.Logf("end of the log of %s:\n%s", n.Name, log[max(0, len(log)-1000):])
	}
}

func (n *node) log() string {
	log, err := os.ReadFile(filepath.Join(n.folder, "log"))
	if err != nil {
		n.t.Error(err)
	}
	return string(log)
}

// metric returns the value of a metric without labels, or -1 where the node gives none.
func (n *node) metric(name string) float64 {
	r, err := send(n.Listen, "GET", "/metrics", map[string]string{"Authorization": "Bearer " + token}, nil)
	if err != nil || r.status != 200 {
		return -1
	}
	for line := range strings.Lines(string(r.body)) {
		if text, ok := strings.CutPrefix(line, "cowslipstream_"+name+" "); ok {
			value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err == nil {
				return value
			}
		}
	}
	return -1
}

// status returns the state as the node sees it. It is empty where the node does not answer within a second.
func (n *node) status() csapi.Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := n.client.Status(ctx)
	if err != nil {
		return csapi.Status{}
	}
	return s
}

// leads tells whether the node says that it leads the global group.
func (n *node) leads() bool {
	s := n.status()
	return len(s.Groups) > 0 && s.Groups[0].Leader == n.Name && !s.Groups[0].Stale
}

func (c *cluster) node(name csmodel.NodeID) *node {
	i := slices.IndexFunc(c.nodes, func(n *node) bool { return n.Name == name })
	return c.nodes[i]
}

// leader waits for the node that leads the global group, as it says itself.
func (c *cluster) leader() *node {
	c.t.Helper()
	var leader *node
	eventually(c.t, ample, "leader", func() bool {
		i := slices.IndexFunc(c.nodes, func(n *node) bool { return n.Voter && n.leads() })
		if i >= 0 {
			leader = c.nodes[i]
		}
		return i >= 0
	})
	return leader
}

// waitLeaders waits until every node knows the leaders of both groups and has links to all others.
func (c *cluster) waitLeaders() {
	c.t.Helper()
	eventually(c.t, ample, "leaders and links", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *node) bool {
			s := n.status()
			return len(s.Groups) < 2 || s.Groups[0].Leader == "" || s.Groups[1].Leader == "" ||
				slices.ContainsFunc(s.Nodes, func(p csapi.Node) bool { return p.State != csapi.Up })
		})
	})
}

// split returns the nodes in a zone and the others.
func (c *cluster) split(zone csmodel.AvailabilityZone) (in, out []*node) {
	for _, n := range c.nodes {
		if n.Zone == zone {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

// cutZone cuts a zone off from the others: what leaves it, what enters it, or both.
func (c *cluster) cutZone(zone csmodel.AvailabilityZone, leaving, entering bool) {
	for pair, l := range c.links {
		dials, accepts := c.node(pair[0]).Zone == zone, c.node(pair[1]).Zone == zone
		if dials == accepts {
			continue
		}
		if dials && leaving || accepts && entering {
			l.cut(outward)
		}
		if dials && entering || accepts && leaving {
			l.cut(inward)
		}
	}
}

func (c *cluster) heal() {
	for _, l := range c.links {
		l.heal()
	}
}

// addresses returns the addresses for callers, those of a zone first where one is given.
func (c *cluster) addresses(zone csmodel.AvailabilityZone) []string {
	var near, far []string
	for _, n := range c.nodes {
		if n.Zone == zone {
			near = append(near, n.Listen)
		} else {
			far = append(far, n.Listen)
		}
	}
	return append(near, far...)
}

// eventually waits for a condition.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(poll) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}
