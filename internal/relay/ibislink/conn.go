package ibislink

import (
	"bufio"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const bufferBytes = 4 << 10

// conn is a connection with its read buffer.
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
