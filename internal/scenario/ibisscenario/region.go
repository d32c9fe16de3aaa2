package ibisscenario

import (
	"errors"
	"net"

	"github.com/rogpeppe/go-internal/testscript"
)

const regionUsage = "region cut|join REGION [platform=inside]"

// regionCommand cuts the nodes of a region off those of all others, in both directions, and off the platform unless that
// stands inside; the nodes of the region still reach each other.
func (w *world) regionCommand(_ *testscript.TestScript, args []string) error {
	in := parseWords(args, "platform")
	if len(in.plain) != 2 || in.plain[0] != "cut" && in.plain[0] != "join" {
		return errors.New("usage: " + regionUsage)
	}
	cut, region := in.plain[0] == "cut", in.plain[1]
	inside := in.options["platform"] == "inside"
	w.mu.Lock()
	w.apart[region] = cut
	nodes := make(map[string]*nodeProcess, len(w.nodes))
	for name, n := range w.nodes {
		nodes[name] = n
	}
	w.mu.Unlock()
	for _, n := range nodes {
		if (n.region == region) != inside {
			n.platform.setCut(cut)
		}
		n.peers.reset()
	}
	return nil
}

// passes reports whether a connection may reach a node of the region.
func (w *world) passes(conn net.Conn, region string) bool {
	return w.together() || w.allowed(w.sources.of(conn), region)
}

// together reports whether no region is cut off, so that it doesn't matter where a connection comes from: to find that
// out takes a walk over all sockets of the machine, which a storm of new connections can't afford.
func (w *world) together() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cut := range w.apart {
		if cut {
			return false
		}
	}
	return true
}

// allowed reports whether a connection from one node may reach another of the region.
func (w *world) allowed(source, region string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	from, ok := w.nodes[source]
	if !ok {
		return true
	}
	return from.region == region || !w.apart[from.region] && !w.apart[region]
}
