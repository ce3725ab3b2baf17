package csdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Timing of the demo, from the start of the load.
const (
	loadTime     = 12 * time.Second
	burstStart   = 2 * time.Second
	burstEnd     = 5 * time.Second
	cutAt        = 4 * time.Second
	healAt       = 7 * time.Second
	silenceAt    = 7500 * time.Millisecond
	killAt       = 8500 * time.Millisecond
	restartAt    = 9500 * time.Millisecond
	setupLimit   = 20 * time.Second
	finishLimit  = 20 * time.Second
	restartLimit = 10 * time.Second
	applyEvery   = 1200 * time.Millisecond
)

// Load of the demo.
const (
	quoteRate    = 40.0 // requests per second
	burstFactor  = 10   // the burst demands more slots than the pool has
	orderRate    = 15.0 // requests per second
	taskCount    = 40
	taskRuntime  = 800 * time.Millisecond
	serviceTime  = 150 * time.Millisecond
	callTimeout  = 4 * time.Second
	taskDeadline = 60 * time.Second
)

// Pools, jobs and teams of the demo.
const (
	poolQuotes csmodel.PoolID = "quotes"
	poolOrders csmodel.PoolID = "orders"
	poolSpare  csmodel.PoolID = "spare"
	jobQuote   csmodel.JobID  = "quote"
	jobOrder   csmodel.JobID  = "order"
	jobReport  csmodel.JobID  = "report"
	teamDesk   csmodel.TeamID = "desk"
	teamNight  csmodel.TeamID = "night"
	waveName   csmodel.WaveID = "patch"
)

// Configuration is what the demo's operator submits.
func Configuration(region csmodel.Region, start time.Time) csconfig.Configuration {
	return csconfig.Configuration{
		Pools: []csconfig.Pool{
			{Name: poolQuotes, Region: region, Size: 6, Budget: 2},
			{Name: poolOrders, Region: region, Size: 3, Budget: 1},
			{Name: poolSpare, Region: region, Size: 6, Budget: 4, Spare: true},
		},
		Jobs: []csconfig.Job{
			{Name: jobQuote, Pool: poolQuotes, Class: csconfig.Urgent, Idempotent: true, Timeout: callTimeout},
			{Name: jobOrder, Pool: poolOrders, Class: csconfig.Urgent, Timeout: callTimeout},
			{
				Name: jobReport, Pool: poolOrders, Class: csconfig.Deferred, Runtime: taskRuntime, CPU: 1000,
				Memory: 256 * csmodel.MiB,
			},
		},
		Teams: []csconfig.Team{{Name: teamDesk, Share: 3}, {Name: teamNight, Share: 1}},
		Waves: []csconfig.Wave{{
			Name: waveName, Pools: []csmodel.PoolID{poolSpare}, Start: start, Parallel: 1, Losses: 3,
		}},
	}
}

// scenario is one run of the demo.
type scenario struct {
	out     io.Writer
	cluster *Cluster
	client  *csclient.Client
	ledger  *csfake.Ledger
	watch   *watcher
	start   time.Time

	quotes, orders *csfake.Callers
	tasks          []csmodel.TaskID
	rollouts       *rollouts
	victims        []*csfake.Target
}

// Run executes the demo, prints progress and the result, and reports whether every invariant held.
func Run(ctx context.Context, out io.Writer, layout Layout) (Result, error) {
	cluster, err := NewCluster(layout)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	defer cluster.Close()
	s := &scenario{
		out: out, cluster: cluster, client: cluster.Client(), ledger: csfake.NewLedger(), rollouts: newRollouts(cluster),
	}
	defer s.client.Close()
	if err := s.setUp(ctx); err != nil {
		return Result{}, trace.Wrap(err)
	}
	s.watch = newWatcher(cluster)
	defer s.watch.stop()
	if err := s.run(ctx); err != nil {
		return Result{}, trace.Wrap(err)
	}
	return s.result(ctx), nil
}

func (s *scenario) sayf(format string, args ...any) {
	at := 0.0
	if !s.start.IsZero() {
		at = time.Since(s.start).Seconds()
	}
	fmt.Fprintf(s.out, "%6.2f s  %s\n", at, fmt.Sprintf(format, args...))
}

func (s *scenario) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupLimit)
	defer cancel()
	s.sayf("starting %d entry nodes in %d availability zones", len(s.cluster.Nodes()), len(s.cluster.layout.Zones))
	if err := s.cluster.WaitLeaders(ctx); err != nil {
		return trace.Wrap(err, "no leader")
	}
	configuration := Configuration(s.cluster.layout.Region, time.Now().Add(time.Second))
	verdict, err := s.client.ApplyConfiguration(ctx, configuration, 0)
	if err != nil {
		return trace.Wrap(err, "first configuration")
	}
	s.sayf("configuration %s as revision %d", verdict.Result, verdict.Revision)
	if err := s.addTargets(configuration); err != nil {
		return trace.Wrap(err)
	}
	err = Wait(ctx, func() bool { return servingVMs(s.cluster) == len(s.cluster.targets) })
	s.sayf("%d VMs serve", servingVMs(s.cluster))
	return trace.Wrap(err, "VMs not registered")
}

