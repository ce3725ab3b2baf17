package csapi

import (
	"cowslipstream.example/cowslipstream/csyaml"
)

// Faults returns the faults that the parsing or validation of a configuration reported. It is empty, not nil, where
// there are none.
func Faults(err error) []Fault {
	list := csyaml.List(err)
	faults := make([]Fault, 0, len(list))
	for _, f := range list {
		faults = append(faults, Fault{Path: f.Path, Line: f.Line, Column: f.Column, Reason: f.Reason, Fix: f.Fix})
	}
	return faults
}
