package ibislink_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/peer/ibisresponse"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

const (
	sentBytes = 60 << 10
	longBytes = 64 << 20
)

// gatedBody returns sentBytes bytes at once and more, without end, when the gate is closed.
type gatedBody struct {
	first io.Reader
	gate  chan struct{}
}

func newGatedBody() gatedBody {
	return gatedBody{first: bytes.NewReader(make([]byte, sentBytes)), gate: make(chan struct{})}
}

func (b gatedBody) Read(p []byte) (int, error) {
	if n, _ := b.first.Read(p); n > 0 {
		return n, nil
	}
	<-b.gate
	return len(p), nil
}

// uploads returns the bodies of requests, with what happens to them before the end of the response is read.
var uploads = map[string]func() (body io.Reader, length int64, beforeEnd func()){
	"no upload": func() (io.Reader, int64, func()) { return nil, 0, func() {} },
	"an upload that was sent": func() (io.Reader, int64, func()) {
		return bytes.NewReader(make([]byte, sentBytes)), sentBytes, func() {}
	},
	"an upload that the server doesn't read": func() (io.Reader, int64, func()) {
		return bytes.NewReader(make([]byte, longBytes)), longBytes, func() {}
	},
	"an upload that the caller doesn't send": func() (io.Reader, int64, func()) {
		b := newGatedBody()
		DeferCleanup(func() { close(b.gate) })
		return b, longBytes, func() {}
	},
	"an upload that meets the end": func() (io.Reader, int64, func()) {
		b := newGatedBody()
		return b, longBytes, func() {
			time.Sleep(60 * time.Millisecond)
			close(b.gate)
			time.Sleep(20 * time.Millisecond)
		}
	},
}

// Guards against a part of an answer that is taken for the whole: a socket reports a reset once, and a write that got it left the
// reader a clean end.
var _ = Describe("The end of a response", func() {
	const ok, part = "HTTP/1.1 200 OK\r\n", "half"
	for framing, f := range map[string]struct {
		bytes string
		// whole says whether the response is complete where the connection is closed in order, and resetWhole where it is reset.
		whole, resetWhole bool
	}{
		"a length":            {ok + "Content-Length: 4\r\n\r\n" + part, true, true},
		"half its length":     {ok + "Content-Length: 8\r\n\r\n" + part, false, false},
		"chunks":              {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + part + "\r\n0\r\n\r\n", true, true},
		"no last chunk":       {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + part + "\r\n", false, false},
		"no length":           {ok + "\r\n" + part, true, false},
		"no length, HTTP/1.0": {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + part, true, false},
		"no length, after interim ones": {
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "\r\n" + part, true, false,
		},
	} {
		for ending, end := range map[string]ibistcp.End{
			"closed": ibistcp.EndClose, "reset": ibistcp.EndReset, "closed, then reset": ibistcp.EndCloseReset, "half closed": ibistcp.EndHalf,
		} {
			for state, newUpload := range uploads {
				It(fmt.Sprintf("is known with %s, on a connection that is %s, and %s", framing, ending, state), func() {
					server, err := ibistcp.StartReplies(func(int, int, *http.Request) ibistcp.Reply {
						return ibistcp.Reply{Bytes: f.bytes, Early: true, End: end}
					})
					Expect(err).NotTo(HaveOccurred())
					DeferCleanup(server.Close)
					p := ibislink.New(ibislink.Options{Address: server.Address()})
					DeferCleanup(p.Close)
					r := request("")
					var beforeEnd func()
					r.Method = http.MethodPost
					r.Body, r.Length, beforeEnd = newUpload()
					response, err := p.Exchange(context.Background(), r)
					Expect(err).NotTo(HaveOccurred())
					beforeEnd()
					body, err := read(response)
					whole := f.resetWhole || f.whole && end != ibistcp.EndReset
					Expect(err == nil).To(Equal(whole), "%v", err)
					Expect(body).To(Equal(part))
				})
			}
		}
	}
})

// Guards against a head that is skipped as an interim one, or out of which another answer is read than its sender meant.
var _ = It("A response with a malformed head fails, and its connection isn't used again", func() {
	for name, malformed := range ibistcp.MalformedHeads() {
		address, _ := serve(func(connection, _ int, id string) (string, bool) {
			sound := completeResponse(id, "sound")
			if connection > 0 {
				return sound, false
			}
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + malformed + "Id: " + id + "\r\nContent-Length: 0\r\n\r\n" + sound, false
		})
		p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id", Refusals: ibisset.Of(503)})
		DeferCleanup(p.Close)
		_, err := p.Exchange(context.Background(), request("r1"))
		Expect(err).To(MatchError(ibisresponse.ErrMalformed), name)
		Expect(err).NotTo(MatchError(ibislink.ErrNotSent), name)
		response, err := p.Exchange(context.Background(), request("r2"))
		Expect(err).NotTo(HaveOccurred(), name)
		Expect(read(response)).To(Equal("sound"), name)
		Expect(p.Opened()).To(BeEquivalentTo(2), name)
	}
})
