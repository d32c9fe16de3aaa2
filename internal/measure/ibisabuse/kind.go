package ibisabuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// bodyBytes is the length of a body that the configuration allows many times over.
	bodyBytes = 64 << 10
	// fieldBytes is the length of a head of short fields, just below the 16 KiB that a configuration allows.
	fieldBytes = 15_000
	// endlessBytes is how much is sent of a head without an end.
	endlessBytes = 250_000
	// overlongBytes is how much is sent of a body without an end.
	overlongBytes = 1 << 20
	// pipelined is the number of requests that are sent on a connection whose answers are not read.
	pipelined = 400
	// slowInterval is the time between two bytes of a slow sender.
	slowInterval = 100 * time.Millisecond
	// filler is what bodies consist of: a decoder of JSON reads on after it.
	filler = " "
)

// Kind is a way to misbehave on a connection.
type Kind struct {
	// Name tells the kinds apart.
	Name string
	// send writes to the connection until there is nothing more to send, or a write fails; no answer is read.
	send func(s sender)
}

// sender writes the requests of one client.
type sender struct {
	*bufio.Writer
	conn net.Conn
	// head is the request target's host and path, and the fields that a port expects.
	head Head
}

// Head is what distinguishes the requests to one port from those to another.
type Head struct {
	// Host is the Host field.
	Host string
	// Path is the request target.
	Path string
	// BodyMethod is the method of requests with a body.
	BodyMethod string
	// Fields holds further lines of the head, each with its end.
	Fields string
}

// begin writes the beginning of a request's head, without the empty line that ends it.
func (s sender) begin(method string) {
	_, _ = fmt.Fprintf(s, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, s.head.Path, s.head.Host, s.head.Fields)
}

// fields writes n bytes of fields that are as short as possible and all different.
func (s sender) fields(n int) {
	for i := 0; n > 0; i++ {
		written, err := fmt.Fprintf(s, "%x:\r\n", i)
		if err != nil {
			return
		}
		n -= written
	}
}

// drip writes text byte by byte until a write fails.
func (s sender) drip(text string) {
	_ = s.Flush()
	for i := 0; ; i = (i + 1) % len(text) {
		if _, err := s.conn.Write([]byte{text[i]}); err != nil {
			return
		}
		time.Sleep(slowInterval)
	}
}

func sendOne(s sender) {
	s.begin("GET")
	_, _ = s.WriteString("\r\n")
}

func sendPipelined(s sender) {
	for range pipelined {
		sendOne(s)
	}
}

// Askers returns ways to ask for an answer: some read it for as long as it lasts, the others don't.
func Askers() []Kind {
	return []Kind{
		{Name: "answer read", send: func(s sender) {
			sendOne(s)
			_ = s.Flush()
			_, _ = io.Copy(io.Discard, s.conn)
		}},
		{Name: "answer not read", send: sendOne},
		{Name: "pipelined reads", send: sendPipelined},
	}
}

// Kinds returns the kinds.
func Kinds() []Kind {
	return []Kind{
		{Name: "body one byte short", send: func(s sender) {
			s.begin(s.head.BodyMethod)
			_, _ = fmt.Fprintf(s, "Content-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat(filler, bodyBytes-1))
		}},
		{Name: "body in chunks of one byte", send: func(s sender) {
			s.begin(s.head.BodyMethod)
			_, _ = fmt.Fprintf(s, "Transfer-Encoding: chunked\r\nTrailer: a\r\n\r\n%s0\r\na: %s", strings.Repeat("1\r\n"+filler+"\r\n", bodyBytes/2), strings.Repeat("x", 3000))
		}},
		{Name: "body over the limit", send: func(s sender) {
			s.begin(s.head.BodyMethod)
			_, _ = fmt.Fprintf(s, "Content-Length: %d\r\n\r\n%s", int64(1)<<40, strings.Repeat(filler, overlongBytes))
		}},
		{Name: "head of short fields, body open", send: func(s sender) {
			s.begin(s.head.BodyMethod)
			s.fields(fieldBytes)
			_, _ = fmt.Fprintf(s, "Content-Length: 10\r\n\r\n")
		}},
		{Name: "head without an end", send: func(s sender) {
			s.begin("GET")
			s.fields(endlessBytes)
		}},
		{Name: "head that stops", send: func(s sender) {
			s.begin("GET")
			s.fields(fieldBytes)
		}},
		{Name: "pipelined reads", send: sendPipelined},
		{Name: "slow head", send: func(s sender) {
			s.begin("GET")
			s.drip("a:b\r\n")
		}},
		{Name: "slow body", send: func(s sender) {
			s.begin(s.head.BodyMethod)
			_, _ = fmt.Fprintf(s, "Content-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat(filler, bodyBytes-1000))
			s.drip(filler)
		}},
		{Name: "answer not read", send: sendOne},
		{Name: "expects 100-continue", send: func(s sender) {
			s.begin(s.head.BodyMethod)
			_, _ = fmt.Fprintf(s, "Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		}},
		{Name: "connection only", send: func(sender) {}},
	}
}
