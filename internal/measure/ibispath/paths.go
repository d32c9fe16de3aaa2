package ibispath

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/program/ibisembed"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
	"github.com/ibisridge/ibisridge/platform"
)

// Ways are the paths that are measured side by side to the same backend server.
type Ways struct {
	// Direct goes to the backend server without any node.
	Direct Target
	// Proxy goes through a bare httputil.ReverseProxy.
	Proxy Target
	// Owner goes through the node that owns the key.
	Owner Target
	// Hop goes through another node, which forwards to the owner.
	Hop Target

	system *ibisembed.System
	proxy  *httptest.Server
}

const (
	readyTimeout = 30 * time.Second
	plenty       = 10_000
	samplePath   = "/mat/MAT-4711"
)

// Open starts two nodes with a backend server each, and a reverse proxy in front of the server that owns the sample key.
func Open(ctx context.Context) (*Ways, error) {
	token, hash := ibisdoc.NewAccountToken("shop", "counter")
	system, err := ibisembed.New(zap.NewNop())
	if err != nil {
		return nil, err
	}
	w := &Ways{
		system: system,
	}
	if err := putDocument(ctx, system.Table(), hash); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	if err := w.start(ctx, token); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return w, nil
}

// Close stops everything.
func (w *Ways) Close() error {
	if w.proxy != nil {
		w.proxy.Close()
	}
	return w.system.Close()
}

func (w *Ways) start(ctx context.Context, token string) error {
	for i, domain := range []ibisid.DomainName{"helsinki-a", "espoo-b"} {
		_, err := w.system.Start(ibisembed.PairConfig{
			Name: ibisid.NodeName(fmt.Sprintf("node-%d", i+1)),
			Place: ibisid.Place{
				Region: "uusimaa",
				Domain: domain,
			},
			Server: ibisserver.Config{
				Service:     "print-floor",
				Slots:       plenty,
				Connections: plenty,
				ServiceTime: time.Nanosecond,
			},
		})
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := w.system.WaitReady(ctx); err != nil {
		return err
	}
	return w.find(ctx, token)
}

// find waits until one backend server alone answers for the sample key through both nodes, and names the ways by it.
func (w *Ways) find(ctx context.Context, token string) error {
	header := http.Header{
		"Authorization": []string{"Bearer " + token},
	}
	load := NewLoad(1)
	defer load.Close()
	pairs := w.system.Pairs()
	for ctx.Err() == nil {
		before := [2]int{pairs[0].Server.Counts().Runs, pairs[1].Server.Counts().Runs}
		failed := false
		for _, p := range pairs {
			failed = failed || load.ask(ctx, target("", p.Node.CallerAddress(), header)) != nil
		}
		after := [2]int{pairs[0].Server.Counts().Runs, pairs[1].Server.Counts().Runs}
		for owner := range pairs {
			if !failed && after[owner]-before[owner] == len(pairs) {
				w.name(pairs[owner], pairs[1-owner], header)
				return nil
			}
		}
		time.Sleep(readyTimeout / 300)
	}
	return ctx.Err()
}

func (w *Ways) name(owner, other *ibisembed.Pair, header http.Header) {
	server := &url.URL{
		Scheme: "http",
		Host:   owner.Server.Address(),
	}
	proxy := httputil.NewSingleHostReverseProxy(server)
	proxy.Transport = &http.Transport{
		MaxIdleConnsPerHost: plenty,
	}
	w.proxy = httptest.NewServer(proxy)
	w.Direct = target("direct", owner.Server.Address(), header)
	w.Proxy = target("reverse proxy", w.proxy.Listener.Addr().String(), header)
	w.Owner = target("owner", owner.Node.CallerAddress(), header)
	w.Hop = target("one hop", other.Node.CallerAddress(), header)
}

func target(name, address string, header http.Header) Target {
	return Target{
		Name:   name,
		URL:    "http://" + address + samplePath,
		Header: header,
	}
}

func putDocument(ctx context.Context, store *platform.Table, hash ibisdoc.TokenHash) error {
	sections := map[string]string{
		"topology":  `{"regions":{"uusimaa":{"domains":{"helsinki-a":{},"espoo-b":{}}}},"storeRegion":"uusimaa"}`,
		"teams":     `{}`,
		"keySpaces": `{"mat":{"fields":[{"name":"design","type":"int"}],"schemes":{"erp":{"template":"MAT-{design}"}}}}`,
		"services":  `{"print-floor":{"keySpace":"mat","slots":64}}`,
		"classes":   `{"lookup":{"priority":1,"queueLength":10000}}`,
		"routes":    `{"mat":{"methods":["GET"],"path":"/mat/{key}","scheme":"mat/erp","service":"print-floor","class":"lookup"}}`,
		"tenants":   fmt.Sprintf(`{"shop":{"accounts":{"counter":{"tokens":[{"salt":%q,"sha256":%q}]}}}}`, hash.Salt, hash.SHA256),
	}
	document := ibisdoc.Sections{}
	for name, text := range sections {
		document[ibisdoc.SectionName(name)] = json.RawMessage(text)
	}
	outcome := ibissection.New(store, store, ibistimer.New()).Init(ctx, "sample", document)
	if outcome.Status != ibissection.StatusApplied {
		return fmt.Errorf("sample document: %s: %s: %w", outcome.Status, outcome.Reason, outcome.Faults)
	}
	return nil
}
