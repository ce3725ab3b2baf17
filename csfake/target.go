// Package csfake provides stand-ins for targets and callers, for the demo and for tests.
package csfake

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Fault tells how a target misbehaves.
type Fault uint8

// Faults.
const (
	FaultNone     Fault = iota
	FaultFail           // answers every attempt with an invalid response after running it
	FaultLate           // answers after the timeout of the attempt
	FaultTruncate       // closes the connection in the middle of the response
	FaultSilent         // accepts and runs requests but sends nothing
	FaultTwice          // sends every response twice
)

// TargetConfig configures a target. Zero fields take defaults.
type TargetConfig struct {
	ID     csmodel.VMID
	Zone   csmodel.AvailabilityZone
	Rack   csmodel.Rack
	Pool   csmodel.PoolID
	Cores  csmodel.MilliCPU
	Memory csmodel.Bytes
	// Nodes are the HTTP addresses (host:port) of the entry nodes to announce to, in order of preference.
	Nodes []string
	// Service returns the service time of an attempt. Nil means 5 ms.
	Service func(csmodel.JobID) time.Duration
	// Runtime is the run time of a deferred task. 0 means 1 s.
	Runtime time.Duration
	// Ledger counts executions. It may be shared by targets.
	Ledger *Ledger
}

// Target is a stand-in for the executor on a VM.
type Target struct{}

// NewTarget starts a target on 127.0.0.1 with a port chosen by the system and announces it.
func NewTarget(c TargetConfig) (*Target, error) { return &Target{}, nil }

// Address returns the address of the target's HTTP server.
func (t *Target) Address() string { return "" }

// SetFault makes the target misbehave from now on.
func (t *Target) SetFault(f Fault) {}

// Leave makes the target announce that it is leaving and refuse new attempts.
func (t *Target) Leave() {}

// Reboot drops all connections and work and starts with a new incarnation.
func (t *Target) Reboot() error { return nil }

// Kill stops the target at once, as the loss of its VM does.
func (t *Target) Kill() {}

// Close stops the target and waits for its goroutines.
func (t *Target) Close() {}
