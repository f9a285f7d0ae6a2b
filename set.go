package sycamoretiller

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T cmp.Ordered] struct {
	members map[T]struct{}
}

// NewSet returns a set with the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := Set[T]{members: make(map[T]struct{}, len(values))}
	for _, v := range values {
		s.Add(v)
	}

	return s
}

// Add inserts a value and reports whether it was new.
func (s Set[T]) Add(v T) bool {
	if s.Has(v) {
		return false
	}

	s.members[v] = struct{}{}

	return true
}

// Has reports whether the value is a member.
func (s Set[T]) Has(v T) bool {
	_, ok := s.members[v]

	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int { return len(s.members) }

// Union returns a set of the members of both.
func (s Set[T]) Union(o Set[T]) Set[T] {
	out := Set[T]{members: maps.Clone(s.members)}
	maps.Copy(out.members, o.members)

	return out
}

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T {
	out := make([]T, 0, len(s.members))
	for v := range s.members {
		out = append(out, v)
	}

	slices.Sort(out)

	return out
}
