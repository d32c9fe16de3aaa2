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
	// DefaultReturn is the retry-after time if no gate gave one.
	DefaultReturn = 300 * time.Millisecond
	// retryAfterJitter is the greatest share by which retry-after times are lengthened, so that callers don't return together.
	retryAfterJitter = 0.3
	// firstAttemptShare is the least patience of callers at their first attempt, as a share of the longest patience of their
	// class: the users' callers differ by a seventh.
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

// Earn adds the share of one new request to the budget.
func (b *Budget) Earn() { b.tokens = min(retryBurst, b.tokens+retryRatio) }

// Spend takes one retry from the budget and reports whether the budget had room for it.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return lengthens a retry-after time by a random share of at most retryAfterJitter.
func Return(after time.Duration, random *rand.Rand) time.Duration {
	return after + time.Duration(random.Float64()*retryAfterJitter*float64(after))
}

// Ages estimates how long callers have been trying: the patience that a caller has left is compared with the patience of its
// class at a first attempt, which lies between firstAttemptShare of the longest patience seen and all of it.
type Ages struct {
	longest map[ibisid.ClassName]time.Duration
}

// NewAges returns an Ages without any class.
func NewAges() *Ages {
	return &Ages{
		longest: make(map[ibisid.ClassName]time.Duration),
	}
}

// Of returns how long a caller with this patience left has been trying; zero if it may be its first attempt, or if the
// caller states no patience.
func (a *Ages) Of(class ibisid.ClassName, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	if patience > a.longest[class] {
		a.longest[class] = patience
	}
	longest := a.longest[class]
	if float64(patience) >= firstAttemptShare*float64(longest) {
		return 0
	}
	return time.Duration((1+firstAttemptShare)/2*float64(longest)) - patience
}

// Keep removes all classes except those given.
func (a *Ages) Keep(classes ibisset.Set[ibisid.ClassName]) {
	for class := range a.longest {
		if !classes.Has(class) {
			delete(a.longest, class)
		}
	}
}
