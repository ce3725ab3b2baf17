package csconfig

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"cowslipstream.example/cowslipstream/cscodec"
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

// Diff returns the delta that turns old into changed.
func Diff(old, changed Configuration) Delta {
	return Delta{
		Pools: diffItems(old.Pools, changed.Pools, poolName),
		Jobs:  diffItems(old.Jobs, changed.Jobs, jobName),
		Teams: diffItems(old.Teams, changed.Teams, teamName),
		Waves: diffItems(canonicalWaves(old.Waves), canonicalWaves(changed.Waves), waveName),
	}
}

func diffItems[K ~string, T any](old, changed []T, name func(T) K) Changes[K, T] {
	before := indexItems(old, name)
	var c Changes[K, T]
	for _, item := range sortItems(changed, name) {
		previous, ok := before[name(item)]
		delete(before, name(item))
		if !ok || !equalItems(previous, item) {
			c.Set = append(c.Set, item)
		}
	}
	if len(before) > 0 {
		c.Removed = csmodel.SortedKeys(before)
	}
	return c
}

func indexItems[K ~string, T any](items []T, name func(T) K) map[K]T {
	m := make(map[K]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// sortItems returns a copy in ascending order of names.
func sortItems[K ~string, T any](items []T, name func(T) K) []T {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// equalItems compares encoded forms, in which empty and missing lists are the same. Most items have not changed at all,
// which is found faster without encoding.
func equalItems[T any](a, b T) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	x, errX := cscodec.Marshal(a)
	y, errY := cscodec.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// Apply returns the changed configuration in canonical form. The argument is not modified.
func (d Delta) Apply(c Configuration) (Configuration, error) {
	pools, err := applyItems(c.Pools, d.Pools, poolName)
	if err != nil {
		return Configuration{}, fmt.Errorf("pools: %w", err)
	}
	jobs, err := applyItems(c.Jobs, d.Jobs, jobName)
	if err != nil {
		return Configuration{}, fmt.Errorf("jobs: %w", err)
	}
	teams, err := applyItems(c.Teams, d.Teams, teamName)
	if err != nil {
		return Configuration{}, fmt.Errorf("teams: %w", err)
	}
	waves, err := applyItems(canonicalWaves(c.Waves), d.Waves, waveName)
	if err != nil {
		return Configuration{}, fmt.Errorf("waves: %w", err)
	}
	return Configuration{Pools: pools, Jobs: jobs, Teams: teams, Waves: canonicalWaves(waves)}, nil
}

func applyItems[K ~string, T any](items []T, c Changes[K, T], name func(T) K) ([]T, error) {
	set := indexItems(c.Set, name)
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
			return nil, fmt.Errorf("%w: %q is removed but %s", ErrDelta, k, misfit(changed))
		}
	}
	return sortItems(append(out, c.Set...), name), nil
}

func misfit(changed bool) string {
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
