package ibistls

import (
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

const (
	// PeerName is the DNS name in the certificate of every node; it replaces host names, since nodes call each other by IP address.
	PeerName = "node.ibisridge"
	// ReloadPeriod is the interval at which the files are checked for changes.
	ReloadPeriod = 5 * time.Second
)

var errNoPeerCertificate = errors.New("peer presented no certificate")

// Reloader keeps a key pair up to date with its files. If a replacement is invalid, the previous pair stays in use.
type Reloader struct {
	timer        ibistimer.Service
	files        Files
	onChange     func(error)
	current      atomic.Pointer[keyPair]
	subscription ibistimer.Subscription

	mu       sync.Mutex
	rejected fileContents
	lastErr  error
}

// NewReloader loads the files and checks them for changes every ReloadPeriod. It calls onChange, which may be nil, once
// for each replacement, with an error if the replacement was rejected. It fails if the pair is missing, mismatched,
// expired, or not signed by its authorities.
func NewReloader(timer ibistimer.Service, files Files, onChange func(error)) (*Reloader, error) {
	c, err := readFiles(files)
	if err != nil {
		return nil, fmt.Errorf("key pair: %w", err)
	}
	p, err := newKeyPair(files, c, timer.Now())
	if err != nil {
		return nil, fmt.Errorf("key pair: %w", err)
	}
	r := &Reloader{
		timer:    timer,
		files:    files,
		onChange: onChange,
	}
	r.current.Store(p)
	r.subscription = timer.Every(ReloadPeriod, func(time.Time) { r.reload() })
	return r, nil
}

// Stop ends the checks of the files; the current pair stays in use.
func (r *Reloader) Stop() { r.subscription.Stop() }

// Err returns the error of the last replacement if it was rejected, or nil.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErr
}

// Expires returns the expiry time of the certificate in use.
func (r *Reloader) Expires() time.Time { return r.current.Load().certificate.Leaf.NotAfter }

func (r *Reloader) reload() {
	c, err := readFiles(r.files)
	if err == nil && c == r.current.Load().contents {
		r.recordResult(fileContents{}, nil)
		return
	}
	var p *keyPair
	if err == nil {
		p, err = newKeyPair(r.files, c, r.timer.Now())
	}
	if err != nil {
		err = fmt.Errorf("key pair: %w", err)
	} else {
		r.current.Store(p)
	}
	if r.recordResult(c, err) && r.onChange != nil {
		r.onChange(err)
	}
}

// recordResult stores the result of a check of the files and reports whether it must be passed to onChange. The same
// rejected contents are reported once.
func (r *Reloader) recordResult(c fileContents, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := err == nil || r.lastErr == nil || c != r.rejected
	r.lastErr = err
	r.rejected = c
	return changed
}

// CallerConfig returns the TLS configuration of a server for callers.
func (r *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
}

// PeerServerConfig returns the TLS configuration of a server for other nodes; it requires the certificate of a node.
func (r *Reloader) PeerServerConfig() *tls.Config {
	config := r.CallerConfig()
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = r.verifyPeer
	return config
}

// PeerClientConfig returns the TLS configuration of a client of other nodes; it requires the certificate of a node.
func (r *Reloader) PeerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		// The authorities may be replaced while the configuration is in use, so verifyPeer checks the chain and the name.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyPeer,
	}
}

func (r *Reloader) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	return r.current.Load().verify(state.PeerCertificates[0], state.PeerCertificates[1:], r.timer.Now())
}
