package ibisdispatch

import (
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

func fingerprintOf(order ibismessage.Order) ibisquarantine.Fingerprint {
	return ibisquarantine.FingerprintOf(order.Method, order.Host, order.URI, order.Body, order.Length)
}
