package ibisnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisnode"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisnode")
}

var secret, secretHash = ibisdoc.NewAccountToken("shop", "counter")

// sections returns the sections of a document with one key space that has three schemes.
func sections() map[string]string {
	return map[string]string{
		"topology": `{"regions":{"uusimaa":{"domains":{"helsinki-a":{},"espoo-b":{}}}},"storeRegion":"uusimaa"}`,
		"teams":    `{}`,
		"keySpaces": `{"mat":{"fields":[{"name":"design","type":"int","max":999999}],"schemes":{
			"erp":{"template":"MAT-{design}"},"web":{"template":"design/{design}"},"urn":{"template":"urn:kk:mat:{design}"}}}}`,
		"services": `{"print-floor":{"keySpace":"mat","slots":64}}`,
		"classes":  `{"lookup":{"priority":1,"deadline":"8s","queueLength":256}}`,
		"routes": `{
			"order":{"methods":["POST"],"path":"/order/{key}","scheme":"mat/erp","service":"print-floor","class":"lookup","nonIdempotent":true},
			"erp":{"methods":["GET"],"path":"/erp/{key}","scheme":"mat/erp","service":"print-floor","class":"lookup"},
			"web":{"methods":["GET"],"path":"/web/{key}","scheme":"mat/web","service":"print-floor","class":"lookup"},
			"urn":{"methods":["GET"],"path":"/urn/{key}","scheme":"mat/urn","service":"print-floor","class":"lookup"}}`,
		"tenants": fmt.Sprintf(`{"shop":{"accounts":{"counter":{"tokens":[{"salt":%q,"sha256":%q}]}}}}`, secretHash.Salt, secretHash.SHA256),
	}
}

var _ = Describe("the path of a request", func() {
	It("routes a key spelled in three schemes through either node to its single owner", func(ctx SpecContext) {
		store := ibisstore.New()
		putSections(ctx, store)
		names := []ibisid.NodeName{"node-1", "node-2"}
		var addresses []string
		servers := map[string]*ibisserver.Server{}
		for i, name := range names {
			node, server := startWithServer(name, []ibisid.DomainName{"helsinki-a", "espoo-b"}[i], store)
			addresses = append(addresses, node.CallerAddress())
			servers[string(name)] = server
		}
		for _, address := range addresses {
			Eventually(func() (int, error) { return get(address, "/erp/MAT-4711") }).
				WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
		}
		Eventually(func() int { return serversThatRan(addresses, servers) }).
			WithTimeout(20 * time.Second).Should(Equal(1))
		Expect(get(addresses[0], "/erp/MAT-x")).To(Equal(http.StatusBadRequest))
	})
})

// serversThatRan reads one key by every scheme at every node and returns the number of backend servers that ran a request.
func serversThatRan(addresses []string, servers map[string]*ibisserver.Server) int {
	before := map[string]int{}
	for name, s := range servers {
		before[name] = s.Counts().Runs
	}
	for _, address := range addresses {
		for _, path := range []string{"/erp/MAT-4711", "/web/design/4711", "/urn/urn:kk:mat:4711"} {
			Expect(get(address, path)).To(Equal(http.StatusOK))
		}
	}
	count := 0
	for name, s := range servers {
		if s.Counts().Runs > before[name] {
			count++
		}
	}
	return count
}

func putSections(ctx context.Context, store *ibisstore.Store) {
	document := ibisdoc.Sections{}
	for name, text := range sections() {
		document[ibisdoc.SectionName(name)] = json.RawMessage(text)
	}
	outcome := ibissection.New(store, store, ibistimer.New()).Init(ctx, "first", document)
	Expect(outcome.Status).To(Equal(ibissection.StatusApplied), outcome.Reason)
}

// startWithServer starts a node and its backend server.
func startWithServer(name ibisid.NodeName, domain ibisid.DomainName, store *ibisstore.Store) (*ibisnode.Node, *ibisserver.Server) {
	node, server, _ := start(name, domain, store)
	return node, server
}

// startStoppable starts a node and its backend server, and returns a function that stops the node gracefully.
func startStoppable(name ibisid.NodeName, domain ibisid.DomainName, store *ibisstore.Store) (*ibisnode.Node, func()) {
	node, _, stop := start(name, domain, store)
	return node, stop
}

func start(name ibisid.NodeName, domain ibisid.DomainName, store *ibisstore.Store, changes ...func(*ibissettings.Settings)) (*ibisnode.Node, *ibisserver.Server, func()) {
	settings := ibissettings.Default()
	settings.Name = name
	settings.Region = "uusimaa"
	settings.Domain = domain
	settings.Listen = ibissettings.Listen{
		Callers:   "127.0.0.1:0",
		Peers:     "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Backend:   "127.0.0.1:0",
	}
	for _, change := range changes {
		change(&settings)
	}
	node, err := ibisnode.New(settings, store, store, ibistimer.New(), zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	server := ibisserver.New(ibisserver.Config{
		Name:    string(name),
		Service: "print-floor",
		Node:    "http://" + node.BackendAddress(),
	})
	Expect(server.Start()).To(Succeed())
	stop := sync.OnceFunc(func() {
		cancel()
		Eventually(done).WithTimeout(40 * time.Second).Should(Receive(BeNil()))
	})
	DeferCleanup(func() {
		stop()
		_ = server.Kill()
	})
	return node, server, stop
}

func get(address, path string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
