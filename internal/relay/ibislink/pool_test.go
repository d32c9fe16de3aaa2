package ibislink_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibislink")
}

// script returns the raw bytes with which a server responds to a request, by the numbers of the connection and of the
// request on it; closing makes the server close the connection afterwards.
type script func(connection, request int, id string) (answer string, closing bool)

// serve starts a server that follows a script. It returns its address and a channel of the ids of the requests it has read.
func serve(s script) (string, chan string) {
	requestIDs := make(chan string, 100)
	server, err := ibistcp.Start(func(connection, number int, r *http.Request) (string, bool) {
		id := r.Header.Get("Id")
		requestIDs <- id
		return s(connection, number, id)
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address(), requestIDs
}

func completeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) ibislink.Request {
	return ibislink.Request{
		Method: http.MethodGet,
		URI:    "/a//b?c=%2f",
		Host:   "mats.example",
		Header: http.Header{"Id": {id}},
		ID:     id,
	}
}

func read(r *ibislink.Response) (string, error) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	return string(body), err
}

var _ = Describe("A Pool", func() {
	pool := func(s script) (*ibislink.Pool, chan string) {
		address, requestIDs := serve(s)
		p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id"})
		DeferCleanup(p.Close)
		return p, requestIDs
	}
	ctx := context.Background()

	It("reuses a connection after a complete response", func() {
		p, _ := pool(func(_, _ int, id string) (string, bool) { return completeResponse(id, "mat "+id), false })
		for i := range 5 {
			id := fmt.Sprint("r", i)
			response, err := p.Exchange(ctx, request(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("mat " + id))
		}
		Expect(p.Opened()).To(BeEquivalentTo(1))
	})

	It("discards a response to an earlier request and closes the connection afterwards", func() {
		p, _ := pool(func(c, n int, id string) (string, bool) {
			if c == 0 && n == 0 {
				return completeResponse("older", "not yours") + completeResponse(id, "yours"), false
			}
			return completeResponse(id, "yours"), false
		})
		for range 2 {
			response, err := p.Exchange(ctx, request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("yours"))
		}
		Expect(p.Opened()).To(BeEquivalentTo(2))
	})

	It("doesn't reuse a connection on which bytes follow a complete response", func() {
		p, _ := pool(func(c, _ int, id string) (string, bool) {
			if c == 0 {
				return completeResponse(id, "first") + completeResponse(id, "again"), false
			}
			return completeResponse(id, "second"), false
		})
		response, err := p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("first"))
		response, err = p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("second"))
	})

	// Guards against an earlier refusal that a peer writes once more: it was taken for the response to the next request, which ran.
	DescribeTable("believes a refusal without an id only in the first response on a connection",
		func(status int) {
			refusal := fmt.Sprintf("HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n", status)
			address, _ := serve(func(c, n int, id string) (string, bool) {
				if c == 0 && n == 0 {
					return completeResponse(id, "first"), false
				}
				return refusal, false
			})
			p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id", Refusals: ibisset.Of(400, 421, 429, 503)})
			DeferCleanup(p.Close)
			response, err := p.Exchange(ctx, request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("first"))
			_, err = p.Exchange(ctx, request("r2"))
			Expect(err).To(MatchError(ibislink.ErrMismatchedResponse))
			Expect(err).NotTo(MatchError(ibislink.ErrNotSent))
			response, err = p.Exchange(ctx, request("r3"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(status))
			Expect(p.Opened()).To(BeEquivalentTo(2))
		},
		Entry(nil, 400),
		Entry(nil, 421),
		Entry(nil, 429),
		Entry(nil, 503),
	)

	It("sends a request again on another connection than the one on which it was refused", func() {
		refusal := func(id string) string {
			return "HTTP/1.1 503 No\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}
		address, _ := serve(func(c, _ int, id string) (string, bool) {
			if c == 0 {
				return refusal(id), false
			}
			return completeResponse(id, "run"), false
		})
		p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id", Refusals: ibisset.Of(503)})
		DeferCleanup(p.Close)
		for _, id := range []string{"r1", "r2"} {
			response, err := p.Exchange(ctx, request(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(503))
			Expect(read(response)).To(BeEmpty())
		}
		Expect(p.Opened()).To(BeEquivalentTo(1), "refusals with an id leave the connection in use")
		response, err := p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("run"))
	})

	It("closes a connection after many refusals", func() {
		address, _ := serve(func(_, _ int, id string) (string, bool) {
			return "HTTP/1.1 503 No\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n", false
		})
		p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id", Refusals: ibisset.Of(503)})
		DeferCleanup(p.Close)
		for i := range 90 {
			response, err := p.Exchange(ctx, request(fmt.Sprint("r", i)))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(BeEmpty())
		}
		Expect(p.Opened()).To(BeEquivalentTo(2))
	})

	DescribeTable("fails on anything but a complete response to the request",
		func(answer string, atHead bool) {
			p, _ := pool(func(_, _ int, _ string) (string, bool) { return answer, true })
			response, err := p.Exchange(ctx, request("r1"))
			if atHead {
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, ibislink.ErrNotSent)).To(BeFalse(), "the request was written")
				return
			}
			Expect(err).NotTo(HaveOccurred())
			_, err = read(response)
			Expect(err).To(HaveOccurred())
		},
		Entry("no response", "", true),
		Entry("bytes that aren't HTTP", "~~~~ 200 ~~~~\r\n\r\n", true),
		Entry("a success without an id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true),
		Entry("only a response to another request", completeResponse("older", "x"), true),
		Entry("a body that ends early", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 10\r\n\r\nshort", false),
		Entry("chunks that end early", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false),
	)

	// The heads end after a megabyte, so that a pool without a bound accepts the response instead of reading for ever.
	const longHead = 1 << 20

	DescribeTable("fails on a head without end, closes the connection, and doesn't claim that the request was not sent",
		func(head func(id string) string) {
			p, _ := pool(func(c, _ int, id string) (string, bool) {
				if c == 0 {
					return head(id), false
				}
				return completeResponse(id, "ok"), false
			})
			_, err := p.Exchange(ctx, request("r1"))
			Expect(err).To(MatchError(ibislink.ErrLongHead))
			Expect(err).NotTo(MatchError(ibislink.ErrNotSent))
			response, err := p.Exchange(ctx, request("r2"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("ok"))
			Expect(p.Opened()).To(BeEquivalentTo(2))
		},
		Entry("in the status line", func(id string) string {
			return "HTTP/1.1 200 " + strings.Repeat("O", longHead) + "\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"
		}),
		Entry("in one header", func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nA: " + strings.Repeat("a", longHead) + "\r\nContent-Length: 2\r\n\r\nok"
		}),
		Entry("of many headers", func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + strings.Repeat("A: a\r\n", longHead/6) + "Content-Length: 2\r\n\r\nok"
		}),
		Entry("of interim responses", func(id string) string {
			return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", longHead/27) + completeResponse(id, "ok")
		}),
		Entry("of responses to earlier requests", func(id string) string {
			older := "HTTP/1.1 200 OK\r\nId: older\r\nA: " + strings.Repeat("a", 30<<10) + "\r\nContent-Length: 0\r\n\r\n"
			return strings.Repeat(older, 3) + completeResponse(id, "ok")
		}),
	)

	It("accepts a long body after a long head and interim responses", func() {
		body := strings.Repeat("mat ", longHead)
		p, _ := pool(func(_, _ int, id string) (string, bool) {
			return "HTTP/1.1 103 Early Hints\r\nLink: </mat>\r\n\r\n" +
				fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s", id, strings.Repeat("a", 60<<10), len(body), body), false
		})
		for range 2 {
			response, err := p.Exchange(ctx, request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal(body))
		}
		Expect(p.Opened()).To(BeEquivalentTo(1))
	})

	DescribeTable("fails on a chunked body with bytes without end that are no data",
		func(chunks string) {
			p, _ := pool(func(_, _ int, id string) (string, bool) {
				return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false
			})
			response, err := p.Exchange(ctx, request("r1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = read(response)
			Expect(err).To(HaveOccurred())
		},
		Entry("in one chunk extension", "1;"+strings.Repeat("e", longHead)+"\r\na\r\n0\r\n\r\n"),
		Entry("in the extensions of many chunks", strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\na\r\n", longHead/1000)+"0\r\n\r\n"),
		Entry("in the trailers", "1\r\na\r\n0\r\n"+strings.Repeat("A: a\r\n", longHead/6)+"\r\n"),
		Entry("in one trailer", "1\r\na\r\n0\r\nA: "+strings.Repeat("a", longHead)+"\r\n\r\n"),
	)

	It("discards no response to an earlier request whose chunk extensions have no end", func() {
		p, _ := pool(func(_, _ int, id string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nId: older\r\nTransfer-Encoding: chunked\r\n\r\n" +
				strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\na\r\n", longHead/1000) + "0\r\n\r\n" + completeResponse(id, "ok"), false
		})
		_, err := p.Exchange(ctx, request("r1"))
		Expect(err).To(MatchError(ibislink.ErrMismatchedResponse))
	})

	It("accepts a response that ends when the connection is closed", func() {
		p, _ := pool(func(_, _ int, id string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nno length", true
		})
		response, err := p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Length).To(BeEquivalentTo(-1))
		Expect(read(response)).To(Equal("no length"))
	})

	It("fails with ErrNotSent if no connection can be opened", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = ibislink.New(ibislink.Options{Address: address}).Exchange(ctx, request("r1"))
		Expect(err).To(MatchError(ibislink.ErrNotSent))
	})

	// Guards against a path whose beginning was taken for the name of a host.
	It("sends every request target as it is, or not at all", func() {
		targets := []string{
			"/", "/a//b?c=%2f", "//a/b?x=1", "///", "//", "//a", "//a%2Fb/%2f", "//a?", "//a?b?c", "//%41", "//a/../b", "//u@h:80/b", "//a[1]", "/*", "/%", "//%zz", "//a\"b", "//" + strings.Repeat("a", 8<<10),
		}
		server, err := ibistcp.Start(func(_, _ int, r *http.Request) (string, bool) {
			return completeResponse(r.Header.Get("Id"), r.RequestURI), false
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		p := ibislink.New(ibislink.Options{Address: server.Address(), IDHeader: "Id"})
		DeferCleanup(p.Close)
		sent := 0
		for _, target := range targets {
			r := request("r1")
			r.URI = target
			response, err := p.Exchange(context.Background(), r)
			if errors.Is(err, ibislink.ErrNotSent) {
				continue
			}
			if strings.Contains(target, "%z") || strings.HasSuffix(target, "%") {
				continue // The server reads no such target.
			}
			Expect(err).NotTo(HaveOccurred(), target)
			Expect(read(response)).To(Equal(target))
			sent++
		}
		Expect(sent).To(Equal(len(targets) - 3))
	})

	It("sends a request without headers", func() {
		address, _ := serve(func(_, _ int, _ string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false
		})
		p := ibislink.New(ibislink.Options{Address: address})
		DeferCleanup(p.Close)
		response, err := p.Exchange(ctx, ibislink.Request{Method: http.MethodGet, URI: "/health", Host: "mats.example"})
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("ok"))
	})

	It("opens no connection and writes nothing if its caller doesn't allow it", func() {
		address, requestIDs := serve(func(_, _ int, id string) (string, bool) { return completeResponse(id, "ok"), false })
		refused := errors.New("not allowed")
		p := ibislink.New(ibislink.Options{Address: address, MayDial: func() error { return refused }})
		_, err := p.Exchange(ctx, request("r1"))
		Expect(err).To(And(MatchError(ibislink.ErrNotSent), MatchError(refused)))
		p = ibislink.New(ibislink.Options{Address: address})
		DeferCleanup(p.Close)
		late := request("r1")
		late.Begin = func(*ibislink.Request) error { return refused }
		_, err = p.Exchange(ctx, late)
		Expect(err).To(And(MatchError(ibislink.ErrNotSent), MatchError(refused)))
		Consistently(requestIDs, "50ms").ShouldNot(Receive())
	})

	It("opens at most MaxOpen connections", func() {
		release := make(chan struct{})
		address, requestIDs := serve(func(_, _ int, id string) (string, bool) {
			<-release
			return completeResponse(id, "late"), false
		})
		p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id", MaxOpen: 1})
		DeferCleanup(p.Close)
		done := make(chan error, 1)
		go func() {
			response, err := p.Exchange(ctx, request("r1"))
			if err == nil {
				_, err = read(response)
			}
			done <- err
		}()
		Eventually(requestIDs).Should(Receive())
		_, err := p.Exchange(ctx, request("r2"))
		Expect(err).To(MatchError(ibislink.ErrNotSent))
		close(release)
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes the connection when the context is cancelled", func() {
		unblock := make(chan struct{})
		DeferCleanup(func() { close(unblock) })
		p, requestIDs := pool(func(_, _ int, _ string) (string, bool) {
			<-unblock
			return "", true
		})
		cancelable, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, err := p.Exchange(cancelable, request("r1"))
			done <- err
		}()
		Eventually(requestIDs).Should(Receive())
		cancel()
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Expect(errors.Is(err, ibislink.ErrNotSent)).To(BeFalse())
	})

	It("accepts a response that arrives before a long body is sent, and closes the connection", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, completeResponse("r1", "too much"))
			time.Sleep(time.Second)
			_ = conn.Close()
		}()
		p := ibislink.New(ibislink.Options{Address: listener.Addr().String(), IDHeader: "Id"})
		r := request("r1")
		r.Method = http.MethodPost
		r.Body = strings.NewReader(strings.Repeat("m", 32<<20))
		r.Length = 32 << 20
		response, err := p.Exchange(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("too much"))
	})
})

