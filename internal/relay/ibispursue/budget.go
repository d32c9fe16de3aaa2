package ibispursue

import (
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

const (
	// retryShare is half of the share that the rules allow all nodes together, since callers' retries raise the load as well.
	retryShare = 0.1
	// retryBurst is the most that one node may send at once; the rules allow all nodes together 62 in ten seconds.
	retryBurst = 3
	// DefaultReturn is when to come back where no gate said so.
	DefaultReturn = 300 * time.Millisecond
	// returnSpread is the share by which times to come back are spread, so that callers don't return together.
	returnSpread = 0.3
	// freshShare of the longest wait of a class is what callers wait at least on their first attempt: the users' callers differ
	// by a seventh.
	freshShare = 0.85
)

// Budget bounds how often one node sends requests to a second backend server: a share of the requests, and a few at once.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{
		tokens: retryBurst,
	}
}

// Earn takes in a new request.
func (b *Budget) Earn() { b.tokens = min(retryBurst, b.tokens+retryShare) }

// Spend pays for one arrival at a second backend server and reports whether the budget had room.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return lengthens a time to come back by a random share.
func Return(after time.Duration, random *rand.Rand) time.Duration {
	return after + time.Duration(random.Float64()*returnSpread*float64(after))
}

// Ages tells for how long callers have been trying: what one still waits falls short of what callers of its class wait on
// their first attempt, which lies between freshShare of the longest wait seen and all of it.
type Ages struct {
	longest map[ibisid.ClassName]time.Duration
}

// NewAges returns ages that know no class.
func NewAges() *Ages {
	return &Ages{
		longest: make(map[ibisid.ClassName]time.Duration),
	}
}

// Of returns for how long a caller that still waits so long has been trying; zero where it doesn't say.
func (a *Ages) Of(class ibisid.ClassName, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	if patience > a.longest[class] {
		a.longest[class] = patience
	}
	longest := a.longest[class]
	if float64(patience) >= freshShare*float64(longest) {
		return 0
	}
	return time.Duration((1+freshShare)/2*float64(longest)) - patience
}

// Keep forgets all classes but those given.
func (a *Ages) Keep(classes ibisset.Set[ibisid.ClassName]) {
	for class := range a.longest {
		if !classes.Has(class) {
			delete(a.longest, class)
		}
	}
}
