package ibisowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the longest deadline", func() {
	It("is that of the service's routes, and falls only once no request of an earlier revision runs", func() {
		now := time.Unix(100, 0)
		var bound deadlineBound
		bound.set(longestDeadline(newCluster(1, 0, 1, false).document, testService), now)
		Expect(bound.at(now)).To(Equal(2 * time.Second))
		bound.set(8*time.Second, now)
		Expect(bound.at(now)).To(Equal(8 * time.Second))
		bound.set(time.Second, now)
		bound.set(3*time.Second, now.Add(time.Second))
		Expect(bound.at(now.Add(8 * time.Second))).To(Equal(8 * time.Second))
		Expect(bound.at(now.Add(9 * time.Second))).To(Equal(3 * time.Second))
	})
})
