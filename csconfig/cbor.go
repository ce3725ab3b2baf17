package csconfig

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/cscodec"
)

// Encode returns the CBOR form.
func (d Delta) Encode() ([]byte, error) { return cscodec.Marshal(d) }

// DecodeDelta reads the CBOR form.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := cscodec.Unmarshal(data, &d); err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}

// Canonical returns a copy with each list in ascending order of names and times in UTC.
func (c Configuration) Canonical() Configuration {
	return Configuration{
		Pools: sortItems(c.Pools, poolName),
		Jobs:  sortItems(c.Jobs, jobName),
		Teams: sortItems(c.Teams, teamName),
		Waves: sortItems(canonicalWaves(c.Waves), waveName),
	}
}

// canonicalWaves returns a copy with times in UTC and without a monotonic reading.
func canonicalWaves(waves []Wave) []Wave {
	out := slices.Clone(waves)
	for i := range out {
		out[i].Start = out[i].Start.Round(0).In(time.UTC)
	}
	return out
}

// Encode returns the CBOR form of the canonical configuration: equal configurations have equal forms.
func (c Configuration) Encode() ([]byte, error) { return cscodec.Marshal(c.Canonical()) }

// DecodeConfiguration reads the CBOR form.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	if err := cscodec.Unmarshal(data, &c); err != nil {
		return Configuration{}, fmt.Errorf("decode configuration: %w", err)
	}
	return c.Canonical(), nil
}

// Digest returns the xxhash64 of the CBOR form.
func (c Configuration) Digest() (uint64, error) {
	data, err := c.Encode()
	if err != nil {
		return 0, fmt.Errorf("digest of a configuration: %w", err)
	}
	return xxhash.Sum64(data), nil
}
