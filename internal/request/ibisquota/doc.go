// Package ibisquota decides which requests of accounts with a rate limit may run, so that all nodes together stay within the limit
// of each account whether or not they can reach each other.
//
// Each node owns an equal share of every account's rate and burst. It delegates the share to the accounts' lenders for a bounded
// term, so that the tokens are where all nodes can ask for them, and uses the share itself while no delegation may be in force. A
// lender fills a token bucket per account in proportion to the shares that it holds, and lends whole tokens that must be used
// within a short time. No step creates tokens: a lost message loses what it carries.
//
// Accounts are grouped into slots by the hash of their names. A slot has one lender in the view of a node, so that one message
// delegates the share of all accounts of the slots.
//
// A Quota does no I/O and reads no clock: its methods take the time and return effects. The time must include time during which
// the process is suspended.
package ibisquota
