package ibislog_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibislog"
)

func TestLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibislog")
}

var _ = Describe("New", func() {
	It("writes one JSON object per line at its level and above, with the node's place", func() {
		var out bytes.Buffer
		logger, err := ibislog.New(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		logger = ibislog.WithNode(logger, ibisid.Member{
			Name:        "n1",
			Incarnation: 7,
		}, ibisid.Place{
			Region: "uusimaa",
			Domain: "espoo-b",
		})
		logger.Debug("not written")
		logger.Info("lease\nheld", zap.Duration("left", 2*time.Second))
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("message", "lease\nheld"))
		Expect(line).To(HaveKeyWithValue("left", "2s"))
		Expect(line).To(HaveKeyWithValue("domain", "espoo-b"))
		_, err = ibislog.New(&out, "loud")
		Expect(err).To(MatchError(ContainSubstring(`"loud": must be debug, info, warn or error`)))
	})
})
