package csconfig

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
)

// ErrDelta is returned for a delta that does not fit the configuration it is applied to.
var ErrDelta = errors.New("delta does not fit the configuration")

// Changes lists what differs in one list of a configuration.
type Changes[K ~string, T any] struct {
	// Set holds added and changed items in ascending order of names.
	Set []T `cbor:"1,keyasint,omitempty"`
	// Removed holds the names of removed items in ascending order.
	Removed []K `cbor:"2,keyasint,omitempty"`
}

// Delta is the difference between two configurations by name. The order of the lists of a configuration is not part of
// its value. The zero value changes nothing.
type Delta struct {
	Pools Changes[csmodel.PoolID, Pool] `cbor:"1,keyasint,omitzero"`
	Jobs  Changes[csmodel.JobID, Job]   `cbor:"2,keyasint,omitzero"`
	Teams Changes[csmodel.TeamID, Team] `cbor:"3,keyasint,omitzero"`
	Waves Changes[csmodel.WaveID, Wave] `cbor:"4,keyasint,omitzero"`
}

func poolName(p Pool) csmodel.PoolID { return p.Name }
func jobName(j Job) csmodel.JobID    { return j.Name }
func teamName(t Team) csmodel.TeamID { return t.Name }
func waveName(w Wave) csmodel.WaveID { return w.Name }

// Diff returns the delta that turns old into new.
func Diff(old, new Configuration) Delta { //nolint:revive,predeclared // the pair of names is the clearest
	return Delta{
		Pools: diff(old.Pools, new.Pools, poolName),
		Jobs:  diff(old.Jobs, new.Jobs, jobName),
		Teams: diff(old.Teams, new.Teams, teamName),
		Waves: diff(canonicalWaves(old.Waves), canonicalWaves(new.Waves), waveName),
	}
}

func diff[K ~string, T any](old, changed []T, name func(T) K) Changes[K, T] {
	before := index(old, name)
	var c Changes[K, T]
	for _, item := range sorted(changed, name) {
		previous, ok := before[name(item)]
		delete(before, name(item))
		if !ok || !equal(previous, item) {
			c.Set = append(c.Set, item)
		}
	}
	if len(before) > 0 {
		c.Removed = csmodel.SortedKeys(before)
	}
	return c
}

func index[K ~string, T any](items []T, name func(T) K) map[K]T {
	m := make(map[K]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// sorted returns a copy in ascending order of names.
func sorted[K ~string, T any](items []T, name func(T) K) []T {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// equal compares encoded forms, in which empty and missing lists are the same.
func equal[T any](a, b T) bool {
	x, errX := encoding.Marshal(a)
	y, errY := encoding.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// Apply returns the changed configuration in canonical form. The argument is not modified.
func (d Delta) Apply(c Configuration) (Configuration, error) {
	pools, err := apply(c.Pools, d.Pools, poolName)
	if err != nil {
		return Configuration{}, fmt.Errorf("pools: %w", err)
	}
	jobs, err := apply(c.Jobs, d.Jobs, jobName)
	if err != nil {
		return Configuration{}, fmt.Errorf("jobs: %w", err)
	}
	teams, err := apply(c.Teams, d.Teams, teamName)
	if err != nil {
		return Configuration{}, fmt.Errorf("teams: %w", err)
	}
	waves, err := apply(canonicalWaves(c.Waves), d.Waves, waveName)
	if err != nil {
		return Configuration{}, fmt.Errorf("waves: %w", err)
	}
	return Configuration{Pools: pools, Jobs: jobs, Teams: teams, Waves: canonicalWaves(waves)}, nil
}

func apply[K ~string, T any](items []T, c Changes[K, T], name func(T) K) ([]T, error) {
	set := index(c.Set, name)
	if len(set) != len(c.Set) {
		return nil, fmt.Errorf("%w: a name is set twice", ErrDelta)
	}
	removed := csmodel.NewSet(c.Removed...)
	out := make([]T, 0, len(items)+len(c.Set))
	seen := make(csmodel.Set[K], len(items))
	for _, item := range items {
		k := name(item)
		if seen.Has(k) {
			return nil, fmt.Errorf("%w: %q is there twice", ErrDelta, k)
		}
		seen.Add(k)
		if _, changed := set[k]; !changed && !removed.Has(k) {
			out = append(out, item)
		}
	}
	for _, k := range c.Removed {
		if _, changed := set[k]; changed || !seen.Has(k) {
			return nil, fmt.Errorf("%w: %q is removed but %s", ErrDelta, k, reason(changed))
		}
	}
	return sorted(append(out, c.Set...), name), nil
}

func reason(changed bool) string {
	if changed {
		return "also set"
	}
	return "does not exist"
}

// Empty tells whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Names()) == 0 }

// Names lists what changed, such as "pool/spare" or "team/office (removed)".
func (d Delta) Names() []string {
	var out []string
	out = appendNames(out, "pool", d.Pools, poolName)
	out = appendNames(out, "job", d.Jobs, jobName)
	out = appendNames(out, "team", d.Teams, teamName)
	return appendNames(out, "wave", d.Waves, waveName)
}

func appendNames[K ~string, T any](out []string, list string, c Changes[K, T], name func(T) K) []string {
	for _, item := range c.Set {
		out = append(out, list+"/"+string(name(item)))
	}
	for _, k := range c.Removed {
		out = append(out, list+"/"+string(k)+" (removed)")
	}
	return out
}
