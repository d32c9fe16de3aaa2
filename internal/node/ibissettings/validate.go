package ibissettings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	maxNameLength      = 63
	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 1 << 20
	maxConnections     = 1 << 20
	minOnceBytes       = 1 << 20
	maxOnceBytes       = 4 << 30
	minPeerConnections = 16
	maxPeerConnections = 32_768
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

// validator collects the errors of invalid fields.
type validator struct {
	errs []error
}

func (v *validator) require(ok bool, field string, value any, allowed string) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf("%s: %q: must be %s", field, fmt.Sprint(value), allowed))
	}
}

// Validate returns an error that names every invalid field with its value and the allowed values, or nil.
func (s Settings) Validate() error {
	v := &validator{}
	v.checkName("name", string(s.Name))
	v.checkName("region", string(s.Region))
	v.checkName("domain", string(s.Domain))
	v.checkAddresses(s)
	v.require(isHTTPURL(s.Platform), "platform", s.Platform, `an http or https URL, such as "http://10.0.0.2:9000"`)
	v.checkKeyPair("peerTls", s.PeerTLS, true)
	v.checkKeyPair("callerTls", s.CallerTLS, false)
	v.require(slices.Contains(logLevels, s.LogLevel), "logLevel", s.LogLevel, "one of "+strings.Join(logLevels, ", "))
	v.checkLimits(s.Limits)
	return errors.Join(v.errs...)
}

func (v *validator) checkName(field, value string) {
	v.require(len(value) <= maxNameLength && namePattern.MatchString(value), field, value,
		fmt.Sprintf("1 to %d lower-case letters, digits and inner hyphens", maxNameLength))
}

func (v *validator) checkAddresses(s Settings) {
	v.checkListen("listen.callers", s.Listen.Callers)
	v.checkListen("listen.peers", s.Listen.Peers)
	v.checkListen("listen.operators", s.Listen.Operators)
	address := v.checkListen("listen.backend", s.Listen.Backend)
	v.require(!address.IsValid() || address.Addr().IsLoopback(), "listen.backend", s.Listen.Backend,
		"a loopback address, since the backend server runs on the same instance")
	v.checkAdvertise("advertise.callers", s.Advertise.Callers, "listen.callers", s.Listen.Callers)
	v.checkAdvertise("advertise.peers", s.Advertise.Peers, "listen.peers", s.Listen.Peers)
	for i, seed := range s.Seeds {
		v.checkReachable(fmt.Sprintf("seeds[%d]", i), seed)
	}
}

func (v *validator) checkListen(field, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	v.require(err == nil, field, value, `an IP address and a port, such as "10.0.0.7:8080"`)
	return address
}

func (v *validator) checkReachable(field, value string) {
	address, err := netip.ParseAddrPort(value)
	v.require(err == nil && address.Port() != 0 && !address.Addr().IsUnspecified(), field, value,
		`an IP address and a port that others can reach, such as "10.0.0.7:8081"`)
}

// checkAdvertise requires an advertised address if the listen address is unspecified, such as 0.0.0.0.
func (v *validator) checkAdvertise(field, value, listenField, listen string) {
	if value != "" {
		v.checkReachable(field, value)
		return
	}
	address, err := netip.ParseAddrPort(listen)
	v.require(err != nil || !address.Addr().IsUnspecified(), field, value,
		"the address at which others reach the node, since "+listenField+" is an unspecified address (every interface)")
}

func (v *validator) checkKeyPair(field string, pair *KeyPair, needsCA bool) {
	if pair == nil {
		return
	}
	v.require(pair.Cert != "", field+".cert", pair.Cert, "the PEM file of a certificate")
	v.require(pair.Key != "", field+".key", pair.Key, "the PEM file of a private key")
	v.require(!needsCA || pair.CA != "", field+".ca", pair.CA, "the PEM file of the certificate authorities, by which nodes verify each other")
}

func (v *validator) checkLimits(l Limits) {
	v.require(l.HeaderBytes >= minHeaderBytes && l.HeaderBytes <= maxHeaderBytes, "limits.headerBytes", l.HeaderBytes,
		fmt.Sprintf("from %d to %d bytes", minHeaderBytes, maxHeaderBytes))
	v.require(l.Connections >= 1 && l.Connections <= maxConnections, "limits.connections", l.Connections,
		fmt.Sprintf("from 1 to %d", maxConnections))
	v.require(l.OnceBytes >= minOnceBytes && l.OnceBytes <= maxOnceBytes, "limits.onceBytes", l.OnceBytes,
		fmt.Sprintf("from %d to %d bytes", minOnceBytes, maxOnceBytes))
	v.require(l.PeerConnections >= minPeerConnections && l.PeerConnections <= maxPeerConnections, "limits.peerConnections", l.PeerConnections,
		fmt.Sprintf("from %d to %d", minPeerConnections, maxPeerConnections))
	v.checkDuration("limits.headerTimeout", l.HeaderTimeout, 100*time.Millisecond, time.Minute)
	v.checkDuration("limits.platformTimeout", l.PlatformTimeout, 10*time.Millisecond, 30*time.Second)
	v.checkDuration("limits.stopTimeout", l.StopTimeout, time.Second, time.Hour)
}

func (v *validator) checkDuration(field string, value Duration, minimum, maximum time.Duration) {
	v.require(value.Duration >= minimum && value.Duration <= maximum, field, value, fmt.Sprintf("from %s to %s", minimum, maximum))
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
