package csfleet

import (
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// Status is the outcome of a command.
type Status uint8

// Outcomes of commands.
const (
	Invalid         Status = iota // the command cannot be decoded or is malformed
	OK                            // the command changed the machine
	Repeated                      // the command had been applied before; nothing changed
	Stale                         // an old fence, version or revision
	NotFound                      // no such VM, pool or wave
	Exists                        // another VM has the same id
	WrongState                    // the VM or wave is in a state that does not allow the step
	OverBudget                    // the step would exceed the availability budget of the home pool
	ZoneUnreachable               // the VM's availability zone is unreachable
	Busy                          // the VM still holds a task lease
	NotAllowed                    // the pool does not allow the zone or cannot give up the VM
)

// Accepted reports whether the command has taken effect, now or earlier.
func (s Status) Accepted() bool { return s == OK || s == Repeated }

// Result is the response of the machine to a command.
type Result struct {
	Status Status `cbor:"1,keyasint"`
	// Fence is the VM's fence after the command.
	Fence csmodel.Fence `cbor:"2,keyasint,omitempty"`
	// Version is the wave's or zone's version after the command.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Tasks are the results of the commands of Tasks, in order.
	Tasks []cstask.Result `cbor:"4,keyasint,omitempty"`
}
