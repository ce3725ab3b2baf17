package csmodel

import (
	"cmp"
	"slices"
)

// Set is a set of comparable values. The zero value is empty and can be read; use Add on a made Set.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add puts a value into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has tells whether the value is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Delete removes a value.
func (s Set[T]) Delete(v T) { delete(s, v) }

// SortedKeys returns the keys of a map in ascending order, so that decisions do not depend on map order.
func SortedKeys[M ~map[K]V, K cmp.Ordered, V any](m M) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
