package ibispipeline

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeldBytes bounds the bytes of a socket that are read but not passed on. A head that does not fit is served alone.
	maxHeldBytes = 16 << 10
	// readBytes is how much is read of a split socket at once.
	readBytes = 4 << 10
	// lingerTime is how long a closed socket is read on. Closing it with unread bytes would reset it, and the reset may destroy
	// answers before the caller reads them. http.Server waits for the same time.
	lingerTime = 500 * time.Millisecond
)

// class is what the handler of a request has said about it.
type class int

const (
	classUnknown class = iota
	classIdempotent
	classExclusive
)

// request is a request that a Conn has, or whose answer has not been written to the end.
type request struct {
	arrived time.Time
	class   class
	// single means that no other request of the socket is passed on beside it, and endless that no later one is told apart.
	single, endless bool
	// unread is the length of the part that the Conn still reads from the held bytes.
	unread int64
	// answer is the buffered part of the answer.
	answer []byte
	// direct means that all answers before this one have been written.
	direct bool
	// done means that the answer has ended, and closes that the connection ends with it.
	done, closes bool
	// cut means that the answer will not be written.
	cut bool
	// waits means that the handler waits until the request may be passed on.
	waits bool
	conn  *Conn
}

// socket is an accepted connection with the connections of http.Server that its byte stream is split into.
type socket struct {
	pipeline *Pipeline
	inner    net.Conn
	primary  *Conn
	split    atomic.Bool

	// Before the split, these follow the one request of the socket; they belong to the goroutine that reads.

	// opaque means that the ends of requests aren't known any more, so that the socket is never split.
	opaque bool
	// partial holds the begin of a head that arrives in pieces; its memory is kept for the next one.
	partial []byte
	// single is whether the request is other than GET or HEAD without a body, and unreadBody the length of the rest of its body.
	single     bool
	unreadBody int64

	mu      sync.Mutex
	changed sync.Cond
	// ended means that the request has been read whole, and its answer has not ended.
	ended bool
	// resets means that the end of the socket resets it.
	resets bool
	// draining means that no further request is passed on, as the socket ends after the answers.
	draining bool

	// All below is used after the split only.

	// held are the bytes that have been read but not passed on, from heldFrom on in the stream; reservedBytes is the part of them that
	// the budget has granted.
	held          []byte
	heldFrom      int64
	reservedBytes int
	// awaitsLine means that the held head stays incomplete until another line ends.
	awaitsLine bool
	// arrivals holds the times at which the held bytes arrived.
	arrivals []arrival
	// requests are those whose answers have not been written to the end, in the order of the stream.
	requests []*request
	conns    []*Conn
	// bufferedBytes is the sum of the buffered answers.
	bufferedBytes int
	// flushing means that a goroutine writes buffered answers.
	flushing bool
	// headDeadline means that the socket has a deadline for the rest of a head.
	headDeadline bool
	// readErr is why nothing more can be read.
	readErr error
	// peerGone means that the caller has closed the connection, and stopWatch ends the search for that.
	peerGone  bool
	stopWatch func()
	// ending means that the socket ends and only waits for the caller to notice, closed that it has ended.
	ending, closed bool
}

// arrival is when the bytes of a stream before an offset had arrived.
type arrival struct {
	before int64
	at     time.Time
}

func newSocket(p *Pipeline, inner net.Conn) *socket {
	s := &socket{
		pipeline: p,
		inner:    inner,
	}
	s.changed.L = &s.mu
	s.primary = &Conn{
		socket: s,
	}
	return s
}

// wake lets all that wait for a change look again.
func (s *socket) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}
