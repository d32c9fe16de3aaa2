package ibistcp

import (
	"io"
	"net"
	"net/http"
	"time"
)

// End is how a server ends a connection after a reply.
type End int

const (
	// EndNone means that the connection goes on.
	EndNone End = iota
	// EndClose means that the server closes the connection in order: where the request's body is not read yet, the sending side first.
	EndClose
	// EndReset means that the server resets the connection.
	EndReset
	// EndCloseReset means that the server closes its sending side and resets the connection later.
	EndCloseReset
	// EndHalf means that the server closes its sending side and reads nothing more.
	EndHalf
)

const (
	// beforeReset is the time from the last byte of a reply to a reset, in which the reply is read and the upload goes on.
	beforeReset = 20 * time.Millisecond
	// halfTime is how long a server that reads nothing keeps the connection, longer than any test.
	halfTime = time.Hour
	// endTimeout bounds how long the server reads a connection whose sending side it has closed.
	endTimeout = 10 * time.Second
)

// Reply is an answer as raw bytes.
type Reply struct {
	// Bytes is what is sent.
	Bytes string
	// Early means that it is sent before the body of the request is read.
	Early bool
	// End is how the connection ends afterwards.
	End End
}

// Send answers the request on its connection, and reports whether the connection goes on. It closes one that doesn't.
func (reply Reply) Send(conn net.Conn, r *http.Request) bool {
	if !reply.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if _, err := io.WriteString(conn, reply.Bytes); err != nil {
		_ = conn.Close()
		return false
	}
	if reply.End == EndNone {
		return true
	}
	reply.end(conn.(*net.TCPConn))
	return false
}

func (reply Reply) end(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if reply.End != EndReset {
		_ = conn.CloseWrite()
	}
	switch {
	case reply.End == EndReset || reply.End == EndCloseReset:
		time.Sleep(beforeReset)
		_ = conn.SetLinger(0)
	case reply.End == EndHalf:
		time.Sleep(halfTime)
	case reply.Early:
		_ = conn.SetReadDeadline(time.Now().Add(endTimeout))
		_, _ = io.Copy(io.Discard, conn)
	}
}
