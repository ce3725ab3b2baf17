package csconfig

import (
	"cowslipstream.example/cowslipstream/csyaml"
)

// Parse reads and validates a configuration. The file name appears in faults only. The error is a
// *csyaml.InvalidError and lists every fault with its position.
func Parse(file string, data []byte) (Configuration, error) {
	return parse(file, data, Configuration.Validate)
}

// ParseFor is Parse with the checks of ValidateFor.
func ParseFor(file string, data []byte, topology Topology) (Configuration, error) {
	return parse(file, data, func(c Configuration) error { return c.ValidateFor(topology) })
}

func parse(file string, data []byte, validate func(Configuration) error) (Configuration, error) {
	var c Configuration
	document, err := csyaml.Decode(file, data, &c)
	if err != nil {
		return Configuration{}, err
	}
	if err := validate(c); err != nil {
		return Configuration{}, document.Place(err)
	}
	return c, nil
}

// Print returns the YAML form of a valid configuration. Parse restores the same configuration, with times in UTC.
func Print(c Configuration) ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return csyaml.Encode(c)
}
