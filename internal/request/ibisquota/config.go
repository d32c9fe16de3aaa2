package ibisquota

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// maxLenders is the number of members that lend. More of them spread the accounts further, but each node sends a
	// delegation to each lender.
	maxLenders = 8
	// lenderCandidates is how many members may take the place of lenders that don't answer this node. Beyond these, a node
	// uses its own share: an isolated node must not search all members.
	lenderCandidates = 2 * maxLenders
	// maxOwners bounds the members that own a share. In larger deployments the share of a node alone would be less than a
	// token for most accounts, and a lender would get a message from every node in each renewInterval.
	maxOwners = 256

	// delegationTerm is how long a delegation is in force after it was sent.
	delegationTerm = 4 * time.Second
	// renewInterval is the time between two delegations to a lender: one of them may be lost.
	renewInterval = 2 * time.Second
	// lockTerm is how long a delegator leaves a share alone after it sent a delegation. It exceeds delegationTerm by 5%, since
	// the clocks of both nodes may be off by 2% in opposite directions.
	lockTerm = delegationTerm * 105 / 100
	// ownDelay is how long the own row has been known before the node owns a share: the other nodes must have counted it, and
	// delegations of an earlier run must have ended.
	ownDelay = 6 * time.Second
	// maxStall is the time without a Tick after which a node has to wait for ownDelay again: it may not know of members that
	// joined while its process was suspended. The members that it learned of late add at most 3 s to it.
	maxStall = 2 * time.Second
	// shrinkDelay is how long the number of members must have been lower before shares grow: the delegations of a node that
	// left must have ended.
	shrinkDelay = 6 * time.Second
	// probeInterval is the time between messages to a lender that does not answer or has not answered yet.
	probeInterval = time.Second
	// maxFailures is the number of failed messages in a row after which another lender takes the place of one that does not
	// answer.
	maxFailures = 2

	// maxLoanTerm is how long tokens may be used after they were asked for.
	maxLoanTerm = 500 * time.Millisecond
	// fillShare is the part of the rate at which buckets are filled. Clocks that are 2% fast fill them too fast, and tokens
	// lent before a window are used in it for up to 2% longer than the loan term.
	fillShare = 0.97
	// headroomShare is the part of the slack that is added to each burst. Without it, an account with a burst of one could
	// not use its last token while any node owns no share.
	headroomShare = 0.5

	// demandTime is the time constant of the average demand at a node.
	demandTime = time.Second
	// aheadTime is the demand, as time, for which tokens are asked ahead, and refillTime that below which they are.
	aheadTime  = 250 * time.Millisecond
	refillTime = 100 * time.Millisecond
	// minAheadDemand is the demand in requests per second from which tokens are asked ahead. At two requests in the loan term,
	// one of seven tokens expires; below that too many would.
	minAheadDemand = 4
	// aheadDivisor is the divisor of what a bucket has left to lend ahead: the rest is for nodes with requests that wait.
	aheadDivisor = 4
	// maxAhead bounds a request for tokens ahead.
	maxAhead = 10_000
	// maxInFlight is the number of messages to one lender that are on their way; further requests for tokens share the next.
	maxInFlight = 4
	// maxLocalRefusal is how long a node refuses requests of an account by itself after a lender had no tokens.
	maxLocalRefusal = 200 * time.Millisecond
	// unavailableRetry is the time to retry for a request whose lender can't be reached: by then another lender serves it, or a
	// delegation has ended.
	unavailableRetry = time.Second
)

// Config holds what does not change during a run.
type Config struct {
	// Node is the own node.
	Node ibisid.NodeName
	// Incarnation is the run of the own node.
	Incarnation ibisid.Incarnation
	// Window is the time over which the bound holds.
	Window time.Duration
	// Excess is the fraction by which the requests in a window may exceed the limit, and Slack the number of them beyond that.
	Excess float64
	Slack  float64
}

// loanTerm returns how long tokens may be used after they were asked for: what is lent before a window and used in it counts
// against the excess.
func (c Config) loanTerm() time.Duration {
	return min(maxLoanTerm, time.Duration(c.Excess*float64(c.Window)))
}

// Account is an account with a rate limit.
type Account struct {
	// Name is the name of the account.
	Name ibisid.TenantName
	// Rate is the number of requests per second, above zero.
	Rate float64
	// Burst is the number of requests that may run at once after a time without any.
	Burst float64
}

// Member is a node of the deployment.
type Member struct {
	// Node is the node's name.
	Node ibisid.NodeName
	// Incarnation is the node's run.
	Incarnation ibisid.Incarnation
	// Stopping means that the node shuts down soon and does not lend.
	Stopping bool
}
