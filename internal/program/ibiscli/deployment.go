package ibiscli

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// deployment is a sample document with the nodes, accounts and requests that try it out.
type deployment struct {
	name  string
	team  string
	pairs []samplePair
	reads []sampleRequest
	// unpinned reads a key that no placement rule keeps in one region, so that it can leave a failure domain taken out.
	unpinned sampleRequest
	order    sampleRequest
	download sampleRequest
	unkeyed  sampleRequest
}

type samplePair struct {
	name    ibisid.NodeName
	place   ibisid.Place
	service ibisid.ServiceName
}

type sampleRequest struct {
	path  string
	token string
}

// The tokens of the samples are known to everyone and stand in the pages beside them.
const (
	kynnysmattoTeam = "ibisteam_platform_4b5a4f7f4a7ac9c18a6d6e8aa057bde392cb480d0ecd28a0"
	kynnysmattoTill = "ibis_pirkanmaa-shops.till_e526812ef4cdc3a745e22b318a9dad390148fe5b210f3230"
	kandyTeam       = "ibisteam_platform_4b5a4f7f4a7ac9c18a6d6e8aa057bde392cb480d0ecd28a0"
	kandyClerk      = "ibis_clerks.wards_384673360de0a9483b9cd2517558ed8f712cf9bb29be1853"
	kandyWard       = "ibis_societies.mapanawathura_4a13a2b0f21b094d105463685b627f62866d41c0714e026d"
	kandyAuditor    = "ibis_societies.auditors_1f35fb35619084e9fb3039e69abcacbf44f5603464a39f27"
)

func deployments() []deployment {
	return []deployment{kynnysmatto(), kandy()}
}

func kynnysmatto() deployment {
	return deployment{
		name: "kynnysmatto",
		team: kynnysmattoTeam,
		pairs: []samplePair{
			newSamplePair("floor-1", "uusimaa", "helsinki-a", "print-floor"),
			newSamplePair("floor-2", "pirkanmaa", "tampere-a", "print-floor"),
			newSamplePair("floor-3", "pohjois-pohjanmaa", "oulu-a", "print-floor"),
			newSamplePair("desk-1", "uusimaa", "espoo-b", "order-desk"),
			newSamplePair("desk-2", "pirkanmaa", "nokia-b", "order-desk"),
			newSamplePair("desk-3", "pohjois-pohjanmaa", "kempele-b", "order-desk"),
		},
		reads: []sampleRequest{
			newSampleRequest("/designs/MAT-4711", kynnysmattoTill),
			newSampleRequest("/floor/design/00004711", kynnysmattoTill),
			newSampleRequest("/artwork/urn:kk:mat:4711", kynnysmattoTill),
		},
		unpinned: newSampleRequest("/designs/MAT-4711", kynnysmattoTill),
		order:    newSampleRequest("/designs/MAT-4711/prints", kynnysmattoTill),
		download: newSampleRequest("/designs/MAT-4711/artwork", kynnysmattoTill),
		unkeyed:  newSampleRequest("/stock/rubber", kynnysmattoTill),
	}
}

func kandy() deployment {
	return deployment{
		name: "kandy",
		team: kandyTeam,
		pairs: []samplePair{
			newSamplePair("registry-1", "central", "kandy-a", "plot-registry"),
			newSamplePair("registry-2", "western", "colombo-a", "plot-registry"),
			newSamplePair("registry-3", "southern", "galle-a", "plot-registry"),
			newSamplePair("dues-1", "central", "kandy-b", "dues-desk"),
			newSamplePair("dues-2", "western", "colombo-b", "dues-desk"),
			newSamplePair("dues-3", "southern", "galle-b", "dues-desk"),
		},
		reads: []sampleRequest{
			newSampleRequest("/plots/07/000012/balance", kandyClerk),
			newSampleRequest("/society/plots/mapanawathura/12", kandyWard),
		},
		unpinned: newSampleRequest("/plots/05/000012/balance", kandyClerk),
		order:    newSampleRequest("/plots/07/000012/payments", kandyClerk),
		download: newSampleRequest("/plots/07/000012/ledger", kandyAuditor),
		unkeyed:  newSampleRequest("/receipts/2026-00000007", kandyClerk),
	}
}

func newSamplePair(name ibisid.NodeName, region ibisid.RegionName, domain ibisid.DomainName, service ibisid.ServiceName) samplePair {
	return samplePair{
		name: name,
		place: ibisid.Place{
			Region: region,
			Domain: domain,
		},
		service: service,
	}
}

func newSampleRequest(path, token string) sampleRequest {
	return sampleRequest{
		path:  path,
		token: token,
	}
}
