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

// gatedBody returns its first bytes at once and the rest, without end, when the gate is closed.
type gatedBody struct {
	first io.Reader
	gate  chan struct{}
}

func (b gatedBody) Read(p []byte) (int, error) {
	if n, _ := b.first.Read(p); n > 0 {
		return n, nil
	}
	<-b.gate
	return len(p), nil
}

// exchangeReply sends a request to a server with the reply and returns the response's body and the first error.
func exchangeReply(reply ibistcp.Reply, r ibislink.Request, beforeBody func()) (string, error) {
	server, err := ibistcp.StartReplies(func(int, int, *http.Request) ibistcp.Reply { return reply })
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	p := ibislink.New(ibislink.Options{Address: server.Address()})
	defer p.Close()
	response, err := p.Exchange(context.Background(), r)
	if err != nil {
		return "", err
	}
	beforeBody()
	return read(response)
}

// uploads are requests by what has happened to their bodies when the end of the connection is read, with what happens before.
var uploads = map[string]func() (ibislink.Request, func()){
	"no upload": func() (ibislink.Request, func()) { return request(""), func() {} },
	"an upload that was sent": func() (ibislink.Request, func()) {
		return upload(60<<10, bytes.NewReader(make([]byte, 60<<10))), func() {}
	},
	"an upload that waits for the server": func() (ibislink.Request, func()) {
		return upload(64<<20, bytes.NewReader(make([]byte, 64<<20))), func() {}
	},
	"an upload that waits for the caller": func() (ibislink.Request, func()) {
		gate := make(chan struct{})
		DeferCleanup(func() { close(gate) })
		return upload(64<<20, gatedBody{first: bytes.NewReader(make([]byte, 60<<10)), gate: gate}), func() {}
	},
	"an upload that meets the end": func() (ibislink.Request, func()) {
		gate := make(chan struct{})
		return upload(64<<20, gatedBody{first: bytes.NewReader(make([]byte, 60<<10)), gate: gate}), func() {
			time.Sleep(60 * time.Millisecond)
			close(gate)
			time.Sleep(20 * time.Millisecond)
		}
	},
}

func upload(length int64, body io.Reader) ibislink.Request {
	r := request("")
	r.Method, r.Length, r.Body = http.MethodPost, length, body
	return r
}

// Guards against a part of an answer that is taken for the whole: a socket reports a reset once, and a write that got it left the
// reader a clean end.
var _ = Describe("The end of a response", func() {
	const head, part = "HTTP/1.1 200 OK\r\n", "half"
	framings := map[string]struct {
		bytes string
		// whole and cut say whether the response is complete where the connection is closed in order, and where it is reset.
		whole, cut bool
	}{
		"a length":            {head + "Content-Length: 4\r\n\r\n" + part, true, true},
		"half its length":     {head + "Content-Length: 8\r\n\r\n" + part, false, false},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + part + "\r\n0\r\n\r\n", true, true},
		"no last chunk":       {head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + part + "\r\n", false, false},
		"no length":           {head + "\r\n" + part, true, false},
		"no length, HTTP/1.0": {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + part, true, false},
		"no length, after interim ones": {
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "\r\n" + part, true, false,
		},
	}
	ends := map[string]ibistcp.End{"closed": ibistcp.EndClose, "reset": ibistcp.EndReset, "closed, then reset": ibistcp.EndCloseReset}
	for framing, f := range framings {
		for ending, end := range ends {
			for state, newUpload := range uploads {
				It(fmt.Sprintf("is known with %s, on a connection that is %s, and %s", framing, ending, state), func() {
					r, beforeBody := newUpload()
					body, err := exchangeReply(ibistcp.Reply{Bytes: f.bytes, Early: true, End: end}, r, beforeBody)
					if complete := f.whole && end != ibistcp.EndReset || f.cut; !complete {
						Expect(err).To(HaveOccurred(), "taken for complete: %q", body)
						Expect(err).NotTo(MatchError(ibislink.ErrNotSent))
						return
					}
					Expect(err).NotTo(HaveOccurred())
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
