package ibisdoc_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

var writeSchemas = flag.Bool("write-schemas", false, "regenerate schema/*.json")

var _ = Describe("SectionSchema", func() {
	It("matches the files in schema/; run the test with -write-schemas after a change of the types", func() {
		for _, kind := range ibisdoc.Kinds() {
			text, err := json.MarshalIndent(ibisdoc.SectionSchema(kind), "", "  ")
			Expect(err).NotTo(HaveOccurred())
			path := filepath.Join("../../../schema", string(kind)+".json")
			if *writeSchemas {
				Expect(os.WriteFile(path, append(text, '\n'), 0o644)).To(Succeed())
			}
			committed, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(committed)).To(Equal(string(text) + "\n"))
		}
	})
})
