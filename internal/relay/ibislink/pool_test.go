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

	"github.com/ibisridge/ibisridge/internal/relay/ibislink"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibislink")
}

// script answers the n-th request of the c-th connection with raw bytes; closing ends the connection afterwards.
type script func(connection, request int, id string) (answer string, closing bool)

// serve runs a server by a script and returns its address and a channel of request ids as they are read.
func serve(s script) (string, chan string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	seen := make(chan string, 100)
	go func() {
		for c := 0; ; c++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					seen <- request.Header.Get("Id")
					answer, closing := s(c, n, request.Header.Get("Id"))
					_, _ = io.WriteString(conn, answer)
					if closing {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), seen
}

func whole(id, body string) string {
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
		address, seen := serve(s)
		p := ibislink.New(ibislink.Options{Address: address, IDHeader: "Id"})
		DeferCleanup(p.Close)
		return p, seen
	}
	ctx := context.Background()

	It("uses a connection again after a whole answer", func() {
		p, _ := pool(func(_, _ int, id string) (string, bool) { return whole(id, "mat "+id), false })
		for i := range 5 {
			id := fmt.Sprint("r", i)
			response, err := p.Exchange(ctx, request(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("mat " + id))
		}
		Expect(p.Opened()).To(BeEquivalentTo(1))
	})

	It("skips an answer to an earlier request and closes the connection afterwards", func() {
		p, _ := pool(func(c, n int, id string) (string, bool) {
			if c == 0 && n == 0 {
				return whole("older", "not yours") + whole(id, "yours"), false
			}
			return whole(id, "yours"), false
		})
		for range 2 {
			response, err := p.Exchange(ctx, request("r1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("yours"))
		}
		Expect(p.Opened()).To(BeEquivalentTo(2))
	})

	It("never uses a connection again on which bytes follow a whole answer", func() {
		p, _ := pool(func(c, _ int, id string) (string, bool) {
			if c == 0 {
				return whole(id, "first") + whole(id, "again"), false
			}
			return whole(id, "second"), false
		})
		response, err := p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("first"))
		response, err = p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("second"))
	})

	DescribeTable("fails on an answer that is not this request's whole answer",
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
		Entry("no answer at all", "", true),
		Entry("bytes that are no answer", "~~~~ 200 ~~~~\r\n\r\n", true),
		Entry("a success without an id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true),
		Entry("only another request's answer", whole("older", "x"), true),
		Entry("a body that ends early", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 10\r\n\r\nshort", false),
		Entry("chunks that end early", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false),
	)

	It("takes an answer that ends with its connection", func() {
		p, _ := pool(func(_, _ int, id string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nno length", true
		})
		response, err := p.Exchange(ctx, request("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Length).To(BeEquivalentTo(-1))
		Expect(read(response)).To(Equal("no length"))
	})

	It("says that nothing was sent where no connection could be opened", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = ibislink.New(ibislink.Options{Address: address}).Exchange(ctx, request("r1"))
		Expect(err).To(MatchError(ibislink.ErrNotSent))
	})

	It("opens no more connections than it may", func() {
		release := make(chan struct{})
		address, seen := serve(func(_, _ int, id string) (string, bool) {
			<-release
			return whole(id, "late"), false
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
		Eventually(seen).Should(Receive())
		_, err := p.Exchange(ctx, request("r2"))
		Expect(err).To(MatchError(ibislink.ErrNotSent))
		close(release)
		Eventually(done).Should(Receive(BeNil()))
	})

	It("closes the connection when the caller leaves", func() {
		stuck := make(chan struct{})
		DeferCleanup(func() { close(stuck) })
		p, seen := pool(func(_, _ int, _ string) (string, bool) {
			<-stuck
			return "", true
		})
		leaving, leave := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, err := p.Exchange(leaving, request("r1"))
			done <- err
		}()
		Eventually(seen).Should(Receive())
		leave()
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Expect(errors.Is(err, ibislink.ErrNotSent)).To(BeFalse())
	})

	It("takes an answer that comes before a long body is in, and closes the connection", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, whole("r1", "too much"))
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
