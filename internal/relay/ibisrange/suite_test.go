package ibisrange_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisrange")
}
