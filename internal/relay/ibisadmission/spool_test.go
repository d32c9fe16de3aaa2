package ibisadmission

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

	// read returns the bytes that a spool of the announced length reads from the reader, and the number of bytes released.
	read := func(from io.Reader, length int) (string, int, error) {
		released := 0
		s := newSpool(io.NopCloser(from), length, func(n int) { released += n })
		got, err := io.ReadAll(s)
		Expect(s.Close()).To(Succeed())
		return string(got), released, err
	}

	It("returns a body of the announced length, whether its end comes with the last bytes or after them", func() {
		for _, from := range []io.Reader{strings.NewReader(body), iotest.DataErrReader(strings.NewReader(body)), iotest.OneByteReader(strings.NewReader(body))} {
			got, released, err := read(from, len(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(body))
			Expect(released).To(Equal(len(body)))
		}
	})

	It("fails where the body ends early, and releases the bytes that are missing", func() {
		broken := errors.New("connection reset")
		got, released, err := read(io.MultiReader(strings.NewReader("the"), iotest.ErrReader(broken)), len(body))
		Expect(err).To(MatchError(broken))
		Expect(got).To(Equal("the"))
		Expect(released).To(Equal(len(body)))
	})

	It("fails if the body is longer than announced", func() {
		_, _, err := read(strings.NewReader(body+"and more"), len(body))
		Expect(err).To(MatchError(errLongBody))
	})
})
