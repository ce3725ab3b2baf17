package csmodel

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value T
	set   bool
}

// Some returns an Option that holds the value.
func Some[T any](v T) Option[T] { return Option[T]{value: v, set: true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.set }

// Or returns the value, or the fallback where it is absent.
func (o Option[T]) Or(fallback T) T {
	if o.set {
		return o.value
	}
	return fallback
}