func (s *scenario) addTargets(c csconfig.Configuration) error {
	number := 0
	for _, pool := range c.Pools {
		for i := range pool.Size {
			zone := s.cluster.layout.Zones[number%len(s.cluster.layout.Zones)]
			number++
			t, err := s.cluster.AddTarget(csfake.TargetConfig{
				ID: csmodel.VMID(fmt.Sprintf("vm-%02d", number)), Zone: zone,
				Rack: csmodel.Rack(fmt.Sprintf("%s-r%d", zone, number%2)), Pool: pool.Name, Cores: 16000,
				Memory: 64 * csmodel.GiB, Ledger: s.ledger, Runtime: taskRuntime, Reboot: 500 * time.Millisecond,
				Service: func(csmodel.JobID) time.Duration { return serviceTime },
			})
			if err != nil {
				return trace.Wrap(err)
			}
			if pool.Name == poolQuotes && i == 0 {
				s.victims = append(s.victims, t)
			}
		}
	}
	return nil
}

func (s *scenario) run(ctx context.Context) error {
	s.start = time.Now()
	addresses := s.cluster.Addresses("")
	s.quotes = csfake.NewCallers(csfake.CallersConfig{
		Name: "quote", Nodes: addresses, Job: jobQuote, Team: teamDesk, Idempotent: true, Timeout: callTimeout, Seed: 1,
		Limit: 2000, Size: 256, Rate: func(at time.Duration) float64 {
			if at >= burstStart && at < burstEnd {
				return quoteRate * burstFactor
			}
			return quoteRate
		},
	})
	s.orders = csfake.NewCallers(csfake.CallersConfig{
		Name: "order", Nodes: addresses, Job: jobOrder, Team: teamDesk, Keyed: true, Timeout: callTimeout, Seed: 2,
		Limit: 500, Size: 256, Rate: func(time.Duration) float64 { return orderRate },
	})
	var all sync.WaitGroup
	all.Go(func() { s.quotes.Run(ctx, loadTime) })
	all.Go(func() { s.orders.Run(ctx, loadTime) })
	all.Go(func() { s.submitTasks(ctx) })
	all.Go(func() { s.applyRevisions(ctx) })
	err := s.injectFaults(ctx)
	all.Wait()
	return trace.Wrap(err)
}

// submitTasks hands over deferred work. A task without a sure outcome is submitted again under the same id.
func (s *scenario) submitTasks(ctx context.Context) {
	client := csclient.New(csclient.Options{Nodes: s.cluster.Addresses(""), Team: teamNight})
	defer client.Close()
	for i := range taskCount {
		task := csclient.Task{
			ID: csmodel.TaskID(fmt.Sprintf("report-%03d", i)), Job: jobReport, Deadline: time.Now().Add(taskDeadline),
			Body: []byte("night report"),
		}
		for ctx.Err() == nil {
			if _, err := client.Submit(ctx, task); err == nil {
				s.tasks = append(s.tasks, task.ID)
				break
			}
		}
		time.Sleep(loadTime / 4 / taskCount)
	}
}

// applyRevisions changes a team's share again and again and measures how long each change takes to be active.
func (s *scenario) applyRevisions(ctx context.Context) {
	for i := 0; time.Since(s.start) < loadTime-applyEvery; i++ {
		current, err := s.client.Revision(ctx, 0)
		if err != nil {
			time.Sleep(waitPoll)
			continue
		}
		configuration, err := csconfig.Parse("revision", []byte(current.Text))
		if err != nil {
			s.sayf("configuration not read back: %v", err)
			return
		}
		configuration.Teams[0].Share = 3 + i%5
		verdict, err := s.client.ApplyConfiguration(ctx, configuration, current.Revision)
		if err == nil && verdict.Revision > 0 {
			s.rollouts.measure(ctx, verdict.Revision, time.Now())
		}
		time.Sleep(applyEvery)
	}
}

func (s *scenario) injectFaults(ctx context.Context) error {
	zones := s.cluster.layout.Zones
	cut := zones[len(zones)-1]
	s.at(cutAt)
	s.sayf("fault: availability zone %s cut off", cut)
	s.rollouts.exclude(cut)
	s.cluster.CutZone(cut, true)
	s.at(healAt)
	s.cluster.CutZone(cut, false)
	s.sayf("healed: availability zone %s", cut)
	s.at(silenceAt)
	silenced := s.cluster.Nodes()[1].Name
	s.cluster.SilenceLinks(silenced)
	s.sayf("fault: open links of %s silent for good", silenced)
	s.at(killAt)
	s.victims[0].Kill()
	s.sayf("fault: VM %s lost", s.victims[0].ID())
	s.at(restartAt)
	restarted := s.cluster.Nodes()[0].Name
	ctx, cancel := context.WithTimeout(ctx, restartLimit)
	defer cancel()
	s.rollouts.pause(restarted)
	err := s.cluster.Stop(ctx, restarted, true)
	s.sayf("entry node %s drained and stopped", restarted)
	if err != nil {
		return trace.Wrap(err, "drain")
	}
	if err := s.cluster.Restart(restarted); err != nil {
		return trace.Wrap(err, "restart")
	}
	s.sayf("entry node %s started again", restarted)
	return nil
}

func (s *scenario) at(d time.Duration) { time.Sleep(time.Until(s.start.Add(d))) }
