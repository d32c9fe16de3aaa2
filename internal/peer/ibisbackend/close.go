package ibisbackend

import "sync"

// OnClose registers f to be called once, when the body is first closed; functions registered later are called first.
func (a *Answer) OnClose(f func()) {
	before := a.body.onClose
	a.body.onClose = sync.OnceFunc(func() {
		f()
		if before != nil {
			before()
		}
	})
}
