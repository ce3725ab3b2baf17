package csproof

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Size and budget of the pool that serves requests.
const (
	webSize   = 6
	webBudget = 1
)

// configuration has a pool for urgent requests and deferred tasks and a spare pool. rate distinguishes revisions.
func configuration(rate int) csconfig.Configuration {
	return csconfig.Configuration{
		Pools: []csconfig.Pool{
			{Name: "web", Region: region, Size: webSize, Budget: webBudget},
			{Name: "spare", Region: region, Size: 3, Budget: 2, Spare: true},
		},
		Jobs: []csconfig.Job{
			{Name: "quote", Pool: "web", Class: csconfig.Urgent, Idempotent: true, Timeout: 2 * time.Second},
			{Name: "order", Pool: "web", Class: csconfig.Urgent, Timeout: 2 * time.Second},
			{Name: "report", Pool: "web", Class: csconfig.Deferred, Runtime: time.Second, CPU: 1000, Memory: 64 * csmodel.MiB},
		},
		Teams: []csconfig.Team{{Name: "team", Share: 1 + rate}},
	}
}

// text returns a configuration as operators submit it.
func text(rate int) string {
	out, err := csconfig.Print(configuration(rate))
	if err != nil {
		panic(err) // the configurations of the tests can be encoded
	}
	return string(out)
}

// apply submits a configuration on the newest revision until it is accepted.
func (c *cluster) apply(n *node, rate int) csmodel.Revision {
	c.t.Helper()
	var revision csmodel.Revision
	eventually(c.t, ample, "configuration accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), ample)
		defer cancel()
		newest, err := n.client.Revision(ctx, 0)
		if err != nil {
			return false
		}
		verdict, err := n.client.ApplyConfiguration(ctx, configuration(rate), newest.Revision)
		revision = verdict.Revision
		return err == nil && verdict.Result == csapi.Accepted
	})
	return revision
}

// waitRevision waits until a revision, or a later one, is active on nodes.
func waitRevision(t *testing.T, limit time.Duration, revision csmodel.Revision, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, limit, fmt.Sprintf("revision %d on %s", revision, n.Name), func() bool {
			return n.metric("configuration_revision") >= float64(revision)
		})
	}
}

// addTargets starts one target of each VM of the configuration and waits until all serve.
func (c *cluster) addTargets(ledger *csfake.Ledger, service time.Duration) []*csfake.Target {
	c.t.Helper()
	var targets []*csfake.Target
	for _, pool := range configuration(0).Pools {
		for i := range pool.Size {
			zone := []csmodel.AvailabilityZone{"a", "b", "c"}[i%3]
			target, err := csfake.NewTarget(csfake.TargetConfig{
				ID: csmodel.VMID(fmt.Sprintf("%s-%d", pool.Name, i)), Zone: zone, Rack: csmodel.Rack(zone) + "-rack",
				Pool: pool.Name, Cores: 16000, Memory: 16 * csmodel.GiB, Nodes: c.addresses(zone), Ledger: ledger,
				Service: func(csmodel.JobID) time.Duration { return service }, Reboot: 200 * time.Millisecond,
			})
			if err != nil {
				c.t.Fatal(err)
			}
			c.t.Cleanup(target.Close)
			targets = append(targets, target)
		}
	}
	eventually(c.t, ample, "serving VMs", func() bool {
		for _, n := range c.nodes {
			if !n.serving(len(targets)) {
				return false
			}
		}
		return true
	})
	return targets
}

// serving tells whether the node knows this number of serving VMs.
func (n *node) serving(want int) bool {
	vms := n.status().VMs
	return len(vms) >= want &&
		!slices.ContainsFunc(vms, func(vm csapi.VM) bool { return vm.State != csapi.Serving })
}
