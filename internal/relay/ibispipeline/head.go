package ibispipeline

import (
	"bytes"
	"strconv"
	"strings"
)

// kind is how a request may be served beside others of its connection.
type kind int

const (
	// kindIncomplete means that the end of the head has not arrived.
	kindIncomplete kind = iota
	// kindParallel means a GET or HEAD request without a body.
	kindParallel
	// kindSingle means any other request whose length is known from its head.
	kindSingle
	// kindOpaque means a request, or anything else, whose end only http.Server finds: all further bytes belong to it.
	kindOpaque
)

// head describes the request at the begin of a byte stream.
type head struct {
	kind kind
	// bytes is the length of the head, bodyBytes that of the body after it.
	bytes     int
	bodyBytes int64
}

// maxLengthDigits keeps a Content-Length within an int64.
const maxLengthDigits = 18

// scanHead describes the request at the begin of the bytes. It is stricter than net/http, so that both agree on where a request
// ends: whatever it does not know is opaque.
func scanHead(b []byte) head {
	h := head{kind: kindSingle}
	hasLength, first := false, true
	for {
		end := bytes.IndexByte(b[h.bytes:], '\n')
		if end < 0 {
			return head{}
		}
		line := b[h.bytes : h.bytes+end]
		h.bytes += end + 1
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return head{kind: kindOpaque}
		}
		line = line[:len(line)-1]
		switch {
		case first:
			parallel, ok := scanRequestLine(line)
			if !ok {
				return head{kind: kindOpaque}
			}
			if parallel {
				h.kind = kindParallel
			}
			first = false
		case len(line) == 0:
			if h.bodyBytes > 0 {
				h.kind = kindSingle
			}
			return h
		default:
			name, value, ok := scanField(line)
			if !ok {
				return head{kind: kindOpaque}
			}
			switch fieldOf(name) {
			case fieldForeign:
				return head{kind: kindOpaque}
			case fieldConnection:
				if !strings.EqualFold(string(value), "keep-alive") {
					return head{kind: kindOpaque}
				}
			case fieldLength:
				length, ok := parseLength(value)
				if !ok || hasLength {
					return head{kind: kindOpaque}
				}
				hasLength = true
				h.bodyBytes = length
			case fieldOther:
			}
		}
	}
}

// scanRequestLine reports whether the line is a well-formed request line of HTTP/1.1, and whether its method is GET or HEAD.
func scanRequestLine(line []byte) (parallel, ok bool) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, proto, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || len(target) == 0 || hasControl(target) || string(proto) != "HTTP/1.1" {
		return false, false
	}
	switch string(method) {
	case "GET", "HEAD":
		return true, true
	case "CONNECT", "PRI":
		return false, false
	}
	return false, true
}

// scanField splits a header line into name and value, and reports whether it is well-formed.
func scanField(line []byte) (name, value []byte, ok bool) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) || hasControl(line[colon+1:]) {
		return nil, nil, false
	}
	return line[:colon], bytes.Trim(line[colon+1:], " \t"), true
}

// field is what a header field says about the end of its request or of the connection.
type field int

const (
	fieldOther field = iota
	fieldLength
	fieldConnection
	// fieldForeign means that only http.Server knows where the request ends, or that more than an answer is asked for.
	fieldForeign
)

func fieldOf(name []byte) field {
	is := func(lower string) bool { return strings.EqualFold(string(name), lower) }
	switch len(name) {
	case len("expect"):
		if is("expect") {
			return fieldForeign
		}
	case len("upgrade"):
		if is("upgrade") || is("trailer") {
			return fieldForeign
		}
	case len("connection"):
		if is("connection") {
			return fieldConnection
		}
	case len("content-length"):
		if is("content-length") {
			return fieldLength
		}
	case len("transfer-encoding"):
		if is("transfer-encoding") {
			return fieldForeign
		}
	}
	return fieldOther
}

func parseLength(value []byte) (int64, bool) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, false
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	return length, err == nil
}

// tokenBytes marks the bytes of method and field names.
var tokenBytes = func() (marks [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		marks[c] = true
	}
	return marks
}()

func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

func hasControl(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
