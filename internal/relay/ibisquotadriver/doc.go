// Package ibisquotadriver carries out what ibisquota decides: it holds the requests that wait for tokens, sends the node's messages
// to lenders and answers those of other nodes.
//
// Messages are small JSON bodies of HTTP requests on connections that stay open between nodes. While no account has a rate limit,
// nothing is sent.
//
// Lock order: Driver.mu is a leaf; no message is sent and no log line written while it is held.
package ibisquotadriver
