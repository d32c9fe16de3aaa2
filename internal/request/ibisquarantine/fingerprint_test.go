package ibisquarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

func TestFingerprint(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[ibisquarantine.Fingerprint]bool)
	for _, request := range [][4]string{
		{"GET", "mats.example", "/a/b", ""},
		{"POST", "mats.example", "/a/b", ""},
		{"GET", "mats.exampl", "e/a/b", ""},
		{"GET", "mats.example", "/a/b?c=d", ""},
		{"GET", "mats.example", "/a/b", "c"},
	} {
		f := ibisquarantine.FingerprintOf(request[0], request[1], request[2], []byte(request[3]), int64(len(request[3])))
		g.Expect(seen[f]).To(BeFalse(), "%v", request)
		seen[f] = true
		g.Expect(ibisquarantine.ParseFingerprint(f.String())).To(Equal(f))
	}
	for _, text := range []string{"", "00", "g0112233445566778899aabbccddeeff"} {
		_, err := ibisquarantine.ParseFingerprint(text)
		g.Expect(err).To(MatchError(ContainSubstring("must be 32 hexadecimal digits")))
	}
}
