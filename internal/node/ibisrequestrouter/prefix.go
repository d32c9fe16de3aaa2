package ibisrequestrouter

import (
	"bytes"
	"io"
	"sync"
)

// answerPrefix reads the first bytes of an answer in the background. Its Read returns these bytes and then the remainder.
type answerPrefix struct {
	body        io.Reader
	content     []byte
	err         error
	done        chan struct{}
	stopped     chan struct{}
	stopWaiting func()
	reader      io.Reader
}

// readPrefix starts to read the first bytes of the body, up to one byte more than the limit.
func readPrefix(body io.Reader, limit int64) *answerPrefix {
	a := &answerPrefix{
		body:    body,
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	a.stopWaiting = sync.OnceFunc(func() { close(a.stopped) })
	go func() {
		defer close(a.done)
		a.content, a.err = io.ReadAll(io.LimitReader(body, limit+1))
	}()
	return a
}

// wait blocks until the prefix, or the whole body if it is shorter, is read or stopWaiting is called. It reports whether
// the reading ended first, with or without an error.
func (a *answerPrefix) wait() bool {
	select {
	case <-a.done:
		return true
	case <-a.stopped:
		return false
	}
}

// Read returns the prefix and then the remainder of the body; it blocks until the prefix is read.
func (a *answerPrefix) Read(p []byte) (int, error) {
	<-a.done
	if a.reader == nil {
		a.reader = io.MultiReader(bytes.NewReader(a.content), a.remainder())
	}
	return a.reader.Read(p)
}

func (a *answerPrefix) remainder() io.Reader {
	if a.err != nil {
		return failedReader{
			err: a.err,
		}
	}
	return a.body
}

// Close waits until the reading of the prefix has ended. The time limit for backend servers bounds the wait if the server
// stalls.
func (a *answerPrefix) Close() error {
	<-a.done
	return nil
}

type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }
