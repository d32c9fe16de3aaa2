package ibisnode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisnode"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

var _ = Describe("a planned stop", func() {
	It("fails no request, and the next owner does not run an order a second time", func(ctx SpecContext) {
		store := ibisstore.New()
		putSections(ctx, store)
		domains := []ibisid.DomainName{"helsinki-a", "espoo-b"}
		var nodes []*ibisnode.Node
		var stops []func()
		for i := range 3 {
			node, stop := startStoppable(ibisid.NodeName(fmt.Sprintf("node-%d", i)), domains[i%2], store)
			nodes = append(nodes, node)
			stops = append(stops, stop)
		}
		for _, n := range nodes {
			Eventually(n.Ready).WithTimeout(20 * time.Second).Should(BeTrue())
		}
		address := nodes[2].CallerAddress()
		Eventually(func() int { return failedReads(address, 64) }).WithTimeout(20 * time.Second).Should(BeZero())
		for key := range 64 {
			Expect(sendOrder(address, key)).To(Equal("first"))
		}
		var failures atomic.Int64
		done := make(chan struct{})
		traffic, stopTraffic := context.WithCancel(context.Background())
		go func() {
			defer close(done)
			for traffic.Err() == nil {
				failures.Add(int64(failedReads(address, 64)))
			}
		}()
		stops[0]()
		stops[1]()
		stopTraffic()
		<-done
		Expect(failures.Load()).To(BeZero())
		for key := range 64 {
			Expect(sendOrder(address, key)).To(Equal("repeated"))
		}
	})
})

// failedReads sends a read for each key below n and returns how many did not succeed.
func failedReads(address string, n int) int {
	count := 0
	for key := range n {
		if status, err := get(address, fmt.Sprintf("/erp/MAT-%d", key)); err != nil || status != http.StatusOK {
			count++
		}
	}
	return count
}

// sendOrder sends the order of a key. It returns "first" if the order ran now, "repeated" if its recorded answer was
// returned, or else the HTTP status.
func sendOrder(address string, key int) string {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/order/MAT-%d", address, key), strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Idempotency-Key", fmt.Sprintf("order-%d", key))
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode != http.StatusOK:
		return response.Status
	case response.Header.Get(ibiscaller.HeaderRepeated) != "":
		return "repeated"
	}
	return "first"
}
