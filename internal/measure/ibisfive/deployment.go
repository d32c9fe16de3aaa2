package ibisfive

import (
	"encoding/json"
	"fmt"

	ibisexample "github.com/ibisridge/ibisridge/examples"
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/measure/ibisfleet"
)

const (
	deskServers  = 10
	keyedServers = 5
)

// deployment is one of the two deployments at its size of today.
type deployment struct {
	name   string
	desk   ibisid.ServiceName
	keyed  ibisid.ServiceName
	places []ibisid.Place
	// firstSeed keeps the draws of the deployments apart.
	firstSeed uint64
}

func deployments() []deployment {
	return []deployment{
		{
			name:      "kynnysmatto",
			desk:      "order-desk",
			keyed:     "print-floor",
			firstSeed: 1,
			places: []ibisid.Place{
				place("uusimaa", "helsinki-a"),
				place("pirkanmaa", "tampere-a"),
				place("pohjois-pohjanmaa", "oulu-a"),
				place("uusimaa", "espoo-b"),
				place("pirkanmaa", "nokia-b"),
				place("pohjois-pohjanmaa", "kempele-b"),
			},
		},
		{
			name:      "kandy",
			desk:      "dues-desk",
			keyed:     "plot-registry",
			firstSeed: 101,
			places: []ibisid.Place{
				place("central", "kandy-a"),
				place("western", "colombo-a"),
				place("southern", "galle-a"),
				place("central", "kandy-b"),
				place("western", "colombo-b"),
				place("southern", "galle-b"),
			},
		},
	}
}

func place(region ibisid.RegionName, domain ibisid.DomainName) ibisid.Place {
	return ibisid.Place{
		Region: region,
		Domain: domain,
	}
}

// domain returns the failure domain that is lost, or taken out and brought back.
func (d deployment) domain() ibisid.DomainName { return d.places[0].Domain }

// deskPlaces returns where the servers of the service stand that is not divided by key.
func (d deployment) deskPlaces() []ibisid.Place {
	places := make([]ibisid.Place, deskServers)
	for i := range places {
		places[i] = d.places[i%len(d.places)]
	}
	return places
}

// sections returns the deployment's sample document.
func (d deployment) sections() (ibisdoc.Sections, error) {
	var sections ibisdoc.Sections
	if err := json.Unmarshal(ibisexample.Document(d.name), &sections); err != nil {
		return nil, fmt.Errorf("sample document of %s: %w", d.name, err)
	}
	return sections, nil
}

// servers returns every server of the deployment; checks says whether they check who gives them an order.
func (d deployment) servers(checks bool) []ibisfleet.Server {
	var servers []ibisfleet.Server
	for i, p := range d.deskPlaces() {
		servers = append(servers, ibisfleet.Server{
			Name:         ibisid.NodeName(fmt.Sprintf("%s-%02d", d.desk, i)),
			Place:        p,
			Service:      d.desk,
			ChecksGrants: checks,
		})
	}
	for i := range keyedServers {
		servers = append(servers, ibisfleet.Server{
			Name:         d.keyedNode(i),
			Place:        d.places[i%len(d.places)],
			Service:      d.keyed,
			ChecksGrants: checks,
		})
	}
	return servers
}

func (d deployment) keyedNode(i int) ibisid.NodeName {
	return ibisid.NodeName(fmt.Sprintf("%s-%02d", d.keyed, i))
}
