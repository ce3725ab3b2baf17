package csmodel

import (
	"errors"
	"testing"
)

// Guards against amounts that are read in the wrong unit, overflow, or lose digits.
func TestParseUnits(t *testing.T) {
	tests := []struct {
		text  string
		bytes Bytes
		milli MilliCPU
		fix   string
	}{
		{"16GiB", 16 * GiB, -1, ""},
		{"0B", 0, -1, ""},
		{"2.5", -1, 2500, ""},
		{"0.001", -1, 1, ""},
		{"16GB", -1, -1, "write 16GiB"},
		{"16", -1, 16000, "add a unit: 16B, 16MiB or 16GiB"},
		{"1.5GiB", -1, -1, "write a whole number with a unit, for example 1536MiB"},
		{"9999999999999GiB", -1, -1, "write a smaller amount"},
		{"-1GiB", -1, -1, "write a number with a unit, for example 16GiB"},
		{"0.0001", -1, -1, "add a unit: 0.0001B, 0.0001MiB or 0.0001GiB"},
	}
	for _, tt := range tests {
		amount, err := ParseBytes(tt.text)
		var refused *UnitError
		switch {
		case tt.bytes >= 0 && (err != nil || amount != tt.bytes):
			t.Errorf("%q: got %v, %v, want %v", tt.text, amount, err, tt.bytes)
		case tt.bytes < 0 && tt.fix != "" && (!errors.As(err, &refused) || refused.Fix() != tt.fix):
			t.Errorf("%q: got %v, %+v, want fix %q", tt.text, amount, refused, tt.fix)
		}
		cores, err := ParseMilliCPU(tt.text)
		if (err == nil) != (tt.milli >= 0) || (err == nil && cores != tt.milli) {
			t.Errorf("%q: got %v cores, %v, want %d", tt.text, cores, err, tt.milli)
		}
	}
}
