package ibiscell_test

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/measure/ibiscell"
)

const (
	// partEvery and partPairs are the part of the matrix that CI runs; the command runs all of it.
	partEvery = 80
	partPairs = 4
)

func TestCells(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibiscell")
}

// knownRed lists the cells and promises that KNOWN-RED.txt names, as FLOW|STEP|FAULT|PROMISE with * for any.
func knownRed() []string {
	text, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	if os.IsNotExist(err) {
		return nil
	}
	Expect(err).NotTo(HaveOccurred())
	var patterns []string
	for line := range strings.Lines(string(text)) {
		if pattern, ok := strings.CutPrefix(strings.TrimSpace(line), "matrix: "); ok {
			patterns = append(patterns, pattern)
		}
	}
	return patterns
}

// known reports whether the breach stands in KNOWN-RED.txt.
func known(patterns []string, cell ibiscell.Cell, b ibiscell.Breach) bool {
	for _, pattern := range patterns {
		for _, fault := range cell.Faults {
			if ok, err := path.Match(pattern, strings.Join([]string{cell.Flow, cell.Step, fault, string(b.Promise)}, "|")); ok && err == nil {
				return true
			}
		}
	}
	return false
}

var _ = Describe("Run", func() {
	It("holds what must always hold in a part of the matrix", func() {
		cells, err := ibiscell.Run(ibiscell.Selection{
			Every: partEvery,
			Pairs: partPairs,
		})
		Expect(err).NotTo(HaveOccurred())
		patterns := knownRed()
		for _, cell := range cells {
			Expect(cell.Verdict).NotTo(Equal(ibiscell.NotRun), "%s / %s: %s", cell.Flow, cell.Step, cell.Reason)
			for _, b := range cell.Broken {
				text := fmt.Sprintf("%s / %s / %v, seed %d: %s after %s: %s", cell.Flow, cell.Step, cell.Faults, cell.Seed, b.Promise, b.After, b.What)
				if known(patterns, cell, b) {
					fmt.Println("known red, passed over:", text)
					continue
				}
				Fail(text)
			}
		}
	})

	It("lets no heir run beside an owner whose first heir was dead already when it was named", func() {
		cells, err := ibiscell.Run(ibiscell.Selection{
			Flows:  []string{"takeOverUnfenced"},
			Faults: []string{"cutBothWays"},
		})
		Expect(err).NotTo(HaveOccurred())
		for _, cell := range cells {
			Expect(cell.Broken).To(BeEmpty(), "%s / %s", cell.Flow, cell.Step)
		}
	})

	It("has the same cell twice", func() {
		s := ibiscell.Selection{
			Flows:  []string{"renew"},
			Faults: []string{"freeze"},
		}
		first, err := ibiscell.Run(s)
		Expect(err).NotTo(HaveOccurred())
		second, err := ibiscell.Run(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	It("refuses unknown names", func() {
		_, err := ibiscell.Run(ibiscell.Selection{Faults: []string{"fire"}})
		Expect(err).To(MatchError(ContainSubstring("must be one of [messageLost")))
	})
})
