// Package csvms moves VMs between pools to where work waits and takes them through maintenance waves.
package csvms

import (
	"context"
	"errors"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// ErrNoAnswer reports an order to the platform whose effect is not known.
var ErrNoAnswer = errors.New("csvms: no answer")

// Platform is the interface to the VMs.
type Platform interface {
	// VMs lists all VMs.
	VMs(context.Context) ([]VM, error)
	// Move ends what runs on a VM and takes it to a pool. It is idempotent.
	Move(context.Context, csmodel.VMID, csmodel.PoolID, csmodel.Fence) (Answer, error)
	// Maintain ends what runs on a VM and starts its maintenance. It is idempotent.
	Maintain(context.Context, csmodel.VMID, csmodel.WaveID, csmodel.Fence) (Answer, error)
}

// Phase is what a VM is doing.
type Phase uint8

// Phases of a VM.
const (
	Down Phase = iota
	Up
	Moving
	Maintained
)

// VM is a VM as the platform lists it.
type VM struct {
	ID     csmodel.VMID
	Pool   csmodel.PoolID
	Phase  Phase
	Zone   csmodel.AvailabilityZone
	Rack   string
	Room   csjob.Room
	Target csjob.TargetID // empty where none runs
}

// Answer is the platform's answer to an order.
type Answer uint8

// Answers.
const (
	Done    Answer = iota
	Fenced         // a higher fence was used for the VM
	Busy           // the VM is not up or is leaving
	Foreign        // the VM does not belong to the wave or the pool, or does not exist
	Limited        // too many calls; try again
)

var answerNames = [...]string{"done", "fenced", "busy", "foreign", "limited"}

// String returns the name of the answer.
func (a Answer) String() string { return answerNames[a] }
