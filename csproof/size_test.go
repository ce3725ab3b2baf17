package csproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cssettings"
	"cowslipstream.example/cowslipstream/cstarget"
)

// The design size. Each region has five nodes, three of them voters; the global voters are spread over the regions.
const (
	designRegions = 4
	designNodes   = 5 // of a region
	designTargets = 160
	designPools   = 101
	designTeams   = 630
	designWarm    = 40 * time.Second
	designTime    = 40 * time.Second
	clockTicks    = 100 // of /proc, per second
)

// BenchmarkDesignSize runs 20 nodes in 4 regions with 3,200 announced targets, 101 pools and 630 teams, without requests,
// and reports the use of processor, memory and links for the busiest and the mean node.
func BenchmarkDesignSize(b *testing.B) {
	c := newDesignCluster(b)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var announcers sync.WaitGroup
	defer announcers.Wait()
	defer cancel()
	for i, n := range c.nodes {
		for k := range designTargets {
			announcers.Go(func() { announceForever(ctx, n, i, k) })
		}
	}
	time.Sleep(designWarm)
	before := c.measure()
	time.Sleep(designTime)
	after := c.measure()
	reportUsage(b, before, after)
}

func newDesignCluster(b *testing.B) *cluster {
	c := &cluster{t: b, links: map[[2]csmodel.NodeID]*link{}}
	for i := range designRegions * designNodes {
		place := i % designNodes
		r := csmodel.Region(fmt.Sprintf("r%d", i/designNodes))
		c.add(cssettings.Node{
			Name: csmodel.NodeID(fmt.Sprintf("%s-%d", r, place)), Region: r,
			Zone:   csmodel.AvailabilityZone(fmt.Sprintf("%s-%d", r, place%4)),
			Listen: freeAddress(b), Link: freeAddress(b), Voter: place < 3, Global: place == 0 || i == 1,
		})
	}
	c.memory = cssettings.DefaultMemory
	c.startAll()
	var configuration csconfig.Configuration
	for i := range designPools {
		configuration.Pools = append(configuration.Pools, csconfig.Pool{
			Name: csmodel.PoolID(fmt.Sprintf("p%d", i)), Region: csmodel.Region(fmt.Sprintf("r%d", i%designRegions)),
			Size: 32, Budget: 1,
		})
	}
	for i := range designTeams {
		configuration.Teams = append(configuration.Teams, csconfig.Team{Name: csmodel.TeamID(fmt.Sprintf("t%d", i)), Share: 1})
	}
	if _, err := c.nodes[0].client.ApplyConfiguration(b.Context(), configuration, 0); err != nil {
		b.Fatal(err)
	}
	return c
}

// announceForever announces one target to its home node in the interval that the node asks for.
func announceForever(ctx context.Context, n *node, i, k int) {
	pool := k%(designPools/designRegions)*designRegions + i/designNodes
	a := cstarget.Announcement{
		ID: csmodel.VMID(fmt.Sprintf("vm-%d-%d", i, k)), Incarnation: 1, Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
		Zone: n.Zone, Rack: csmodel.Rack(fmt.Sprint(k / 4)), Pool: csmodel.PoolID(fmt.Sprintf("p%d", pool)), Slots: 8,
		Connections: 64, Cores: 32000, Memory: 128 * csmodel.GiB,
	}
	for ctx.Err() == nil {
		a.Sequence++
		interval := time.Second
		if reply, err := announce(ctx, n.Listen, a); err == nil {
			interval = reply.Interval
			a.Fence = reply.Fence
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func announce(ctx context.Context, address string, a cstarget.Announcement) (cstarget.AnnounceReply, error) {
	var reply cstarget.AnnounceReply
	body, err := json.Marshal(a)
	if err != nil {
		return reply, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// usage is what one node has used since its start.
type usage struct {
	processor time.Duration
	resident  float64 // bytes
	links     float64 // bytes in both directions
}

func (c *cluster) measure() []usage {
	var out []usage
	for _, n := range c.nodes {
		u := usage{processor: n.processor(), resident: n.resident()}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		data, err := n.client.Dump(ctx)
		cancel()
		var dump struct {
			Links []struct{ In, Out float64 } `json:"links"`
		}
		if err == nil {
			err = json.Unmarshal(data, &dump)
		}
		if err != nil {
			c.t.Error(err)
		}
		for _, l := range dump.Links {
			u.links += l.In + l.Out
		}
		out = append(out, u)
	}
	return out
}

// processor reads the processor time that the process has used.
func (n *node) processor() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 15 {
		n.t.Errorf("no processor time of %s: %v", n.Name, err)
		return 0
	}
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return time.Duration(user+system) * time.Second / clockTicks
}

// resident reads the resident size of the process in bytes.
func (n *node) resident() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		n.t.Errorf("no resident size of %s: %v", n.Name, err)
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages * os.Getpagesize())
}

func reportUsage(b *testing.B, before, after []usage) {
	var mean, most usage
	for i := range after {
		u := usage{
			processor: after[i].processor - before[i].processor, resident: after[i].resident,
			links: after[i].links - before[i].links,
		}
		mean.processor += u.processor / time.Duration(len(after))
		mean.resident += u.resident / float64(len(after))
		mean.links += u.links / float64(len(after))
		most.processor = max(most.processor, u.processor)
		most.resident = max(most.resident, u.resident)
		most.links = max(most.links, u.links)
	}
	for _, v := range []struct {
		name string
		usage
	}{{"mean", mean}, {"most", most}} {
		b.ReportMetric(100*v.processor.Seconds()/designTime.Seconds(), v.name+"-%core")
		b.ReportMetric(v.resident/float64(csmodel.MiB), v.name+"-MiB")
		b.ReportMetric(v.links/designTime.Seconds()/1000, v.name+"-kB/s")
	}
}
