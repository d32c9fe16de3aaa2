package ibisnode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

var _ = Describe("the callers' listener", func() {
	It("rejects malformed and ambiguous requests, and limits what a slow caller holds", func(ctx SpecContext) {
		store := ibisstore.New()
		putSections(ctx, store)
		node, server, _ := start("node-1", "helsinki-a", store, func(s *ibissettings.Settings) {
			s.Limits.HeaderTimeout.Duration = 300 * time.Millisecond
			s.Limits.HeaderBytes = 4 << 10
		})
		Eventually(func() (int, error) { return get(node.CallerAddress(), "/erp/MAT-1") }).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
		auth := "Host: x\r\nAuthorization: Bearer " + secret + "\r\nIbis-Deadline: 200ms\r\n"
		order := "POST /order/MAT-1 HTTP/1.1\r\n" + auth
		smuggled := "GET /erp/MAT-2 HTTP/1.1\r\n" + auth + "\r\n"
		before, runs := server.Counts().Runs, 0
		var group sync.WaitGroup
		for i, test := range []struct {
			name, text string
			// status is the prefix of the only answer, or empty if any or none may come.
			status string
			runs   int
		}{
			{"both a length and chunks: one request runs, and the connection closes", order + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n%s\r\n0\r\n\r\n" + smuggled, "HTTP/1.1 200", 1},
			{"two lengths", order + "Content-Length: 1\r\nContent-Length: 2\r\n%s\r\nab", "HTTP/1.1 400", 0},
			{"length that is not a number", order + "Content-Length: +1\r\n%s\r\na", "HTTP/1.1 400", 0},
			{"unknown transfer coding", order + "Transfer-Encoding: xchunked\r\n%s\r\n0\r\n\r\n", "HTTP/1.1 501", 0},
			{"two transfer codings", order + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n%s\r\n0\r\n\r\n", "HTTP/1.1 501", 0},
			{"bad chunk length", order + "Transfer-Encoding: chunked\r\n%s\r\nzz\r\na\r\n0\r\n\r\n", "HTTP/1.1 400", 0},
			{"space before the colon", order + "Content-Length : 1\r\n%s\r\na", "HTTP/1.1 400", 0},
			{"two hosts", order + "Host: y\r\n%s\r\n", "HTTP/1.1 400", 0},
			{"headers too large", order + "X-Large: " + strings.Repeat("x", 16<<10) + "\r\n%s\r\n", "HTTP/1.1 431", 0},
			{"headers that never end", order + "%s", "", 0},
			{"body that never ends", order + "Content-Length: 9\r\n%s\r\na", "HTTP/1.1 400", 0},
			{"body of a rejected request that never ends", "POST /none HTTP/1.1\r\n" + auth + "Content-Length: 9\r\n%s\r\na", "HTTP/1.1 404", 0},
			{"ticket request that never ends", "POST /ibis/tickets HTTP/1.1\r\n" + auth + "Content-Length: 9\r\n%s\r\na", "HTTP/1.1 400", 0},
			{"control call", "CONNECT /_ibis/rpc HTTP/1.0\r\n%s\r\n", "HTTP/1.0 4", 0},
		} {
			group.Go(func() {
				defer GinkgoRecover()
				answer := exchange(node.CallerAddress(), fmt.Sprintf(test.text, fmt.Sprintf("Idempotency-Key: k%d\r\n", i)))
				Expect(answer).To(HavePrefix(test.status), test.name)
				Expect(strings.Count(answer, "HTTP/1.")).To(BeNumerically("<=", 1), "%s: %s", test.name, answer)
			})
			runs += test.runs
		}
		group.Wait()
		Expect(server.Counts().Runs-before).To(Equal(runs), "unexpected number of requests reached the backend server")
	}, SpecTimeout(60*time.Second))
})

// exchange sends the text and returns everything received until the server closes the connection.
func exchange(address, text string) string {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, _ = io.WriteString(conn, text)
	answer, err := io.ReadAll(conn)
	if err != nil {
		Expect(err.Error()).To(ContainSubstring("reset"), "the server must close the connection: %s", answer)
	}
	return string(answer)
}
