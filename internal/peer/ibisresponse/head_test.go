package ibisresponse_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

// check checks a text in pieces of a number of bytes, and returns the number of bytes before the first fault.
func check(text string, size int) (int, error) {
	var checker ibisresponse.HeadChecker
	sound := 0
	for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
		n, err := checker.Check(rest[:min(size, len(rest))])
		sound += n
		if err != nil {
			return sound, err
		}
	}
	return sound, nil
}

// TestSoundHeads guards against sound answers that are rejected.
func TestSoundHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.0 200 OK\nTransfer-Encodings:\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 599 Odd\r\n!#$%&'*+-.^_`|~09azAZ:\r\nEmpty:\r\nText: a: b\tc \xe4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nFolded: a\r\n b\r\n\tc\r\n\r\n",
	} {
		// Nothing behind the head is checked.
		text := head + "HTTP/1.1 000\r\n a b: c\r\n"
		for size := 1; size <= len(text); size++ {
			if n, err := check(text, size); n != len(text) || err != nil {
				t.Fatalf("%q in pieces of %d: %v after %d bytes", text, size, err, n)
			}
		}
	}
}

// TestMalformedHeads guards against malformed heads that are parsed: the bytes before the fault must not contain the end of the head.
func TestMalformedHeads(t *testing.T) {
	for name, head := range ibistcp.MalformedHeads() {
		text := "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n"
		for size := 1; size <= len(text); size++ {
			n, err := check(text, size)
			if err == nil {
				t.Fatalf("%s in pieces of %d: no fault", name, size)
			}
			reader := bufio.NewReader(strings.NewReader(text[:n]))
			for range 2 {
				if response, err := http.ReadResponse(reader, nil); err == nil && response.StatusCode != http.StatusContinue {
					t.Fatalf("%s in pieces of %d: %q is parsed as %d", name, size, text[:n], response.StatusCode)
				}
			}
		}
	}
}

// FuzzHead compares the checker with net/http: what both accept is sound, and the checker rejects nothing else that net/http accepts.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n")
	for _, head := range ibistcp.MalformedHeads() {
		f.Add(head + "\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, fault := check(text, len(text))
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		sound := response.StatusCode >= http.StatusContinue && response.StatusCode != http.StatusSwitchingProtocols
		for name := range response.Header {
			sound = sound && !strings.Contains(name, " ")
		}
		folded := strings.Contains(text, "\n ") || strings.Contains(text, "\n\t")
		encoded := response.ProtoMinor == 0 && strings.Contains(strings.ToLower(text), "transfer-encoding")
		interim := response.StatusCode < http.StatusOK
		if fault == nil && !sound || fault != nil && sound && !folded && !interim && !encoded {
			t.Errorf("%q: %v, parsed as %d with %v", text, fault, response.StatusCode, response.Header)
		}
	})
}
