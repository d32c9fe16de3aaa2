package ibissettings_test

import (
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibissettings")
}

const good = `{"name":"n1","region":"uusimaa","domain":"espoo-b","platform":"http://127.0.0.1:9000",
 "limits":{"stopTimeout":"9s"}}`

var _ = Describe("Settings", func() {
	It("keeps defaults for fields that the file omits, and prefers flags to the environment", func() {
		settings, err := ibissettings.Parse([]byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Validate()).To(Succeed())
		Expect(settings.Limits.StopTimeout.Duration).To(Equal(9 * time.Second))
		Expect(settings.Limits.HeaderBytes).To(Equal(ibissettings.Default().Limits.HeaderBytes))

		GinkgoT().Setenv("IBISRIDGE_DOMAIN", "helsinki-a")
		GinkgoT().Setenv("IBISRIDGE_LOG_LEVEL", "warn")
		GinkgoT().Setenv("IBISRIDGE_STOP_TIMEOUT", "7s")
		var override ibissettings.Override
		parser, err := arg.NewParser(arg.Config{}, &override)
		Expect(err).NotTo(HaveOccurred())
		Expect(parser.Parse([]string{"--log-level", "debug"})).To(Succeed())
		changed := override.Apply(settings)
		Expect(changed.Domain).To(Equal(ibisid.DomainName("helsinki-a")))
		Expect(changed.LogLevel).To(Equal("debug"))
		Expect(changed.Limits.StopTimeout.Duration).To(Equal(7 * time.Second))
		Expect(changed.Name).To(Equal(settings.Name))
	})

	DescribeTable("rejects malformed text with its position",
		func(text, want string) {
			_, err := ibissettings.Parse([]byte(text))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown field", "{\n \"nmae\": \"n1\"}", `unknown field "nmae"`),
		Entry("syntax", "{\n \"name\": n1}", "line 2, column"),
		Entry("wrong type", "{\n\n \"name\": 1}", "line 3, column"),
		Entry("duration", `{"limits":{"stopTimeout":"fast"}}`, `"fast": must be a duration`),
		Entry("two values", good+"{}", "more text follows"),
		Entry("empty", "", "EOF"),
	)

	It("reports every invalid field with its value and the allowed values in one error", func() {
		settings := ibissettings.Default()
		settings.Name = "Bad Name"
		settings.Listen.Callers = "localhost:80"
		settings.Listen.Peers = "0.0.0.0:8081"
		settings.Listen.Backend = "10.0.0.1:8083"
		settings.Platform = "ftp://x"
		settings.Seeds = []string{"10.0.0.1:8081", "0.0.0.0:0"}
		settings.PeerTLS = &ibissettings.KeyPair{
			Cert: "cert.pem",
		}
		settings.LogLevel = "loud"
		settings.Limits.Connections = 0
		settings.Limits.PlatformTimeout.Duration = time.Hour
		err := settings.Validate()
		for _, want := range []string{
			`name: "Bad Name": must be`, `region: ""`, `domain: ""`, `listen.callers: "localhost:80"`,
			`advertise.peers: ""`, `listen.backend: "10.0.0.1:8083": must be a loopback`, `platform: "ftp://x"`,
			`seeds[1]: "0.0.0.0:0"`, `peerTls.key: ""`, `peerTls.ca: ""`, `logLevel: "loud": must be one of debug`,
			`limits.connections: "0": must be from 1`, `limits.platformTimeout: "1h0m0s"`,
		} {
			Expect(err).To(MatchError(ContainSubstring(want)))
		}
	})
})
