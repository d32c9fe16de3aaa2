package ibisdoor

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
	s := &answerPrefix{
		body:    body,
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	s.stopWaiting = sync.OnceFunc(func() { close(s.stopped) })
	go func() {
		defer close(s.done)
		s.content, s.err = io.ReadAll(io.LimitReader(body, limit+1))
	}()
	return s
}

// wait blocks until the prefix, or the whole body if it is shorter, is read or stopWaiting is called. It reports whether
// the reading ended first, with or without an error.
func (s *answerPrefix) wait() bool {
	select {
	case <-s.done:
		return true
	case <-s.stopped:
		return false
	}
}

// Read returns the prefix and then the remainder of the body; it blocks until the prefix is read.
func (s *answerPrefix) Read(p []byte) (int, error) {
	<-s.done
	if s.reader == nil {
		s.reader = io.MultiReader(bytes.NewReader(s.content), s.remainder())
	}
	return s.reader.Read(p)
}

func (s *answerPrefix) remainder() io.Reader {
	if s.err != nil {
		return failedReader{
			err: s.err,
		}
	}
	return s.body
}

// Close waits until the reading of the prefix has ended. The time limit for backend servers bounds the wait if the server
// stalls.
func (s *answerPrefix) Close() error {
	<-s.done
	return nil
}

type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }
