// Package ibismessage defines the requests and answers that nodes exchange.
//
// An Order is a request that is forwarded from the node that accepted it from a caller to the node beside the backend
// server that runs it; the two may be the same node. An Answer is the result on its way back: the backend server's answer,
// or the Reason why there is none.
package ibismessage
