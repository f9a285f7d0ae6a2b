package runner

import "github.com/rotisserie/eris"

// Recover turns a panic into an error that carries the stack of the panic, and leaves *err unchanged if there is none. It must be deferred
// directly.
func Recover(err *error) {
	if p := recover(); p != nil {
		*err = eris.Errorf("panic: %v", p)
	}
}
