// Package ibisdispatch accepts requests from callers and sends each to a node whose backend server can run it.
//
// It matches the route, selects the service and the node, and retries on another node only a request that has not run or
// may run twice, while its deadline, its attempts and the retry budget allow it. The node in the instance of the backend
// server decides on admission; the load that the dispatcher has for a backend server is a hint that may be out of date.
//
// Lock order: Dispatcher.mu is never held while a request is sent.
package ibisdispatch
