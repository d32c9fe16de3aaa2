package ibistls_test

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibistls"
)

func TestTLS(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibistls")
}

var _ = Describe("Reloader", func() {
	var (
		now       = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		timer     *ibistimer.Fake
		authority *ibistls.Authority
	)

	BeforeEach(func() {
		timer = ibistimer.NewFake(now)
		var err error
		authority, err = ibistls.NewAuthority(now.AddDate(-1, 0, 0))
		Expect(err).NotTo(HaveOccurred())
	})

	issue := func(a *ibistls.Authority, dir string, from, to time.Time, names ...string) ibistls.Files {
		files, err := a.Issue(dir, from, to, names...)
		Expect(err).NotTo(HaveOccurred())
		return files
	}

	load := func(files ibistls.Files) (*ibistls.Reloader, error) {
		r, err := ibistls.NewReloader(timer, files, nil)
		if err == nil {
			DeferCleanup(r.Stop)
		}
		return r, err
	}

	// connect makes one connection and returns the error of the server, or else of the client.
	connect := func(server, client *tls.Config) error {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		served := make(chan error, 1)
		go func() {
			conn := tls.Server(far, server)
			err := conn.Handshake()
			if err == nil {
				_, err = io.WriteString(conn, "x")
			}
			_ = far.Close()
			served <- err
		}()
		conn := tls.Client(near, client)
		_, err := conn.Read(make([]byte, 1))
		_ = near.Close()
		if serverErr := <-served; serverErr != nil {
			return serverErr
		}
		return err
	}

	It("accepts connections only between nodes of one authority", func() {
		until := now.AddDate(1, 0, 0)
		node, err := load(issue(authority, GinkgoT().TempDir(), now, until, ibistls.PeerName))
		Expect(err).NotTo(HaveOccurred())
		Expect(connect(node.PeerServerConfig(), node.PeerClientConfig())).To(Succeed())

		otherAuthority, err := ibistls.NewAuthority(now)
		Expect(err).NotTo(HaveOccurred())
		otherNode, err := load(issue(otherAuthority, GinkgoT().TempDir(), now, until, ibistls.PeerName))
		Expect(err).NotTo(HaveOccurred())
		Expect(connect(node.PeerServerConfig(), otherNode.PeerClientConfig())).NotTo(Succeed())
		Expect(connect(otherNode.PeerServerConfig(), node.PeerClientConfig())).NotTo(Succeed())
		Expect(connect(node.PeerServerConfig(), &tls.Config{InsecureSkipVerify: true})).NotTo(Succeed())
	})

	It("rejects invalid pairs with the reason", func() {
		year := now.AddDate(1, 0, 0)
		good := issue(authority, GinkgoT().TempDir(), now, year, ibistls.PeerName)
		otherKey := issue(authority, GinkgoT().TempDir(), now, year, ibistls.PeerName)
		otherAuthority, err := ibistls.NewAuthority(now)
		Expect(err).NotTo(HaveOccurred())
		untrusted := issue(otherAuthority, GinkgoT().TempDir(), now, year, ibistls.PeerName)
		for want, files := range map[string]ibistls.Files{
			"expired at":              issue(authority, GinkgoT().TempDir(), now.AddDate(0, -1, 0), now.Add(-time.Hour), ibistls.PeerName),
			"not valid before":        issue(authority, GinkgoT().TempDir(), now.Add(time.Hour), year, ibistls.PeerName),
			"no such file":            {Cert: "missing.pem", Key: good.Key, CA: good.CA},
			"does not match":          {Cert: good.Cert, Key: otherKey.Key, CA: good.CA},
			"holds no certificate":    {Cert: good.Cert, Key: good.Key, CA: good.Key},
			"unknown authority":       {Cert: good.Cert, Key: good.Key, CA: untrusted.CA},
			"valid for shop.example,": issue(authority, GinkgoT().TempDir(), now, year, "shop.example"),
		} {
			_, err := load(files)
			Expect(err).To(MatchError(ContainSubstring(want)))
		}
	})

	It("reloads replaced files, and keeps the previous pair if the replacement is invalid", func() {
		dir := GinkgoT().TempDir()
		files := issue(authority, dir, now, now.AddDate(0, 1, 0), ibistls.PeerName)
		var reported []error
		r, err := ibistls.NewReloader(timer, files, func(err error) { reported = append(reported, err) })
		Expect(err).NotTo(HaveOccurred())
		defer r.Stop()

		Expect(os.WriteFile(files.Cert, []byte("half"), 0o600)).To(Succeed())
		timer.Advance(3 * ibistls.ReloadPeriod)
		Expect(reported).To(HaveLen(1))
		Expect(r.Err()).To(HaveOccurred())
		Expect(connect(r.PeerServerConfig(), r.PeerClientConfig())).To(Succeed())

		issue(authority, dir, now, now.AddDate(0, 6, 0), ibistls.PeerName)
		timer.Advance(ibistls.ReloadPeriod)
		Expect(reported).To(HaveLen(2))
		Expect(r.Err()).NotTo(HaveOccurred())
		Expect(r.Expires()).To(BeTemporally("~", now.AddDate(0, 6, 0), time.Second))
		Expect(connect(r.PeerServerConfig(), r.PeerClientConfig())).To(Succeed())
	})
})
