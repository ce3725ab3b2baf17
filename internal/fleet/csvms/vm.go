// Package csvms moves VMs to the pools that need capacity and takes them through maintenance waves.
package csvms

import (
	"context"
	"errors"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// ErrNoAnswer means that there is no valid answer from the platform. The effect of an order that fails with it is unknown.
var ErrNoAnswer = errors.New("csvms: no valid answer from the platform")

// Platform lists VMs and sends orders for them. After an error the effect of an order is unknown, and the order may be repeated.
type Platform interface {
	// VMs lists all VMs.
	VMs(context.Context) ([]VM, error)
	// Move stops what runs on a VM and moves it to a pool. It is idempotent.
	Move(context.Context, csmodel.VMID, csmodel.PoolID, csmodel.Fence) (Answer, error)
	// Maintain stops what runs on a VM and starts its maintenance for a wave. It is idempotent.
	Maintain(context.Context, csmodel.VMID, csmodel.WaveID, csmodel.Fence) (Answer, error)
}

// Phase is the operating state of a VM.
type Phase uint8

// Phases of a VM.
const (
	Down Phase = iota
	Up
	Moving
	InMaintenance
)

// VM is a VM as the platform lists it.
type VM struct {
	ID        csmodel.VMID
	Pool      csmodel.PoolID
	Phase     Phase
	Zone      csmodel.AvailabilityZone
	Rack      string
	Resources csjob.Resources
	Target    csjob.TargetID // empty if no target runs on the VM
}

// Answer is the platform's answer to an order.
type Answer uint8

// Answers to an order.
const (
	Done          Answer = iota // the order was carried out, now or by an earlier call
	Fenced                      // a higher fence was used for the VM
	Busy                        // the VM is not up or is leaving
	NotApplicable               // the VM is not part of the wave or the pool, or does not exist
	RateLimited                 // rate limit reached; the order may be repeated later
)

var answerNames = [...]string{"done", "fenced", "busy", "foreign", "limited"}

// String returns the name of the answer.
func (a Answer) String() string { return answerNames[a] }
