package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// State is the state of a VM.
type State uint8

// States of VMs.
const (
	Serving   State = iota + 1
	Draining        // a move or reboot has started; waiting for Drained
	Handover        // drained for a move; waiting for HandOver or Admit
	Rebooting       // drained for a reboot
	Lost            // sent no announcement for too long
)

// Step is the voluntary step that a VM is in.
type Step uint8

// Voluntary steps.
const (
	StepNone Step = iota
	StepMove
	StepReboot
)

// VM is the replicated record of a VM.
type VM struct {
	ID csmodel.VMID `cbor:"1,keyasint"`
	// Home is the pool whose budget the VM counts against. Pool is the only pool that it serves.
	Home  csmodel.PoolID           `cbor:"2,keyasint"`
	Pool  csmodel.PoolID           `cbor:"3,keyasint"`
	Zone  csmodel.AvailabilityZone `cbor:"4,keyasint"`
	Rack  csmodel.Rack             `cbor:"5,keyasint"`
	Fence csmodel.Fence            `cbor:"6,keyasint"`
	State State                    `cbor:"7,keyasint"`
	Step  Step                     `cbor:"8,keyasint,omitempty"`
	// From and To are the pools of a move. Permanent is set if Home changes at admission, HandedOver once Pool has
	// changed.
	From        csmodel.PoolID      `cbor:"17,keyasint,omitempty"`
	To          csmodel.PoolID      `cbor:"9,keyasint,omitempty"`
	Permanent   bool                `cbor:"10,keyasint,omitempty"`
	HandedOver  bool                `cbor:"11,keyasint,omitempty"`
	Incarnation csmodel.Incarnation `cbor:"12,keyasint"`
	CPU         csmodel.MilliCPU    `cbor:"13,keyasint,omitempty"`
	Memory      csmodel.Bytes       `cbor:"14,keyasint,omitempty"`
	// Maintained is the end of the last reboot. Since is the time of the last change of state.
	Maintained time.Time `cbor:"15,keyasint,omitzero"`
	Since      time.Time `cbor:"16,keyasint,omitzero"`
}

// Lent reports whether the VM belongs to a pool other than its home.
func (v VM) Lent() bool { return v.Pool != v.Home }

// InMove reports whether a move of the VM is under way.
func (v VM) InMove() bool { return v.Step == StepMove && v.State != Lost }

// InReboot reports whether the VM is drained for a reboot or rebooting.
func (v VM) InReboot() bool { return v.Step == StepReboot && v.State != Lost }

// undoable reports whether the voluntary step can still be undone.
func (v VM) undoable() bool {
	return v.State == Draining || v.State == Handover && !v.HandedOver
}

// returnToService ends any step and puts the VM into service.
func (v *VM) returnToService() {
	if v.HandedOver && v.Permanent {
		v.Home = v.Pool
	}
	v.State = Serving
	v.clearStep()
}

func (v *VM) clearStep() {
	v.Step = StepNone
	v.From, v.To = "", ""
	v.Permanent, v.HandedOver = false, false
}
