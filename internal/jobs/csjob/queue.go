package csjob

import (
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// QueueKey identifies a queue by the host and the path prefix of its requests.
type QueueKey struct {
	_            struct{} `cbor:",toarray"`
	Host, Prefix string
}

// Queue holds the settings of a queue, to which client accounts submit jobs of one kind.
type Queue struct {
	Key            QueueKey       `cbor:"1,keyasint"`
	Name           string         `cbor:"2,keyasint"`
	Pool           csmodel.PoolID `cbor:"3,keyasint"`
	Priority       int            `cbor:"4,keyasint,omitempty"`  // 0 is the highest priority
	Attempts       int            `cbor:"5,keyasint"`            // number of failed runs of one task after which the job fails
	Stretch        float64        `cbor:"6,keyasint,omitempty"`  // variable part of the objective, as a multiple of the job's critical path
	Objective      time.Duration  `cbor:"7,keyasint,omitempty"`  // fixed part of the objective
	Timeout        time.Duration  `cbor:"8,keyasint"`            // must be positive
	UsesPolicy     bool           `cbor:"9,keyasint,omitempty"`  // a policy service selects the targets that may run a step
	PolicyValidity time.Duration  `cbor:"10,keyasint,omitempty"` // validity of an answer of the policy service
	Open           bool           `cbor:"11,keyasint,omitempty"` // its requests need no key of a client account
}

// Pool is a set of targets that run the jobs of one or more queues.
type Pool struct {
	ID      csmodel.PoolID `cbor:"1,keyasint"`
	Standby bool           `cbor:"2,keyasint,omitempty"` // the VMs of the pool are switched off
}

// Config is a version of the configuration.
type Config struct {
	Version  int64   `cbor:"1,keyasint"`
	Queues   []Queue `cbor:"2,keyasint"`
	Pools    []Pool  `cbor:"3,keyasint"`
	MaxBody  int64   `cbor:"4,keyasint,omitempty"` // maximum size of a request body in bytes
	Document []byte  `cbor:"5,keyasint"`           // the configuration as received from the operator
	// RequireKey is set if requests need a key of a client account, except for those of open queues.
	RequireKey bool      `cbor:"6,keyasint,omitempty"`
	Accounts   []Account `cbor:"7,keyasint,omitempty"`
}

// Validate returns an ErrInvalid that names the reasons why the configuration can't be applied, or nil.
func (c Config) Validate() error {
	var f faults
	f.addQueues(c)
	f.addAccounts(c.Accounts)
	return f.err()
}

// addQueues adds the faults of the pools and queues of a configuration.
func (f *faults) addQueues(c Config) {
	pools := csmodel.NewSet[csmodel.PoolID]()
	for _, p := range c.Pools {
		if p.ID == "" || pools.Has(p.ID) {
			f.addf("pool %.64q has no name or is listed twice", p.ID)
		}
		pools.Add(p.ID)
	}
	keys := csmodel.NewSet[QueueKey]()
	for _, q := range c.Queues {
		if !pools.Has(q.Pool) {
			f.addf("queue %.64q refers to the unknown pool %.64q", q.Name, q.Pool)
		}
		if keys.Has(q.Key) {
			f.addf("queue %.64q has the same host and prefix as another queue", q.Name)
		}
		if q.Timeout <= 0 {
			f.addf("queue %.64q has the timeout %s, want more than 0", q.Name, q.Timeout)
		}
		if !strings.HasPrefix(q.Key.Prefix, "/") {
			f.addf("queue %.64q has the prefix %.64q, which does not start with a slash", q.Name, q.Key.Prefix)
		}
		keys.Add(q.Key)
	}
}

// routing maps the host of a request to its queues.
type routing map[string][]*Queue

func newRouting(c *Config) routing {
	r := routing{}
	for i := range c.Queues {
		q := &c.Queues[i]
		r[q.Key.Host] = append(r[q.Key.Host], q)
	}
	return r
}

// find returns the queue of the host with the longest prefix that matches the path, or nil.
func (r routing) find(host, path string) *Queue {
	var best *Queue
	for _, q := range r[host] {
		if strings.HasPrefix(path, q.Key.Prefix) && (best == nil || len(q.Key.Prefix) > len(best.Key.Prefix)) {
			best = q
		}
	}
	return best
}
