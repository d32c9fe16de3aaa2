package ibisnode_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibisnode"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/node/ibistls"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

var _ = Describe("key pairs", func() {
	issue := func(authority *ibistls.Authority, from, to time.Time, name string) *ibissettings.KeyPair {
		files, err := authority.Issue(GinkgoT().TempDir(), from, to, name)
		Expect(err).NotTo(HaveOccurred())
		return &ibissettings.KeyPair{
			Cert: files.Cert,
			Key:  files.Key,
			CA:   files.CA,
		}
	}

	It("serve callers over TLS and accept control calls only from nodes of the authority", func(ctx SpecContext) {
		now := time.Now()
		authority, err := ibistls.NewAuthority(now)
		Expect(err).NotTo(HaveOccurred())
		peers := issue(authority, now.Add(-time.Hour), now.Add(time.Hour), ibistls.PeerName)
		callers := issue(authority, now.Add(-time.Hour), now.Add(time.Hour), "shop.example")
		secure := func(s *ibissettings.Settings) {
			s.PeerTLS = peers
			s.CallerTLS = callers
		}
		store := ibisstore.New()
		putSections(ctx, store)
		servers := map[string]*ibisserver.Server{}
		var nodes []*ibisnode.Node
		for i, domain := range []ibisid.DomainName{"helsinki-a", "espoo-b"} {
			name := ibisid.NodeName([]string{"node-1", "node-2"}[i])
			node, server, _ := start(name, domain, store, secure)
			nodes = append(nodes, node)
			servers[string(name)] = server
		}
		client := clientTrusting(callers.CA)
		for _, node := range nodes {
			Eventually(func() (int, error) { return getWith(client, "https://"+node.CallerAddress()+"/erp/MAT-4711") }).
				WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
		}
		_, err = getWith(http.DefaultClient, "https://"+nodes[0].CallerAddress()+"/erp/MAT-4711")
		Expect(err).To(MatchError(ContainSubstring("certificate")))
		pool := ibismember.NewPool(nil)
		defer pool.Close()
		err = pool.Call(ctx, nodes[0].PeerAddress(), "Document.Snapshot", &struct{}{}, &struct{}{})
		Expect(err).To(MatchError(ibismember.ErrUnreachable))
		noCertificate := &tls.Config{
			InsecureSkipVerify: true,
		}
		untrustedPool := ibismember.NewPool(noCertificate)
		defer untrustedPool.Close()
		Expect(untrustedPool.Call(ctx, nodes[0].PeerAddress(), "Document.Snapshot", &struct{}{}, &struct{}{})).
			To(MatchError(ibismember.ErrUnreachable))
	})

	It("are rejected at start if they have expired", func() {
		now := time.Now()
		authority, err := ibistls.NewAuthority(now.AddDate(0, -2, 0))
		Expect(err).NotTo(HaveOccurred())
		settings := ibissettings.Default()
		settings.Name = "node-1"
		settings.PeerTLS = issue(authority, now.AddDate(0, -2, 0), now.AddDate(0, -1, 0), ibistls.PeerName)
		store := ibisstore.New()
		_, err = ibisnode.New(settings, store, store, ibistimer.New(), zap.NewNop())
		Expect(err).To(MatchError(And(ContainSubstring("peerTls"), ContainSubstring("expired"))))
	})
})

func clientTrusting(ca string) *http.Client {
	text, err := os.ReadFile(ca)
	Expect(err).NotTo(HaveOccurred())
	roots := x509.NewCertPool()
	Expect(roots.AppendCertsFromPEM(text)).To(BeTrue())
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				RootCAs: roots,
			},
		},
	}
}

func getWith(client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
