package ibisadmit_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// With a configuration of 700 routes, iterating over a queue of each route's class at every event made a whole day's run take
// three times the processor time. Queues therefore exist only for classes with requests.
var _ = It("A gate has queues for the classes of its requests only, not for every class of its policy", func() {
	newPolicyEvent := func(first, count int) ibisadmit.PolicyEvent {
		policy := ibisadmit.Policy{Classes: make(map[ibisid.ClassName]ibisadmit.ClassPolicy)}
		for i := range count {
			policy.Classes[ibisid.ClassName(fmt.Sprint("class-", first+i))] = ibisadmit.ClassPolicy{Priority: i % 3}
		}
		return ibisadmit.PolicyEvent{Policy: policy}
	}
	b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
	b.update(newPolicyEvent(0, 2000))
	b.arrive("", "class-1", time.Second)
	b.arrive("", "class-2", time.Second)
	Expect(b.QueueCount()).To(Equal(4), "two classes, each with a queue for requests in time and one for late requests")
	b.update(newPolicyEvent(2, 2000))
	Expect(b.QueueCount()).To(Equal(3), "a removed class keeps the queue of a running request")
	b.finish(time.Millisecond, false)
	b.update(newPolicyEvent(2, 2000))
	Expect(b.QueueCount()).To(Equal(2))
})
