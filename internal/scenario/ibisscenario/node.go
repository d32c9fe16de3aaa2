package ibisscenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
)

const nodeUsage = "node start NAME region=REGION domain=DOMAIN | node freeze|thaw|kill|stop|terminate|hangup|cut|join NAME"

// nodeCommand starts a node, or brings a fault on it.
func (w *world) nodeCommand(_ *testscript.TestScript, args []string) error {
	in := parseWords(args, "region", "domain", "log")
	if len(in.plain) != 2 {
		return errors.New("usage: " + nodeUsage)
	}
	verb, name := in.plain[0], in.plain[1]
	if verb == "start" {
		return w.startNode(name, in)
	}
	n, err := w.node(name)
	if err != nil {
		return err
	}
	switch verb {
	case "cut", "join":
		n.platform.setCut(verb == "cut")
		n.peers.setCut(verb == "cut")
		return nil
	}
	known, err := n.signal(verb)
	if !known {
		return errors.New("usage: " + nodeUsage)
	}
	return err
}

func (w *world) startNode(name string, in words) error {
	n, again := w.nodes[name]
	if !again {
		fresh, err := w.addNode(name, in)
		if err != nil {
			return err
		}
		n = fresh
	} else if n.running() {
		return fmt.Errorf("node %s is running", name)
	}
	p, err := startProcess(w.dir, name, "node", "--settings", settingsFile(name))
	if err != nil {
		return err
	}
	w.mu.Lock()
	n.process = p
	w.nodes[name] = n
	w.mu.Unlock()
	return poll(startTimeout, func() error { return listening(n.at(backendPort)) })
}

// addNode gives a node its addresses, its relays and its settings file.
func (w *world) addNode(name string, in words) (*nodeProcess, error) {
	region, err := in.need("region")
	if err != nil {
		return nil, err
	}
	domain, err := in.need("domain")
	if err != nil {
		return nil, err
	}
	host := w.host()
	n := &nodeProcess{
		address: w.address(host, 0),
		region:  region,
	}
	if n.platform, err = newRelay(w.address(host, relayPort), w.platform.address, nil); err != nil {
		return nil, err
	}
	if n.peers, err = newRelay(w.address(host, relayPort+1), n.at(peerPort), func(conn net.Conn) bool { return w.passes(conn, region) }); err != nil {
		return nil, err
	}
	settings := ibissettings.Default()
	settings.Name = ibisid.NodeName(name)
	settings.Region = ibisid.RegionName(region)
	settings.Domain = ibisid.DomainName(domain)
	settings.LogLevel = in.or("log", "info")
	settings.Platform = "http://" + n.platform.address()
	settings.Listen = ibissettings.Listen{
		Callers:   n.at(callerPort),
		Peers:     n.at(peerPort),
		Operators: n.at(operatorPort),
		Backend:   n.at(backendPort),
	}
	settings.Advertise.Peers = n.peers.address()
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(filepath.Join(w.dir, settingsFile(name)), text, 0o644)
}

func settingsFile(name string) string { return name + ".settings.json" }

// at returns the node's address with another port.
func (n *nodeProcess) at(port int) string { return withPort(n.address, port) }
