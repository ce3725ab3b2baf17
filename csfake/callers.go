package csfake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	defaultLimit   = 256
	defaultTimeout = 2 * time.Second
	idlePause      = 10 * time.Millisecond // between looks at a rate of 0
	maxListed      = 100_000               // ids kept in a report
	maxMicros      = int64(10 * time.Minute / time.Microsecond)
)

// CallersConfig configures the load generator. Zero fields take defaults.
type CallersConfig struct {
	// Name starts the ids of the calls. It must differ between load generators that share a Ledger.
	Name string
	// Nodes are the HTTP addresses (host:port) of the entry nodes. Calls go to them in turn.
	Nodes []string
	Job   csmodel.JobID
	Team  csmodel.TeamID
	// Keyed makes each call use an issued idempotency key.
	Keyed bool
	// Idempotent allows a call without a key to be repeated at another node when the connection fails.
	Idempotent bool
	Timeout    time.Duration
	// Rate returns the arrivals per second at a time since the start.
	Rate func(time.Duration) float64
	// Limit is the largest number of calls in flight. Arrivals beyond it are counted as dropped. 0 means 256.
	Limit int
	Seed  uint64
	// Size is the size of the bodies in bytes, at least that of the id.
	Size  int
	Clock clockwork.Clock
}

// Report is what the load generator saw.
type Report struct {
	Calls, Answers, NotRun, Unknown int
	// Failed counts calls without any response of an entry node. Their outcome is unknown.
	Failed int
	// Dropped counts arrivals beyond the limit of calls in flight, which were not sent.
	Dropped int
	// Wrong counts answers that are incomplete or belong to another call.
	Wrong int
	// NotRunIDs and UnknownIDs list the ids of the calls with these outcomes.
	NotRunIDs, UnknownIDs []string
	// Latency holds the latencies of answers in microseconds.
	Latency *hdrhistogram.Histogram
}

// Callers is a bounded load generator with open-loop arrivals.
type Callers struct {
	config  CallersConfig
	client  *caller
	mu      sync.Mutex
	report  Report
	pending sync.WaitGroup
	slots   chan struct{}
}

// NewCallers returns a load generator.
func NewCallers(c CallersConfig) *Callers {
	if c.Limit == 0 {
		c.Limit = defaultLimit
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Name == "" {
		c.Name = "call"
	}
	return &Callers{
		config: c,
		client: newCaller(c),
		report: Report{Latency: hdrhistogram.New(1, maxMicros, 2)},
		slots:  make(chan struct{}, c.Limit),
	}
}

// Run sends calls until the duration or the context has ended, waits for those in flight and returns the report.
func (c *Callers) Run(ctx context.Context, d time.Duration) Report {
	random := rand.New(rand.NewPCG(c.config.Seed, c.config.Seed))
	start := c.config.Clock.Now()
	due := time.Duration(0) // of the next arrival, independent of how long calls take
	for number := 0; ; {
		arrives := true
		if rate := c.config.Rate(due); rate > 0 {
			due += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		} else {
			due += idlePause
			arrives = false
		}
		if due >= d || !c.sleep(ctx, start.Add(due)) {
			break
		}
		if arrives {
			number++
			c.send(ctx, fmt.Sprintf("%s-%d", c.config.Name, number))
		}
	}
	c.pending.Wait()
	c.client.close()
	return c.Report()
}

// sleep waits until a time and tells whether the context is still valid.
func (c *Callers) sleep(ctx context.Context, until time.Time) bool {
	wait := until.Sub(c.config.Clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-c.config.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// send starts a call, or drops it when too many are in flight.
func (c *Callers) send(ctx context.Context, id string) {
	c.mu.Lock()
	c.report.Calls++
	c.mu.Unlock()
	select {
	case c.slots <- struct{}{}:
	default:
		c.mu.Lock()
		c.report.Dropped++
		c.mu.Unlock()
		return
	}
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		defer func() { <-c.slots }()
		start := c.config.Clock.Now()
		res := c.client.call(ctx, id)
		c.count(id, res, c.config.Clock.Since(start))
	}()
}

func (c *Callers) count(id string, res result, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch res {
	case resultAnswer:
		c.report.Answers++
		// A latency beyond the range is counted as the largest.
		_ = c.report.Latency.RecordValue(min(latency.Microseconds(), maxMicros))
	case resultNotRun:
		c.report.NotRun++
		c.report.NotRunIDs = list(c.report.NotRunIDs, id)
	case resultUnknown:
		c.report.Unknown++
		c.report.UnknownIDs = list(c.report.UnknownIDs, id)
	case resultWrong:
		c.report.Wrong++
	case resultFailed:
		c.report.Failed++
	}
}

func list(ids []string, id string) []string {
	if len(ids) >= maxListed {
		return ids
	}
	return append(ids, id)
}

// Report returns what was seen so far.
func (c *Callers) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.NotRunIDs = slices.Clone(r.NotRunIDs)
	r.UnknownIDs = slices.Clone(r.UnknownIDs)
	r.Latency = hdrhistogram.Import(c.report.Latency.Export())
	return r
}
