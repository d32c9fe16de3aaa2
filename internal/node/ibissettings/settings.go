package ibissettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Settings describes one node: its name and place, its addresses, and the platform and nodes that it connects to.
type Settings struct {
	// Name is the node's name, unique among live nodes.
	Name ibisid.NodeName `json:"name"`
	// Region is the region of the node.
	Region ibisid.RegionName `json:"region"`
	// Domain is the failure domain of the node.
	Domain ibisid.DomainName `json:"domain"`
	// Listen lists the addresses that the node listens on.
	Listen Listen `json:"listen"`
	// Advertise lists the addresses at which other instances reach the node; an empty one defaults to the listen address.
	Advertise Advertise `json:"advertise,omitzero"`
	// Platform is the base URL of the platform's table and object store.
	Platform string `json:"platform"`
	// Seeds lists peer addresses of other nodes, which are asked while the platform is unavailable; it may be empty.
	Seeds []string `json:"seeds,omitempty"`
	// PeerTLS is the key pair and authority for the traffic between nodes; if it is nil, that traffic is plain TCP.
	PeerTLS *KeyPair `json:"peerTls,omitempty"`
	// CallerTLS is the key pair that is presented to callers; if it is nil, callers are served over plain HTTP.
	CallerTLS *KeyPair `json:"callerTls,omitempty"`
	// SoleProcess reports that the platform never starts this node while an earlier process of the same name may still run.
	// The node may then declare its own previous incarnation dead. It must be false where this is not certain.
	SoleProcess bool `json:"soleProcess,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
	// Limits bounds the resources that callers may use on the node.
	Limits Limits `json:"limits,omitzero"`
}

// Listen holds the addresses that a node listens on, each an IP address and a port.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string `json:"callers"`
	// Peers is the address for control calls and forwarded requests of other nodes.
	Peers string `json:"peers"`
	// Operators is the address for the operator interface, health checks and metrics.
	Operators string `json:"operators"`
	// Backend is the address for announcements of the backend server; it must be a loopback address.
	Backend string `json:"backend"`
}

// Advertise holds the addresses at which other instances reach a node.
type Advertise struct {
	// Callers is the address to which callers are directed.
	Callers string `json:"callers,omitempty"`
	// Peers is the address that other nodes call.
	Peers string `json:"peers,omitempty"`
}

// KeyPair names the PEM files of a certificate, its private key and the certificate authorities.
type KeyPair struct {
	// Cert is the file of the certificate chain.
	Cert string `json:"cert"`
	// Key is the file of the private key.
	Key string `json:"key"`
	// CA is the file of the certificate authorities that this certificate and those of peers must chain to. It is required
	// for PeerTLS and ignored for CallerTLS.
	CA string `json:"ca,omitempty"`
}

// Limits bounds the resources that callers may use on a node.
type Limits struct {
	// HeaderBytes is the maximum size of the headers of a request, in bytes.
	HeaderBytes int `json:"headerBytes,omitempty"`
	// Connections is the maximum number of connections from callers.
	Connections int `json:"connections,omitempty"`
	// OnceBytes is the memory for the recorded answers to non-idempotent requests, in bytes.
	OnceBytes int `json:"onceBytes,omitempty"`
	// PeerConnections is the maximum number of connections to other nodes for forwarded requests, in total.
	PeerConnections int `json:"peerConnections,omitempty"`
	// HeaderTimeout is the time within which a caller must send the headers of a request.
	HeaderTimeout Duration `json:"headerTimeout,omitzero"`
	// PlatformTimeout is the timeout of one call to the platform.
	PlatformTimeout Duration `json:"platformTimeout,omitzero"`
	// StopTimeout is the time that a planned stop may take before running requests are cut off.
	StopTimeout Duration `json:"stopTimeout,omitzero"`
}

// Default returns the default settings; a name, a place and a platform must be added.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Peers:     "127.0.0.1:8081",
			Operators: "127.0.0.1:8082",
			Backend:   "127.0.0.1:8083",
		},
		LogLevel: "info",
		Limits: Limits{
			HeaderBytes:     32 << 10,
			Connections:     4096,
			OnceBytes:       16 << 20,
			PeerConnections: 4096,
			HeaderTimeout:   Duration{Duration: 5 * time.Second},
			PlatformTimeout: Duration{Duration: 2 * time.Second},
			StopTimeout:     Duration{Duration: 30 * time.Second},
		},
	}
}

// ReadFile returns the defaults with a settings file applied. It fails if the file cannot be read or parsed.
func ReadFile(file string) (Settings, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	settings, err := Parse(body)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", file, err)
	}
	return settings, nil
}

// Parse returns the defaults with JSON text applied. It fails on malformed text and unknown fields, with the line and
// column in the error.
func Parse(body []byte) (Settings, error) {
	settings := Default()
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, withPosition(body, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, withPosition(body, decoder.InputOffset(), errors.New("more text follows the settings object"))
	}
	return settings, nil
}

// withPosition wraps an error with the line and column at which it occurred.
func withPosition(body []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	}
	before := body[:min(max(offset, 0), int64(len(body)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}
