package ibismember_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "ibismember")
}

// Echo is a receiver of control calls.
type Echo struct{ block chan struct{} }

// Say returns its argument.
func (e *Echo) Say(args, reply *string) error {
	if *args == "fail" {
		return errors.New("refused by method")
	}
	if *args == "block" {
		<-e.block
	}
	*reply = *args
	return nil
}

var _ = Describe("Pool", func() {
	var (
		server *ibismember.Server
		web    *httptest.Server
		pool   *ibismember.Pool
		echo   *Echo
	)

	BeforeEach(func() {
		forward := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forwarded") })
		server = ibismember.NewServer(forward)
		echo = &Echo{block: make(chan struct{})}
		server.Register("Echo", echo)
		web = httptest.NewServer(server)
		pool = ibismember.NewPool(nil)
		DeferCleanup(func() {
			close(echo.block)
			pool.Close()
			server.Close()
			web.Close()
		})
	})

	call := func(ctx context.Context, word string) (string, error) {
		var reply string
		err := pool.Call(ctx, web.Listener.Addr().String(), "Echo.Say", &word, &reply)
		return reply, err
	}

	It("reuses one connection for all calls and counts its bytes", func() {
		for range 3 {
			Expect(call(context.Background(), "hello")).To(Equal("hello"))
		}
		Expect(pool.BytesSent()).To(BeNumerically(">", 0))
		Expect(pool.BytesSent()).To(Equal(server.BytesReceived()))
	})

	It("distinguishes an error of the method from an unreachable peer", func() {
		_, err := call(context.Background(), "fail")
		Expect(err).To(MatchError(ContainSubstring("refused by method")))
		Expect(err).NotTo(MatchError(ibismember.ErrUnreachable))
		server.Close()
		Eventually(func() error {
			_, err := call(context.Background(), "hello")
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
		web.Close()
		server.Close()
		_, err = call(context.Background(), "hello")
		Expect(err).To(MatchError(ibismember.ErrUnreachable))
	})

	It("fails a call when its context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := call(ctx, "block")
		Expect(err).To(MatchError(ibismember.ErrUnreachable))
	})

	It("replaces a connection after two consecutive calls without an answer", func() {
		for range 2 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(20*time.Millisecond, cancel)
			_, err := call(ctx, "block")
			Expect(err).To(MatchError(ibismember.ErrUnreachable))
		}
		before := server.BytesReceived()
		Expect(call(context.Background(), "hello")).To(Equal("hello"))
		Expect(server.BytesReceived()-before).To(BeNumerically(">", len("hello")+60), "a new connection describes its types again")
	})

	It("opens no connection to a peer whose answer to the handshake has no end", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "HTTP/1.0 200 Connected to Go RPC\r\nA: "+strings.Repeat("a", 1<<20)+"\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		word := "hello"
		err = pool.Call(ctx, listener.Addr().String(), "Echo.Say", &word, &word)
		Expect(err).To(MatchError(ContainSubstring("open control connection")))
	})

	It("passes other requests to the forward handler", func() {
		response, err := http.Get(web.URL)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("forwarded"))
	})
})
