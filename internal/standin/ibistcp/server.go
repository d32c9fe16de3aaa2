package ibistcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Answer returns the raw bytes that answer a request, by the numbers of its connection and of the request on it, both from 0, and
// whether the connection is closed afterwards.
type Answer func(connection, number int, r *http.Request) (bytes string, closing bool)

// Server reads HTTP requests and answers them with raw bytes.
type Server struct {
	listener net.Listener
	reply    func(connection, number int, r *http.Request) Reply
}

// Start returns a server that listens on the loopback address and answers requests once it has read their bodies; it must be closed. It
// fails if it can't listen.
func Start(answer Answer) (*Server, error) {
	return StartReplies(func(connection, number int, r *http.Request) Reply {
		_, _ = io.Copy(io.Discard, r.Body)
		bytes, closing := answer(connection, number, r)
		reply := Reply{
			Bytes: bytes,
		}
		if closing {
			reply.End = EndClose
		}
		return reply
	})
}

// StartReplies returns a server that listens on the loopback address and answers with what the function returns, by the numbers of the
// connection and of the request on it, both from 0; it must be closed. It fails if it can't listen.
func StartReplies(reply func(connection, number int, r *http.Request) Reply) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		reply:    reply,
	}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the listener; open connections go on.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for connection := 0; ; connection++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn, connection)
	}
}

func (s *Server) serve(conn net.Conn, connection int) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		if !s.reply(connection, number, r).Send(conn, r) {
			return
		}
	}
}
