package ibistls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Files names the PEM files of a key pair. CA is empty if peer certificates are not verified.
type Files struct {
	// Cert is the file of the certificate chain.
	Cert string
	// Key is the file of the private key.
	Key string
	// CA is the file of the certificate authorities that the certificate and those of peers must chain to.
	CA string
}

// keyPair is a loaded key pair with the authorities that peer certificates must chain to.
type keyPair struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	contents    fileContents
}

// fileContents is the text of the three files; a replacement is detected by comparing it.
type fileContents struct {
	cert string
	key  string
	ca   string
}

func readFiles(files Files) (fileContents, error) {
	cert, certErr := os.ReadFile(files.Cert)
	key, keyErr := os.ReadFile(files.Key)
	var ca []byte
	var caErr error
	if files.CA != "" {
		ca, caErr = os.ReadFile(files.CA)
	}
	return fileContents{
		cert: string(cert),
		key:  string(key),
		ca:   string(ca),
	}, errors.Join(certErr, keyErr, caErr)
}

// newKeyPair parses the text of the files. It fails if the certificate is not valid at the given time, or if files names
// authorities and the certificate does not chain to them or is not for PeerName.
func newKeyPair(files Files, c fileContents, now time.Time) (*keyPair, error) {
	certificate, err := tls.X509KeyPair([]byte(c.cert), []byte(c.key))
	if err != nil {
		return nil, fmt.Errorf("%s with %s: %w", files.Cert, files.Key, err)
	}
	if err := checkValidity(files.Cert, certificate.Leaf, now); err != nil {
		return nil, err
	}
	p := &keyPair{
		certificate: certificate,
		contents:    c,
	}
	if files.CA == "" {
		return p, nil
	}
	p.authorities = x509.NewCertPool()
	if !p.authorities.AppendCertsFromPEM([]byte(c.ca)) {
		return nil, fmt.Errorf("%s: holds no certificate in PEM", files.CA)
	}
	if err := p.verify(certificate.Leaf, p.intermediates(), now); err != nil {
		return nil, fmt.Errorf("%s: %w", files.Cert, err)
	}
	return p, nil
}

func checkValidity(file string, leaf *x509.Certificate, now time.Time) error {
	if now.Before(leaf.NotBefore) {
		return fmt.Errorf("%s: certificate is not valid before %s", file, leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	if now.After(leaf.NotAfter) {
		return fmt.Errorf("%s: certificate expired at %s", file, leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return nil
}

func (p *keyPair) intermediates() []*x509.Certificate {
	var out []*x509.Certificate
	for _, raw := range p.certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil {
			out = append(out, c)
		}
	}
	return out
}

// verify checks that a certificate is for PeerName and chains to the authorities.
func (p *keyPair) verify(leaf *x509.Certificate, intermediates []*x509.Certificate, now time.Time) error {
	pool := x509.NewCertPool()
	for _, c := range intermediates {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		DNSName:       PeerName,
		Roots:         p.authorities,
		Intermediates: pool,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	return err
}
