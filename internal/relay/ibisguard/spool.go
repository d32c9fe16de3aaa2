package ibisguard

import (
	"errors"
	"io"
	"sync"
)

// errLongBody reports an answer with more bytes than its head announced.
var errLongBody = errors.New("the body of the answer goes on after its length")

// spool takes a long answer off the backend server as fast as that gives it, and hands it on as fast as the caller takes
// it, so that a slow link doesn't hold the backend server's slot.
type spool struct {
	from io.ReadCloser
	// left is told how many bytes no longer wait.
	left func(bytes int)

	mu     sync.Mutex
	more   chan struct{}
	bytes  []byte
	next   int
	err    error
	closed bool
}

// newSpool begins to read a body of the length.
func newSpool(from io.ReadCloser, length int, left func(bytes int)) *spool {
	s := &spool{
		from:  from,
		left:  left,
		more:  make(chan struct{}),
		bytes: make([]byte, 0, length),
	}
	go s.fill()
	return s
}

// fill reads the body to its end.
func (s *spool) fill() {
	for {
		read := len(s.bytes)
		n, err := s.from.Read(s.bytes[read:cap(s.bytes)])
		if err == nil && read+n == cap(s.bytes) {
			// The body has its length; its end must still be read, so that its connection can be used again.
			err = s.end()
		}
		s.mu.Lock()
		s.bytes = s.bytes[:read+n]
		s.err = err
		close(s.more)
		s.more = make(chan struct{})
		s.mu.Unlock()
		if err != nil {
			_ = s.from.Close()
			return
		}
	}
}

// end reads the end of a body that has its length.
func (s *spool) end() error {
	var extra [1]byte
	if _, err := io.ReadFull(s.from, extra[:]); err != nil {
		return err
	}
	return errLongBody
}

// Read waits for bytes and returns them; it fails where the body breaks off.
func (s *spool) Read(p []byte) (int, error) {
	for {
		s.mu.Lock()
		n := copy(p, s.bytes[s.next:])
		s.next += n
		more, err := s.more, s.err
		s.mu.Unlock()
		if n > 0 {
			s.left(n)
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		<-more
	}
}

// Close gives the rest of the body up.
func (s *spool) Close() error {
	s.mu.Lock()
	rest := cap(s.bytes) - s.next
	again := s.closed
	s.closed = true
	s.mu.Unlock()
	if again {
		return nil
	}
	s.left(rest)
	return s.from.Close()
}