var _ = Describe("The body of a response that has lost its value", func() {
	const stall, end = 300 * time.Millisecond, 500 * time.Millisecond
	ctx := context.Background()

	// exchange sends a request to a server that handles its connections by a function, and returns the response.
	exchange := func(handle func(conn net.Conn), deadline time.Time, stall, end time.Duration) (*ibislink.Pool, *ibislink.Response) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					reader := bufio.NewReader(conn)
					for {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						handle(conn)
					}
				}()
			}
		}()
		p := ibislink.New(ibislink.Options{Address: listener.Addr().String(), StallTimeout: stall, EndTimeout: end})
		DeferCleanup(p.Close)
		r := request("")
		r.Deadline = deadline
		response, err := p.Exchange(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		return p, response
	}
	// repeat writes a text every 5 ms for 5 s, or until the connection is closed, and then closes it.
	repeat := func(conn net.Conn, text string) {
		for range 1000 {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		_ = conn.Close()
	}

	DescribeTable("is cut if it doesn't end",
		func(head, text string) {
			closed := make(chan struct{})
			_, response := exchange(func(conn net.Conn) {
				_, _ = io.WriteString(conn, head)
				repeat(conn, text)
				close(closed)
			}, time.Now(), stall, end)
			_, err := read(response)
			Expect(err).To(MatchError(ibislink.ErrLateBody))
			Eventually(closed).Should(BeClosed())
		},
		Entry("few bytes without a length", "HTTP/1.1 200 OK\r\n\r\n", "a"),
		Entry("many bytes without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 64<<10)),
		Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
		Entry("few bytes of a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "a"),
	)

	It("is cut if no byte arrives, also if its length is known", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		_, response := exchange(func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nmat")
			select {
			case <-release:
			case <-time.After(5 * time.Second):
			}
			_ = conn.Close()
		}, time.Now(), stall, time.Hour)
		_, err := read(response)
		Expect(err).To(MatchError(ibislink.ErrLateBody))
	})

	It("is returned whole if it ends, and its connection is reused", func() {
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		p, response := exchange(func(conn net.Conn) { _, _ = io.WriteString(conn, head+"3\r\nmat\r\n0\r\n\r\n") }, time.Now(), 2*time.Second, 2*time.Second)
		Expect(read(response)).To(Equal("mat"))
		_, err := response.Body.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		time.Sleep(2200 * time.Millisecond)
		response, err = p.Exchange(ctx, request(""))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("mat"))
		Expect(p.Opened()).To(BeEquivalentTo(1))
	})

	It("is returned whole to a slow reader if its length is known", func() {
		const length = 64 << 10
		written := make(chan struct{}, 1)
		_, response := exchange(func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", length))
			written <- struct{}{}
		}, time.Now(), time.Second, time.Second)
		Eventually(written).Should(Receive())
		for n := 0; n < length; {
			time.Sleep(1500 * time.Millisecond)
			read, err := io.ReadFull(response.Body, make([]byte, length/2))
			Expect(err).NotTo(HaveOccurred())
			n += read
		}
		Expect(response.Body.Read(make([]byte, 1))).Error().To(MatchError(io.EOF))
	})

	It("may pause while it has its value", func() {
		_, response := exchange(func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nmat\r\n")
			time.Sleep(2 * (stall + end))
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}, time.Now().Add(time.Hour), stall, end)
		Expect(read(response)).To(Equal("mat"))
	})
})
