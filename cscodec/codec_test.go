package cscodec

import (
	"bytes"
	"testing"
	"time"
)

type sample struct {
	At    time.Time      `cbor:"1,keyasint,omitzero"`
	Names map[string]int `cbor:"2,keyasint,omitempty"`
}

// Guards against replicas whose snapshots differ because of map order or time zones.
func TestMarshalIsDeterministic(t *testing.T) {
	at := time.Unix(1_700_000_000, 123_456_789)
	zone := time.FixedZone("zone", 3600)
	a, errA := Marshal(sample{At: at.In(zone), Names: map[string]int{"a": 1, "b": 2, "c": 3}})
	b, errB := Marshal(sample{At: at.UTC(), Names: map[string]int{"c": 3, "b": 2, "a": 1}})
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Errorf("got %x and %x, errors %v and %v; want equal forms", a, b, errA, errB)
	}
	var got sample
	if err := Unmarshal(a, &got); err != nil || !got.At.Equal(at) {
		t.Errorf("got time %v and error %v, want %v", got.At, err, at)
	}
}

// Guards against forms that the encoder never writes, which a faulty peer could use to make replicas differ.
func TestUnmarshalIsStrict(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"duplicate key", []byte{0xa2, 0x01, 0x60, 0x01, 0x60}},
		{"indefinite length", []byte{0xbf, 0xff}},
		{"tag", []byte{0xc1, 0x00}},
		{"trailing bytes", []byte{0xa0, 0x00}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v sample
			if err := Unmarshal(tt.data, &v); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}
