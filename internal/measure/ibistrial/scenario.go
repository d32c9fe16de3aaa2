package ibistrial

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// Policy names a way to choose a server.
type Policy string

const (
	// PolicyRoundRobin takes the servers in turn.
	PolicyRoundRobin Policy = "roundRobin"
	// PolicyRandom takes any server.
	PolicyRandom Policy = "random"
	// PolicyLeastReported takes the server with the least reported load.
	PolicyLeastReported Policy = "leastReported"
	// PolicyTwoChoices takes the one of two random servers with fewer own requests under way.
	PolicyTwoChoices Policy = "twoChoices"
	// PolicyChooser is the project's chooser without hedges.
	PolicyChooser Policy = "chooser"
	// PolicyHedged is the project's chooser with hedges.
	PolicyHedged Policy = "chooserHedged"
)

// Policies lists the policies in the order of tables.
var Policies = []Policy{PolicyRoundRobin, PolicyRandom, PolicyLeastReported, PolicyTwoChoices, PolicyChooser, PolicyHedged}

const (
	slots          = 10
	connections    = 130
	fixedWork      = 10 * time.Millisecond
	meanExtraWork  = 10 * time.Millisecond
	meanWork       = fixedWork + meanExtraWork
	answerBytes    = 4 << 10
	sameDomain     = 50 * time.Microsecond
	betweenDomains = time.Millisecond
	betweenRegions = 20 * time.Millisecond
	reportPeriod   = 100 * time.Millisecond
	reportDelay    = time.Second
	spellPeriod    = time.Second
	spellFactor    = 10
	domainNotice   = 2 * time.Second
	className      = ibisid.ClassName("stock")
	openTime       = time.Millisecond
)

// Scenario is what a trial runs.
type Scenario struct {
	// Name names the scenario in tables.
	Name string
	// Places lists where the servers stand, one each.
	Places []ibisid.Place
	// Policy is the way to choose a server.
	Policy Policy
	// Algorithm is how each gate's limit follows latency.
	Algorithm ibisadmit.LimitAlgorithm
	// NoGate hands every request to its server at once.
	NoGate bool
	// Load is the offered load as a share of the servers' capacity.
	Load float64
	// Duration is the time over which requests arrive.
	Duration time.Duration
	// Deadline is the time that each request has.
	Deadline time.Duration
	// Spells is the length of the slowness that hits one or two servers each second; zero for none.
	Spells time.Duration
	// Liars is the number of servers that always report no load.
	Liars int
	// ColdAt is when all servers turn cold, counted from the start; negative for never.
	ColdAt time.Duration
	// ColdStart is the time to warm up.
	ColdStart time.Duration
	// ColdSilent keeps the cold start from being announced.
	ColdSilent bool
	// RealSlots is the number of requests that a server bears where that is below the announced 10; zero for 10.
	RealSlots int
	// OutDomain is the failure domain that is out from a third to two thirds of the duration; empty for none.
	OutDomain ibisid.DomainName
	// Seed fixes the draws.
	Seed uint64
}

// Places returns n places dealt over the domains of the regions.
func Places(n int, regions, domainsPerRegion int) []ibisid.Place {
	places := make([]ibisid.Place, 0, n)
	for i := range n {
		region := i % regions
		domain := i / regions % domainsPerRegion
		places = append(places, ibisid.Place{
			Region: ibisid.RegionName('A' + rune(region)),
			Domain: ibisid.DomainName(string('A'+rune(region)) + string('a'+rune(domain))),
		})
	}
	return places
}

// Result is what a trial measured.
type Result struct {
	// P50 is the median latency of the requests answered.
	P50 time.Duration
	// P99 is the latency that 99 in 100 stay below.
	P99 time.Duration
	// P999 is the latency that 999 in 1000 stay below.
	P999 time.Duration
	// Requests is the number of requests that callers sent.
	Requests int
	// Done is the number answered by a server within the deadline.
	Done int
	// Late is the number answered by a server after the deadline.
	Late int
	// NotRun is the number refused.
	NotRun int
	// Lost is the number that never got a final answer.
	Lost int
	// Goodput is Done as a share of what the servers could do over the duration.
	Goodput float64
	// Imbalance is the greatest number of requests at one server over the mean.
	Imbalance float64
	// Offered is the number of attempts over the number of requests.
	Offered float64
	// Hedges is the number of hedges over the number of requests.
	Hedges float64
	// RegionBytes is the number of bytes of answers that crossed regions.
	RegionBytes int64
	// Overrun is the most that a server ran above what it bore at the time.
	Overrun int
	// RefusalLatency is the longest time that a caller waited for a refusal.
	RefusalLatency time.Duration
	// MeanLimit is the mean of the gates' limits at the end.
	MeanLimit float64
}
