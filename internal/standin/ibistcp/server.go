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

// Server reads HTTP requests, with their bodies, and answers them with raw bytes.
type Server struct {
	listener net.Listener
	answer   Answer
}

// Start returns a server that listens on the loopback address; it must be closed. It fails if it can't listen.
func Start(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		answer:   answer,
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
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		bytes, closing := s.answer(connection, number, r)
		if _, err := io.WriteString(conn, bytes); err != nil || closing {
			return
		}
	}
}
