package ibisexperiment_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisduration"
	"github.com/ibisridge/ibisridge/internal/measure/ibisexperiment"
	"github.com/ibisridge/ibisridge/internal/measure/ibismodel"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisexperiment")
}

var _ = Describe("An experiment", func() {
	It("is valid in every file that is shipped, under the file's own name", func() {
		files, err := filepath.Glob("../../../experiments/*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">=", 8))
		for _, file := range files {
			e, err := ibisexperiment.Read(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(filepath.Base(file)).To(Equal(e.Name + ".json"))
			Expect(e.About).NotTo(BeEmpty(), file)
		}
	})

	It("names every field that can't be used", func() {
		_, err := ibisexperiment.Parse([]byte(`{"policies":["magic"],"model":{"duration":"1s"}}`))
		for _, part := range []string{"name: must not be empty", `policies "magic"`, "fleet.regions 0", "classes: must not be empty"} {
			Expect(err).To(MatchError(ContainSubstring(part)))
		}
		_, err = ibisexperiment.Parse([]byte(`{"colour":"red"}`))
		Expect(err).To(MatchError(ContainSubstring("colour")))
	})

	It("reports on its policies in a table and plots", func() {
		e, err := ibisexperiment.Read("../../../experiments/burst.json")
		Expect(err).NotTo(HaveOccurred())
		e.Policies = []ibismodel.Policy{ibismodel.PolicyRelay, ibismodel.PolicyRoundRobin}
		e.Seeds = []uint64{1, 2}
		e.Model.Duration = ibisduration.Duration{Duration: 12 * time.Second}
		rows, err := e.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
		Expect(rows[0].Cells()).To(HaveLen(len(ibisexperiment.Header())))
		Expect(rows[0].ClassCells()[0]).To(HaveLen(len(ibisexperiment.ClassHeader())))
		dir := GinkgoT().TempDir()
		Expect(e.Write(dir, rows)).To(Succeed())
		text, err := os.ReadFile(filepath.Join(dir, "report.md"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("| relay | "))
		plots, err := filepath.Glob(filepath.Join(dir, "*.svg"))
		Expect(err).NotTo(HaveOccurred())
		Expect(plots).To(HaveLen(6))
		for _, p := range plots {
			Expect(string(text)).To(ContainSubstring(filepath.Base(p)))
			svg, err := os.ReadFile(p)
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Count(string(svg), "<path")).To(BeNumerically(">", 5), p)
		}
	})
})
