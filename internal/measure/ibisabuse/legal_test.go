package ibisabuse_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestLegalRequest guards against bounds that refuse a single request within the configuration's limits when there is no load.
func TestLegalRequest(t *testing.T) {
	const maxBody, maxHead = 64 << 20, 16_384
	head := func(method string) string {
		return method + " /look/legal HTTP/1.1\r\nHost: bed.example\r\nAttempt-Id: 1\r\n"
	}
	var fields strings.Builder
	for i := 0; len(head("GET"))+fields.Len() < maxHead-10; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	// The relay takes a field for one byte longer than sent where no space follows its colon.
	shortFields := fields.String()[:maxHead*4/5]
	shortFields = shortFields[:strings.LastIndexByte(shortFields, '\n')+1]
	filler := bytes.Repeat([]byte("x"), 64<<10)
	for _, test := range []struct {
		name     string
		received int
		send     func(w io.Writer)
	}{
		{name: "body of the greatest length", received: maxBody, send: func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head("POST"), maxBody)
			for range maxBody / len(filler) {
				_, _ = w.Write(filler)
			}
		}},
		{name: "body of the greatest length in chunks", received: maxBody, send: func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head("POST"))
			for range maxBody / len(filler) {
				_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(filler), filler)
			}
			_, _ = fmt.Fprint(w, "0\r\n\r\n")
		}},
		{name: "body in chunks of one byte, with a trailer", received: 30_000, send: func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\nTrailer: a\r\n\r\n%s0\r\na: b\r\n\r\n", head("POST"), strings.Repeat("1\r\nx\r\n", 30_000))
		}},
		{name: "body that is sent slowly", received: 2000, send: func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%sContent-Length: 2000\r\n\r\n", head("POST"))
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				_, _ = w.Write(filler[:100])
			}
		}},
		{name: "body after 100-continue", received: 10, send: func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%sExpect: 100-continue\r\nContent-Length: 10\r\n\r\n", head("POST"))
			time.Sleep(200 * time.Millisecond)
			_, _ = w.Write(filler[:10])
		}},
		{name: "head of short fields", send: func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s%s\r\n", head("GET"), shortFields) }},
		{name: "head of one long field", send: func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%sx: %s\r\n\r\n", head("GET"), strings.Repeat("x", maxHead-200))
		}},
		{name: "head that is sent slowly", send: func(w io.Writer) {
			for _, part := range strings.SplitAfter(head("GET")+"\r\n", "\n") {
				_, _ = io.WriteString(w, part)
				time.Sleep(200 * time.Millisecond)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRelay(t)
			r.start()
			r.awaitAnswer()
			// Beside other load the request may miss the time limit of its route.
			const tries = 5
			var last string
			for range tries {
				conn, err := net.Dial("tcp4", local+":7202")
				if err != nil {
					t.Fatal(err)
				}
				go test.send(conn)
				_ = conn.SetReadDeadline(time.Now().Add(waitTime))
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				if err == nil && response.StatusCode == http.StatusContinue {
					response, err = http.ReadResponse(reader, nil)
				}
				_ = conn.Close()
				if err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Received") == strconv.Itoa(test.received) {
					r.check()
					return
				}
				last = fmt.Sprint(response, err)
			}
			t.Errorf("the request was not served: %s", last)
		})
	}
}
