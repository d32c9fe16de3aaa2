package ibislink

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
)

const (
	bufferBytes = 4 << 10
	// maxRefusedIDs is the number of requests that may be refused on a connection before it is closed.
	maxRefusedIDs = 64
)

// conn is a connection with its read buffer.
type conn struct {
	tcp *net.TCPConn
	// checked is tcp with a check of the responses; requests are written and responses read through it.
	checked *ibisresponse.Conn
	// source limits what is read while a head is.
	source    *io.LimitedReader
	reader    *bufio.Reader
	idleUntil time.Time
	// used means that a response has arrived on the connection.
	used bool
	// refusedIDs lists the ids of requests that were refused on the connection.
	refusedIDs []string
}

// hasRefused reports whether a request with the id was refused on the connection: a repetition of that refusal could not be told
// from one of another request with the id.
func (c *conn) hasRefused(id string) bool { return slices.Contains(c.refusedIDs, id) }

// take records that a response which carries the id got has arrived, and reports whether it answers the request with the id: a
// refusal may also carry no id, but only as the first response.
func (c *conn) take(got, id string, refusal bool) bool {
	first := !c.used
	c.used = true
	if !refusal {
		return got == id
	}
	if got != "" && got == id {
		c.refusedIDs = append(c.refusedIDs, id)
		return true
	}
	return got == "" && first
}

func newConn(tcp *net.TCPConn) *conn {
	checked := ibisresponse.NewConn(tcp)
	source := &io.LimitedReader{
		R: checked,
		N: math.MaxInt64,
	}
	return &conn{
		tcp:     tcp,
		checked: checked,
		source:  source,
		reader:  bufio.NewReaderSize(source, bufferBytes),
	}
}

// readHead reads the head of a response, at most limit bytes, and returns its size in bytes as well. It fails with
// ErrLongHead if the head doesn't end within the limit, and with ibisresponse.ErrMalformed if no sound server sends it.
func (c *conn) readHead(request *http.Request, limit int64) (*http.Response, int64, error) {
	c.source.N = limit - int64(c.reader.Buffered())
	readAhead, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.checked.BeginResponse(readAhead); err != nil {
		return nil, 0, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if fault := c.checked.Fault(); err != nil && fault != nil {
		err = fault
	}
	if err != nil && c.source.N <= 0 {
		err = fmt.Errorf("%w: %w", ErrLongHead, err)
	}
	size := limit - c.source.N - int64(c.reader.Buffered())
	c.source.N = math.MaxInt64
	return response, size, err
}

// finishGreeting reads the rest of the response to the greeting; it fails if the connection can't be used afterwards.
func (c *conn) finishGreeting(response *Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes+1))
	if err != nil {
		return err
	}
	if reusable := response.Body.(*body).reusable; !reusable || n > maxMismatchedBytes || c.reader.Buffered() > 0 {
		return errors.New("the peer doesn't keep the connection")
	}
	// A refusal of the next request can't be a repetition of this response, which isn't one.
	c.used = false
	return nil
}

// isUsable reports whether the connection is open and has no unsolicited bytes to read.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return err == nil && usable
}
