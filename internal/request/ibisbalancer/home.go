package ibisbalancer

import (
	"cmp"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// HomeDecision is the decision whether a node may serve a tenant's requests.
type HomeDecision struct {
	// Serve is true where the node is in a home region or the tenant has no home regions.
	Serve bool
	// Region is the home region to send the request to, where Serve is false.
	Region ibisid.RegionName
}

// CheckHome decides, before a request's body is read, whether a node may serve the request in its own region; otherwise
// the answer names the home region with the lowest cost.
func CheckHome(config Config, homes []ibisid.RegionName) HomeDecision {
	if len(homes) == 0 || slices.Contains(homes, config.Own.Region) {
		return HomeDecision{
			Serve: true,
		}
	}
	nearest := slices.MinFunc(homes, func(a, b ibisid.RegionName) int {
		return cmp.Or(cmp.Compare(config.RegionCosts[a], config.RegionCosts[b]), cmp.Compare(a, b))
	})
	return HomeDecision{
		Region: nearest,
	}
}
