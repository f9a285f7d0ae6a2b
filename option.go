package sycamoretiller

// Option is a value that may be absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option with a value.
func Some[T any](v T) Option[T] { return Option[T]{value: v, present: true} }

// None returns an empty option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// OrElse returns the value if it is present, and other if not.
func (o Option[T]) OrElse(other T) T {
	if o.present {
		return o.value
	}

	return other
}
