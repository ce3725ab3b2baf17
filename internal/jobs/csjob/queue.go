package csjob

import (
	"fmt"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// QueueKey identifies a queue by the host and path prefix of its requests.
type QueueKey struct {
	_            struct{} `cbor:",toarray"`
	Host, Prefix string
}

// Queue is where client accounts submit jobs of one kind.
type Queue struct {
	Key       QueueKey       `cbor:"1,keyasint"`
	Name      string         `cbor:"2,keyasint"`
	Pool      csmodel.PoolID `cbor:"3,keyasint"`
	Priority  int            `cbor:"4,keyasint,omitempty"` // 0 goes first
	Attempts  int            `cbor:"5,keyasint"`           // failed runs of one task that fail the job
	Stretch   float64        `cbor:"6,keyasint,omitempty"` // objective as a multiple of the longest chain of work
	Objective time.Duration  `cbor:"7,keyasint,omitempty"` // fixed part of the objective
	Timeout   time.Duration  `cbor:"8,keyasint"`
	Advised   bool           `cbor:"9,keyasint,omitempty"` // a policy service names the targets that may run a step
	AdviceFor time.Duration  `cbor:"10,keyasint,omitempty"`
}

// Pool is a set of targets that run the jobs of some queues.
type Pool struct {
	ID      csmodel.PoolID `cbor:"1,keyasint"`
	Standby bool           `cbor:"2,keyasint,omitempty"` // its VMs are switched off
}

// Config is a version of the configuration.
type Config struct {
	Version  int64   `cbor:"1,keyasint"`
	Queues   []Queue `cbor:"2,keyasint"`
	Pools    []Pool  `cbor:"3,keyasint"`
	MaxBody  int64   `cbor:"4,keyasint,omitempty"` // bytes of a request body
	Document []byte  `cbor:"5,keyasint"`           // as the operator sent it
}

// Validate reports why the configuration cannot be in force.
func (c Config) Validate() error {
	pools := csmodel.NewSet[csmodel.PoolID]()
	for _, p := range c.Pools {
		if p.ID == "" || pools.Has(p.ID) {
			return fmt.Errorf("%w: pool %q is unnamed or listed twice", ErrInvalid, p.ID)
		}
		pools.Add(p.ID)
	}
	keys := csmodel.NewSet[QueueKey]()
	for _, q := range c.Queues {
		switch {
		case !pools.Has(q.Pool):
			return fmt.Errorf("%w: queue %q names the unknown pool %q", ErrInvalid, q.Name, q.Pool)
		case keys.Has(q.Key):
			return fmt.Errorf("%w: queue %q shares its host and prefix with another one", ErrInvalid, q.Name)
		case q.Timeout <= 0:
			return fmt.Errorf("%w: queue %q has no timeout", ErrInvalid, q.Name)
		case !strings.HasPrefix(q.Key.Prefix, "/"):
			return fmt.Errorf("%w: queue %q has the prefix %q", ErrInvalid, q.Name, q.Key.Prefix)
		}
		keys.Add(q.Key)
	}
	return nil
}

// routing finds the queue of a request.
type routing map[string][]*Queue

func newRouting(c *Config) routing {
	r := routing{}
	for i := range c.Queues {
		q := &c.Queues[i]
		r[q.Key.Host] = append(r[q.Key.Host], q)
	}
	return r
}

// find returns the queue with the longest prefix of the path, or nil.
func (r routing) find(host, path string) *Queue {
	var best *Queue
	for _, q := range r[host] {
		if strings.HasPrefix(path, q.Key.Prefix) && (best == nil || len(q.Key.Prefix) > len(best.Key.Prefix)) {
			best = q
		}
	}
	return best
}
