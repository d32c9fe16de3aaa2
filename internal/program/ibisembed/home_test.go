package ibisembed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/program/ibisembed"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
	"github.com/ibisridge/ibisridge/platform"
)

func TestEmbed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisembed")
}

const (
	keyNeedle         = "471122433"
	idempotencyNeedle = "idempotency-needle"
	bodyNeedle        = "body-needle"
)

// recorder keeps everything that is written to it.
type recorder struct {
	mu   sync.Mutex
	kept bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept.Write(p)
}

func (r *recorder) Sync() error { return nil }

func (r *recorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept.String()
}

// relay passes connections on to a node's peer address and records every byte both ways.
func relay(target func() string, record io.Writer) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target())
			if err != nil {
				_ = in.Close()
				continue
			}
			pass := func(to, from net.Conn) {
				_, _ = io.Copy(io.MultiWriter(to, record), from)
				_ = to.Close()
			}
			go pass(out, in)
			go pass(in, out)
		}
	}()
	return listener.Addr().String()
}

func homeSections(hash ibisdoc.TokenHash) ibisdoc.Sections {
	sections := ibisdoc.Sections{}
	for name, text := range map[string]string{
		"topology":  `{"regions":{"r1":{"domains":{"d1":{}}},"r2":{"domains":{"d2":{}}}},"storeRegion":"r1"}`,
		"teams":     `{}`,
		"keySpaces": `{"mat":{"fields":[{"name":"design","type":"int"}],"schemes":{"erp":{"template":"MAT-{design}"}}}}`,
		"services":  `{"floor":{"keySpace":"mat","slots":16},"desk":{"slots":16}}`,
		"classes":   `{"quick":{"deadline":"8s","queueLength":100,"hedge":true}}`,
		"routes": `{"mat":{"methods":["GET"],"path":"/mat/{key}","scheme":"mat/erp","service":"floor","class":"quick"},
			"order":{"methods":["POST"],"path":"/order/{key}","scheme":"mat/erp","service":"floor","class":"quick","nonIdempotent":true},
			"proof":{"methods":["POST"],"path":"/proof/{key}","scheme":"mat/erp","service":"floor","class":"quick","nonIdempotent":true,"recorded":true},
			"pay":{"methods":["POST"],"path":"/pay","service":"desk","class":"quick","nonIdempotent":true}}`,
		"tenants": fmt.Sprintf(`{"ward":{"homes":["r2"],"accounts":{"clerk":{"tokens":[{"salt":%q,"sha256":%q}]}}}}`, hash.Salt, hash.SHA256),
	} {
		sections[ibisdoc.SectionName(name)] = json.RawMessage(text)
	}
	return sections
}

var _ = Describe("A tenant with home regions", func() {
	It("leaves no trace of its keys outside them", func(ctx SpecContext) {
		token, hash := ibisdoc.NewAccountToken("ward", "clerk")
		wire, logs := &recorder{}, &recorder{}
		log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), logs, zap.DebugLevel))
		system, err := ibisembed.New(log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(system.Close)
		outcome := ibissection.New(system.Table(), system.Table(), ibistimer.New()).Init(ctx, "first", homeSections(hash))
		Expect(outcome.Status).To(Equal(ibissection.StatusApplied), "%s %v", outcome.Reason, outcome.Faults)
		pairs := map[ibisid.NodeName]*ibisembed.Pair{}
		for _, name := range []ibisid.NodeName{"floor-r1", "desk-r1", "floor-r2", "desk-r2"} {
			service, region, _ := strings.Cut(string(name), "-")
			ready := make(chan struct{})
			var pair *ibisembed.Pair
			var err error
			pair, err = system.Start(ibisembed.PairConfig{
				Name:   name,
				Place:  ibisid.Place{Region: ibisid.RegionName(region), Domain: ibisid.DomainName("d" + region[1:])},
				Server: ibisserver.Config{Service: ibisid.ServiceName(service)},
				Change: func(s *ibissettings.Settings) {
					s.Limits.StopTimeout.Duration = 2 * time.Second
					s.Advertise.Peers = relay(func() string { <-ready; return pair.Node.PeerAddress() }, wire)
				},
			})
			Expect(err).NotTo(HaveOccurred())
			pairs[name] = pair
			close(ready)
		}
		Expect(system.WaitReady(ctx)).To(Succeed())
		send := func(at ibisid.NodeName, method, path string) int {
			request, err := http.NewRequestWithContext(ctx, method, "http://"+pairs[at].Node.CallerAddress()+path, strings.NewReader(bodyNeedle))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+token)
			request.Header.Set("Idempotency-Key", idempotencyNeedle+path[:4])
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
		for path, at := range map[string]ibisid.NodeName{"/order/MAT-" + keyNeedle: "floor-r2", "/pay?q=" + keyNeedle: "desk-r2"} {
			Eventually(func() int { return send(at, "POST", path) }).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal(200))
		}
		for range 300 {
			Expect(send("floor-r2", "GET", "/mat/MAT-"+keyNeedle)).To(Equal(200))
		}
		Expect(send("floor-r2", "POST", "/proof/MAT-"+keyNeedle)).To(Equal(409), "it can't be recorded")
		for _, outside := range []ibisid.NodeName{"floor-r1", "desk-r1"} {
			for _, path := range []string{"/order/MAT-", "/pay?q=", "/proof/MAT-"} {
				Expect(send(outside, "POST", path+keyNeedle)).To(Equal(421))
			}
		}
		runs := pairs["floor-r1"].Server.Counts().Runs + pairs["desk-r1"].Server.Counts().Runs
		Expect(runs).To(BeZero())
		Expect(refusedUnread(pairs["floor-r1"].Node.CallerAddress(), token)).To(HavePrefix("HTTP/1.1 421"))

		places := map[string]string{"bytes between nodes": wire.text(), "rows and objects": stored(ctx, system.Table())}
		for name, pair := range pairs {
			places["metrics of "+string(name)] = fetch(ctx, "http://"+pair.Node.OperatorAddress()+"/metrics")
		}
		Expect(pairs["floor-r2"].Stop()).To(Succeed())
		Expect(pairs["desk-r2"].Stop()).To(Succeed())
		places["bytes between nodes, planned stop included"] = wire.text()
		places["rows and objects after a planned stop"] = stored(ctx, system.Table())
		places["logs"] = logs.text()
		for place, text := range places {
			Expect(text).NotTo(BeEmpty(), place)
			for _, needle := range []string{keyNeedle, idempotencyNeedle, bodyNeedle} {
				Expect(strings.Contains(text, needle)).To(BeFalse(), "%s in %s", needle, place)
			}
		}
	}, SpecTimeout(60*time.Second))
})

// refusedUnread sends the head of a request that waits to be asked for its body, and returns the first line that came back.
func refusedUnread(address, token string) string {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /order/MAT-1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n", token)
	Expect(err).NotTo(HaveOccurred())
	answer, err := io.ReadAll(conn)
	Expect(err).NotTo(HaveOccurred())
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line
}

func fetch(ctx context.Context, url string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// stored returns every row and object of the platform as text.
func stored(ctx context.Context, store *platform.Table) string {
	var out strings.Builder
	rows, err := store.Scan(ctx, "")
	Expect(err).NotTo(HaveOccurred())
	for _, row := range rows {
		_, _ = fmt.Fprintf(&out, "%s %s\n", row.Key, row.Value)
	}
	names, err := store.List(ctx, "")
	Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		object, _, err := store.Get(ctx, name)
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintf(&out, "%s %s\n", name, object)
	}
	return out.String()
}
