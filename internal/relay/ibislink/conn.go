package ibislink

import (
	"bufio"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const bufferBytes = 4 << 10

// conn is one connection with its read buffer.
type conn struct {
	tcp       *net.TCPConn
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConn(tcp *net.TCPConn) *conn {
	return &conn{
		tcp:    tcp,
		reader: bufio.NewReaderSize(tcp, bufferBytes),
	}
}

// quiet reports whether the connection is open and nothing has arrived that no request asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
