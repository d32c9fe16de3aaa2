package ibisguard

import (
	"errors"
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("spool", func() {
	const body = "the whole answer"

	// read hands on what a spool of the announced length takes from the reader, and the bytes that it says have left.
	read := func(from io.Reader, length int) (string, int, error) {
		gone := 0
		s := newSpool(io.NopCloser(from), length, func(n int) { gone += n })
		taken, err := io.ReadAll(s)
		Expect(s.Close()).To(Succeed())
		return string(taken), gone, err
	}

	It("hands on a body of its length, however its end comes", func() {
		for _, from := range []io.Reader{strings.NewReader(body), iotest.DataErrReader(strings.NewReader(body)), iotest.OneByteReader(strings.NewReader(body))} {
			taken, gone, err := read(from, len(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(taken).To(Equal(body))
			Expect(gone).To(Equal(len(body)))
		}
	})

	It("fails where the body breaks off, and counts the rest as gone", func() {
		broken := errors.New("connection reset")
		taken, gone, err := read(io.MultiReader(strings.NewReader("the"), iotest.ErrReader(broken)), len(body))
		Expect(err).To(MatchError(broken))
		Expect(taken).To(Equal("the"))
		Expect(gone).To(Equal(len(body)))
	})

	It("fails where the body goes on after its length", func() {
		_, _, err := read(strings.NewReader(body+"and more"), len(body))
		Expect(err).To(MatchError(errLongBody))
	})
})
