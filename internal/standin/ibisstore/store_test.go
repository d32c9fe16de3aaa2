package ibisstore_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "ibisstore")
}

func put(id, key string, version ibisplatform.Version) ibisplatform.Commit {
	return ibisplatform.Commit{
		ID: id,
		Conditions: []ibisplatform.Condition{{
			Key:     key,
			Version: version,
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: []byte(id),
		}},
	}
}

var _ = Describe("Store", func() {
	var (
		ctx   = context.Background()
		store *ibisstore.Store
	)

	BeforeEach(func() { store = ibisstore.New() })

	It("commits under conditions and grows versions over a deletion", func() {
		first, err := store.Commit(ctx, put("c1", "a/1", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Status).To(Equal(ibisplatform.CommitApplied))
		again, err := store.Commit(ctx, put("c2", "a/1", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Status).To(Equal(ibisplatform.CommitConflict))
		Expect(again.Conflict).To(Equal("a/1"))

		removal := put("c3", "a/1", first.Version)
		removal.Writes[0].Delete = true
		_, err = store.Commit(ctx, removal)
		Expect(err).NotTo(HaveOccurred())
		second, err := store.Commit(ctx, put("c4", "a/1", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Version).To(BeNumerically(">", first.Version))

		rows, err := store.Scan(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1))
		Expect(rows[0].CommitID).To(Equal("c4"))
		_, err = store.Commit(ctx, ibisplatform.Commit{})
		Expect(err).To(MatchError(ibisplatform.ErrInvalidCommit))
	})

	It("misbehaves on demand, for a number of operations or until cleared", func() {
		store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultDown,
			Count: 1,
		})
		_, _, err := store.Read(ctx, "a")
		Expect(err).To(MatchError(ibisplatform.ErrUnavailable))
		_, _, err = store.Read(ctx, "a")
		Expect(err).NotTo(HaveOccurred())

		store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultLoseAnswer,
			Count: 1,
		})
		_, err = store.Commit(ctx, put("c1", "a", 0))
		Expect(err).To(MatchError(ibisplatform.ErrUnavailable))
		_, ok, err := store.Read(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())

		store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultSlow,
			Delay: time.Hour,
		})
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, _, err = store.Read(short, "a")
		Expect(err).To(MatchError(ibisplatform.ErrUnavailable))
		store.Clear()

		store.Inject(ibisstore.FaultRule{
			Fault: ibisstore.FaultRateLimit,
			Rate:  1,
		})
		_, _, err = store.Read(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			_, _, err := store.Read(ctx, "a")
			return err
		}).Should(MatchError(ibisplatform.ErrUnavailable))
	})
})
