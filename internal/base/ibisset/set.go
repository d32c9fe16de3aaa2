package ibisset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values; the zero Set is empty and read-only.
type Set[T comparable] map[T]struct{}

// Of returns a set of the given values.
func Of[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Add adds a value to the set; it panics on a nil set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes a value from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether the set contains the value.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T { return slices.Sorted(maps.Keys(s)) }
