// Package ibismodel is a model of the systems that ibisridge serves: callers, nodes with their doors and gates, backend
// servers and links, on fake time from a seed.
//
// The decisions are those of the real cores, unchanged: admission (ibisadmit), choice (ibisbalancer) and what follows a try
// (ibisretrypolicy), set up as the relay does it. Everything else is modelled: servers with slots, a queue, unlike speeds,
// slowdown near full, noise and cold starts; calls to a second service while a slot is held; callers with deadlines, targets
// and retries; keys with a skew that moves; links with delay and a price for bytes between regions. No network and no
// processes, so that thousands of servers fit into one run, and the same seed gives the same figures.
package ibismodel
