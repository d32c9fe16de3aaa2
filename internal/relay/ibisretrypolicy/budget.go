package ibisretrypolicy

import (
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

const (
	// retryRatio is the number of retries that one new request adds to the budget: half of the share that the rules allow
	// all nodes together, because callers' retries raise the load as well.
	retryRatio = 0.1
	// retryBurst is the greatest number of retries that one node may send at once; the rules allow all nodes together 62 in
	// ten seconds.
	retryBurst = 3
	// DefaultRetryAfter is the retry-after time if no gate gave one.
	DefaultRetryAfter = 300 * time.Millisecond
	// retryAfterJitter is the greatest share by which retry-after times are lengthened, so that callers don't return
	// together.
	retryAfterJitter = 0.3
	// firstAttemptShare is the shortest timeout of callers at their first attempt, as a share of the longest timeout of
	// their class: the timeouts of callers of one class differ by a
	// seventh.
	firstAttemptShare = 0.85
)

// Budget is a retry budget: it limits the requests that one node sends to a second backend server to a share of its new
// requests and a small burst.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{
		tokens: retryBurst,
	}
}

// AddRequest adds the share of one new request to the budget.
func (b *Budget) AddRequest() { b.tokens = min(retryBurst, b.tokens+retryRatio) }

// TakeRetry takes one retry from the budget and reports whether the budget had room for it.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// AddJitter lengthens a retry-after time by a random share of at most retryAfterJitter.
func AddJitter(after time.Duration, random *rand.Rand) time.Duration {
	return after + time.Duration(random.Float64()*retryAfterJitter*float64(after))
}

// CallerAges estimates how long callers have been trying: the time that a caller has left is compared with the timeout of
// its class at a first attempt, which lies between firstAttemptShare of the longest timeout seen and all of it.
type CallerAges struct {
	longest map[ibisid.ClassName]time.Duration
}

// NewCallerAges returns a CallerAges without any class.
func NewCallerAges() *CallerAges {
	return &CallerAges{
		longest: make(map[ibisid.ClassName]time.Duration),
	}
}

// Estimate returns how long a caller with this time left has been trying; zero if it may be its first attempt, or if the
// caller states no timeout.
func (a *CallerAges) Estimate(class ibisid.ClassName, callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		return 0
	}
	if callerTimeout > a.longest[class] {
		a.longest[class] = callerTimeout
	}
	longest := a.longest[class]
	if float64(callerTimeout) >= firstAttemptShare*float64(longest) {
		return 0
	}
	return time.Duration((1+firstAttemptShare)/2*float64(longest)) - callerTimeout
}

// RetainOnly removes all classes except those given.
func (a *CallerAges) RetainOnly(classes ibisset.Set[ibisid.ClassName]) {
	for class := range a.longest {
		if !classes.Has(class) {
			delete(a.longest, class)
		}
	}
}
