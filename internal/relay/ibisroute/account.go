package ibisroute

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// Account is a client account: its callers share a priority, a rate limit and home regions.
type Account struct {
	// Name is the name of the account.
	Name ibisid.TenantName
	// Priority is the rank of the account's requests, where zero is the most urgent. It takes precedence over that of the route.
	Priority int
	// Rate is the number of requests per second that may run on all nodes together; zero for no limit.
	Rate float64
	// Burst is the number of requests beyond the rate that may run at once.
	Burst float64
	// Homes lists the only regions that may run the account's requests; empty for all. The route's list applies, too.
	Homes []ibisid.RegionName
}
