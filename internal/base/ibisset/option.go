package ibisset

// Option is a value that may be absent; the zero Option is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an Option that contains the value.
func Some[T any](v T) Option[T] {
	return Option[T]{
		value:   v,
		present: true,
	}
}

// None returns an absent Option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value if it is present, and the fallback otherwise.
func (o Option[T]) Or(fallback T) T {
	if !o.present {
		return fallback
	}
	return o.value
}
