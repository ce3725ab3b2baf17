package csfake

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Call is one request of the load generator. The body starts with the id and a newline.
type Call struct {
	ID      string
	Job     csmodel.JobID
	Team    csmodel.TeamID
	Key     string
	Timeout time.Duration
	Body    []byte
}

// Result is the outcome of a call: answer, not-run or unknown.
type Result struct {
	Outcome string
	Status  int
	Body    []byte
}

// CallersConfig configures the load generator.
type CallersConfig struct {
	// Nodes are the HTTP addresses of the entry nodes. Calls go to them in turn.
	Nodes []string
	Job   csmodel.JobID
	Team  csmodel.TeamID
	// Keyed makes each call use an issued idempotency key.
	Keyed   bool
	Timeout time.Duration
	// Rate returns the arrivals per second at a time since the start.
	Rate func(time.Duration) float64
	// Limit is the largest number of calls in flight. Arrivals beyond it are counted as dropped. 0 means 256.
	Limit int
	Seed  uint64
	// Size is the size of the bodies in bytes.
	Size int
}

// Report is what the load generator saw.
type Report struct {
	Answers, NotRun, Unknown, Dropped, Failed int
	// Wrong counts answers that do not belong to the call.
	Wrong int
	// Unanswered lists the ids of calls with outcome not-run.
	Unanswered []string
	// Latency holds the latencies of answers in microseconds.
	Latency *hdrhistogram.Histogram
}

// Callers is a bounded load generator with open-loop arrivals.
type Callers struct{}

// NewCallers returns a load generator.
func NewCallers(c CallersConfig) *Callers { return &Callers{} }

// Run sends calls until the duration has passed, waits for those in flight and returns the report.
func (c *Callers) Run(ctx context.Context, d time.Duration) Report { return Report{} }

// Report returns what was seen so far.
func (c *Callers) Report() Report { return Report{} }
