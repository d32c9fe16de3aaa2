package ibisrequestrouter

import (
	"fmt"
	"net/http"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

// checkHome refuses a request that must not be served in this node's region because of its tenant's home regions; the
// refusal names a region that may serve it.
func (rt *Router) checkHome(q *request) *ibiscaller.Refusal {
	decision := ibisbalancer.CheckHome(rt.chooserConfig, q.homes)
	if decision.Serve {
		return nil
	}
	refusal := refuse(http.StatusMisdirectedRequest, "notHome", fmt.Sprintf("the tenant's requests are served in its home regions only; ask a node in %s", decision.Region))
	refusal.Regions = []ibisid.RegionName{decision.Region}
	return refusal
}
