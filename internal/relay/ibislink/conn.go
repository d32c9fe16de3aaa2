package ibislink

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const bufferBytes = 4 << 10

// conn is a connection with its read buffer.
type conn struct {
	tcp       *net.TCPConn
	source    *limitedReader
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConn(tcp *net.TCPConn) *conn {
	source := &limitedReader{
		source: tcp,
		limit:  math.MaxInt64,
	}
	return &conn{
		tcp:    tcp,
		source: source,
		reader: bufio.NewReaderSize(source, bufferBytes),
	}
}

// readHead reads the head of a response, at most limit bytes, and returns its size in bytes as well. It fails with
// ErrLongHead if the head doesn't end within the limit.
func (c *conn) readHead(request *http.Request, limit int64) (*http.Response, int64, error) {
	begin := c.source.read - int64(c.reader.Buffered())
	c.source.limit = begin + limit
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.source.read >= c.source.limit {
		err = fmt.Errorf("%w: %w", ErrLongHead, err)
	}
	c.source.limit = math.MaxInt64
	return response, c.source.read - int64(c.reader.Buffered()) - begin, err
}

// errReadLimit reports that the limit of a limitedReader has been reached.
var errReadLimit = errors.New("read limit reached")

// limitedReader fails with errReadLimit after it has read limit bytes in total.
type limitedReader struct {
	source io.Reader
	read   int64
	limit  int64
}

// Read reads from the source up to the limit.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		return 0, errReadLimit
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.limit-r.read)])
	r.read += int64(n)
	return n, err
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
