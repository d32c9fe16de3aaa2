package ibisquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint identifies what a request asks for, whoever sends it and under whichever id.
type Fingerprint [16]byte

// BodyBytes is the number of bytes at the beginning of a body that count for a fingerprint.
const BodyBytes = 4 << 10

// FingerprintOf returns the fingerprint of a request; body is its body or at least the first BodyBytes of it, and length is the length of
// the whole body in bytes, -1 if unknown.
func FingerprintOf(method, host, uri string, body []byte, length int64) Fingerprint {
	var head []byte
	for _, part := range []string{method, host, uri} {
		head = binary.BigEndian.AppendUint32(head, uint32(len(part)))
		head = append(head, part...)
	}
	head = binary.BigEndian.AppendUint64(head, uint64(length))
	hash := sha256.New()
	_, _ = hash.Write(head)
	_, _ = hash.Write(body[:min(len(body), BodyBytes)])
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// IsZero reports whether the value identifies no request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint returns the fingerprint that String has written; it fails if the text is not 32 hexadecimal digits.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, fmt.Errorf("fingerprint %q: must be %d hexadecimal digits", text, 2*len(f))
	}
	copy(f[:], raw)
	return f, nil
}
