package csrun

import (
	"slices"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// addressIndex finds targets by address, because each heartbeat of a target asks who else has its address. The zero value is
// empty.
type addressIndex struct {
	addresses map[csjob.TargetID]string
	targets   map[string][]csjob.TargetID // more than one while an address passes on to another target; sorted
}

// set changes the address of a target. An empty address removes the target.
func (a *addressIndex) set(id csjob.TargetID, address string) {
	before := a.addresses[id]
	if before == address {
		return
	}
	if before != "" {
		a.targets[before] = slices.DeleteFunc(a.targets[before], func(o csjob.TargetID) bool { return o == id })
		if len(a.targets[before]) == 0 {
			delete(a.targets, before)
		}
		delete(a.addresses, id)
	}
	if address == "" {
		return
	}
	if a.addresses == nil {
		a.addresses, a.targets = map[csjob.TargetID]string{}, map[string][]csjob.TargetID{}
	}
	a.addresses[id] = address
	at, _ := slices.BinarySearch(a.targets[address], id)
	a.targets[address] = slices.Insert(a.targets[address], at, id)
}

// at returns the targets with an address, sorted by name.
func (a *addressIndex) at(address string) []csjob.TargetID { return a.targets[address] }
