package ibistls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	serialBits      = 127
	privateFileMode = 0o600
	authorityYears  = 10
	clockSkew       = time.Minute
)

// Authority issues certificates for tests and for trying the program out. It does not replace an authority of the operator.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a new authority that is valid for ten years from now. It fails if no key can be generated.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	template, err := newTemplate("ibisridge test authority", now, now.AddDate(authorityYears, 0, 0))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &Authority{
		certificate: certificate,
		key:         key,
	}, nil
}

// Issue writes cert.pem, key.pem and ca.pem into a directory. The certificate is valid between the two times for the DNS
// names and the loopback addresses; one minute before from is allowed for clock skew.
func (a *Authority) Issue(dir string, from, to time.Time, names ...string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, fmt.Errorf("certificate: %w", err)
	}
	template, err := newTemplate("ibisridge test certificate", from, to)
	if err != nil {
		return Files{}, err
	}
	template.DNSNames = names
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, fmt.Errorf("certificate: %w", err)
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, fmt.Errorf("certificate: %w", err)
	}
	return a.write(dir, raw, rawKey)
}

func (a *Authority) write(dir string, cert, key []byte) (Files, error) {
	files := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	if err := writePEM(files.Cert, "CERTIFICATE", cert); err != nil {
		return Files{}, err
	}
	if err := writePEM(files.Key, "PRIVATE KEY", key); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.CA, "CERTIFICATE", a.certificate.Raw)
}

func newTemplate(name string, from, to time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: from.Add(-clockSkew),
		NotAfter:  to,
	}, nil
}

func writePEM(file, kind string, body []byte) error {
	text := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: body,
	})
	return os.WriteFile(file, text, privateFileMode)
}
