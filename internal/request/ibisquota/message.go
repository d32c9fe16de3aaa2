package ibisquota

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Slots is a set of slots, one bit each.
type Slots uint64

// Has reports whether the set has the slot.
func (s Slots) Has(slot int) bool { return s&(1<<slot) != 0 }

// Request is a message to a lender.
type Request struct {
	// From is the node that sends it and Run its run.
	From ibisid.NodeName    `json:"from"`
	Run  ibisid.Incarnation `json:"run"`
	// Delegation delegates the sender's share; nil if the message doesn't.
	Delegation *Delegation `json:"delegation,omitempty"`
	// Asks lists what is asked for, one entry per account.
	Asks []Ask `json:"asks,omitempty"`
	// Sent is when the sender decided to send it, by its clock; it is not transmitted.
	Sent time.Time `json:"-"`
}

// Delegation replaces the sender's earlier delegations to the lender.
type Delegation struct {
	// Seq is the number of the delegation among those of the sender's run.
	Seq uint64 `json:"seq"`
	// LenderRun is the run of the lender that gave the ticket; another run ignores the delegation.
	LenderRun ibisid.Incarnation `json:"lenderRun"`
	// Ticket is the lender's time in the latest reply that the sender has, and AgeNs how long the sender has had it. The
	// lender so knows a time before which the delegation can't have been sent, however late it arrives.
	Ticket int64         `json:"ticket"`
	AgeNs  time.Duration `json:"ageNs"`
	// Share is the sender's share of each account.
	Share float64 `json:"share"`
	// Slots is the set of slots whose accounts are delegated; it is empty to end earlier delegations.
	Slots Slots `json:"slots"`
}

// Ask asks for tokens of an account.
type Ask struct {
	// Account is the account.
	Account ibisid.TenantName `json:"account"`
	// Need is the number of tokens for requests that wait.
	Need int `json:"need,omitempty"`
	// Ahead is the number of tokens for requests to come.
	Ahead int `json:"ahead,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	// Run is the run of the lender.
	Run ibisid.Incarnation `json:"run"`
	// Ticket is the lender's time.
	Ticket int64 `json:"ticket"`
	// Members is the number of members that the lender knows.
	Members int `json:"members"`
	// Stopping means that this run of the lender has dropped all delegations and accepts none any more.
	Stopping bool `json:"stopping,omitempty"`
	// Grants answers the asks in their order.
	Grants []Grant `json:"grants,omitempty"`
}

// Grant is what a lender lends for one Ask.
type Grant struct {
	// Count is the number of tokens.
	Count int `json:"count,omitempty"`
	// RetryNs is the time until a token is expected, if Count is less than what was needed. It is zero if the lender holds no
	// share of the account.
	RetryNs time.Duration `json:"retryNs,omitempty"`
}

// WaiterID identifies a request that waits for a loan.
type WaiterID uint64

// Effect is what a driver has to do: send a Request or end the wait of a request.
type Effect struct {
	// To is the lender to which Request is sent; empty if none is.
	To      ibisid.NodeName
	Request Request
	// Waiter is the waiting request that Decision is for; zero if there is none.
	Waiter   WaiterID
	Decision Decision
}

// Verdict is the kind of a Decision.
type Verdict string

const (
	// VerdictRun means that the request may run.
	VerdictRun Verdict = "run"
	// VerdictWait means that the decision follows as an Effect.
	VerdictWait Verdict = "wait"
	// VerdictLimit means that the account has no token.
	VerdictLimit Verdict = "limit"
	// VerdictUnavailable means that the lender can't be reached or holds no share, and the node has no token.
	VerdictUnavailable Verdict = "unavailable"
)

// Decision is whether a request may run.
type Decision struct {
	// Verdict is the kind of the decision.
	Verdict Verdict
	// Token is the token of a request that may run.
	Token Token
	// Waiter identifies a request that waits.
	Waiter WaiterID
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// Lender is the lender that was asked or would be, and Share the part of the account's limit that the own node holds.
	Lender ibisid.NodeName
	Share  float64
	// Lent is the number of tokens that the node was last lent for the account, and LentAge the time since; zero if there are
	// none.
	Lent    int
	LentAge time.Duration
}

// Token is a token that a request has taken; the zero value is that of an account without a limit.
type Token struct {
	account ibisid.TenantName
	// until is when it can no longer be returned. A token that could be returned later would allow more requests in a window
	// than its loan.
	until time.Time
	lent  bool
}
