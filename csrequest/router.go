package csrequest

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Config configures a Router. Zero fields take defaults.
type Config struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Zone        csmodel.AvailabilityZone
	Keys        *Keys
}

// Use is what the Router knows about its attempts on a target since the previous call of Uses.
type Use struct {
	Target      csmodel.VMID
	Incarnation csmodel.Incarnation
	Busy        int // attempts in flight
	Good        int // complete responses
	Bad         int // failures
}

// Load describes a pool's queue, for the capacity policy and metrics.
type Load struct {
	Pool     csmodel.PoolID
	Arrivals uint64 // total
	Queued   int
	Busy     int
	Slots    int
	Wait     time.Duration // expected wait of a request that arrives now
}

// Router decides for the requests of one node.
type Router struct{}

// NewRouter returns a Router without requests.
func NewRouter(c Config) *Router { return &Router{} }

// Step handles an event and returns commands in the order of execution.
func (r *Router) Step(now time.Time, e Event) []Command { return nil }

// Next returns the time of the next Tick that has an effect.
func (r *Router) Next() (time.Time, bool) { return time.Time{}, false }

// Drain refuses new requests as not run. Requests that arrived before are served.
func (r *Router) Drain(now time.Time) []Command { return nil }

// Drained tells whether the Router is draining and nothing is queued or in flight.
func (r *Router) Drained() bool { return false }

// Stop ends all requests: not run where nothing was sent, otherwise unknown.
func (r *Router) Stop(now time.Time) []Command { return nil }

// Uses returns attempts in flight and outcomes by target, in the order of target ids, and resets the outcome counts.
func (r *Router) Uses() []Use { return nil }

// Loads returns the load of each pool in the order of pool ids.
func (r *Router) Loads(now time.Time) []Load { return nil }

// Waits returns the expected wait of each pool in the order of pool ids.
func (r *Router) Waits(now time.Time) []csmodel.PoolWait { return nil }
