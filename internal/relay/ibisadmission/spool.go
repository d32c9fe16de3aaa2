package ibisadmission

import (
	"errors"
	"io"
	"sync"
)

// errLongBody reports an answer with more bytes than its headers announced.
var errLongBody = errors.New("answer body has more bytes than its announced length")

// spool buffers a long answer as fast as the backend server sends it and returns it as fast as the caller reads it, so that
// a slow link does not occupy a slot of the backend server.
type spool struct {
	source io.ReadCloser
	// release is called with the number of bytes that no longer wait for the link.
	release func(bytes int)

	mu         sync.Mutex
	changed    chan struct{}
	bytes      []byte
	readOffset int
	err        error
	closed     bool
}

// newSpool begins to read a body of the given length in bytes.
func newSpool(source io.ReadCloser, length int, release func(bytes int)) *spool {
	s := &spool{
		source:  source,
		release: release,
		changed: make(chan struct{}),
		bytes:   make([]byte, 0, length),
	}
	go s.fill()
	return s
}

// fill reads the body into the buffer up to its end.
func (s *spool) fill() {
	for {
		read := len(s.bytes)
		n, err := s.source.Read(s.bytes[read:cap(s.bytes)])
		if err == nil && read+n == cap(s.bytes) {
			// All announced bytes are here; the end must still be read, so that the connection can be reused.
			err = s.readEnd()
		}
		s.mu.Lock()
		s.bytes = s.bytes[:read+n]
		s.err = err
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
		if err != nil {
			_ = s.source.Close()
			return
		}
	}
}

// readEnd reads the end of a body after its announced length; it returns io.EOF, or errLongBody if more bytes follow.
func (s *spool) readEnd() error {
	var extra [1]byte
	if _, err := io.ReadFull(s.source, extra[:]); err != nil {
		return err
	}
	return errLongBody
}

// Read waits for bytes and returns them; after the last byte it returns the error that ended the body.
func (s *spool) Read(p []byte) (int, error) {
	for {
		s.mu.Lock()
		n := copy(p, s.bytes[s.readOffset:])
		s.readOffset += n
		changed, err := s.changed, s.err
		s.mu.Unlock()
		if n > 0 {
			s.release(n)
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		<-changed
	}
}

// Close discards the rest of the body and closes the connection it is read from; further calls do nothing.
func (s *spool) Close() error {
	s.mu.Lock()
	rest := cap(s.bytes) - s.readOffset
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	s.release(rest)
	return s.source.Close()
}
