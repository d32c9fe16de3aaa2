package ibisplatform_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisplatform")
}

// lossyTable loses the answer to its first commit: it applies the commit if applies is set, then applies the competing
// commit of another node if there is one, and returns ErrUnavailable.
type lossyTable struct {
	ibisplatform.Table
	applies   bool
	competing *ibisplatform.Commit
	lost      bool
}

func (l *lossyTable) Commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	if l.lost {
		return l.Table.Commit(ctx, commit)
	}
	l.lost = true
	if l.applies {
		_, err := l.Table.Commit(ctx, commit)
		Expect(err).NotTo(HaveOccurred())
	}
	if l.competing != nil {
		_, err := l.Table.Commit(ctx, *l.competing)
		Expect(err).NotTo(HaveOccurred())
	}
	return ibisplatform.CommitResult{}, fmt.Errorf("%w: lost", ibisplatform.ErrUnavailable)
}

func newCommit(id string, conditions map[string]ibisplatform.Version, keys ...string) ibisplatform.Commit {
	commit := ibisplatform.Commit{
		ID: id,
	}
	for key, version := range conditions {
		commit.Conditions = append(commit.Conditions, ibisplatform.Condition{
			Key:     key,
			Version: version,
		})
	}
	for _, key := range keys {
		commit.Writes = append(commit.Writes, ibisplatform.Write{
			Key: key,
		})
	}
	return commit
}

type versions = map[string]ibisplatform.Version

// The rows "a" and "b" have versions 1 and 2 before each entry.
var _ = DescribeTable("CommitAndResolve after a lost answer",
	func(applies bool, commit ibisplatform.Commit, competing *ibisplatform.Commit, want ibisplatform.CommitStatus) {
		ctx := context.Background()
		store := ibisstore.New()
		for _, key := range []string{"a", "b"} {
			_, err := store.Commit(ctx, newCommit("seed-"+key, nil, key))
			Expect(err).NotTo(HaveOccurred())
		}
		table := &lossyTable{
			Table:     store,
			applies:   applies,
			competing: competing,
		}
		result, err := ibisplatform.CommitAndResolve(ctx, table, commit)
		if want == "" {
			Expect(err).To(MatchError(ibisplatform.ErrCommitOutcomeUnknown))
			Expect(err).To(MatchError(ibisplatform.ErrUnavailable))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(want))
	},
	Entry("took effect", true, newCommit("x", versions{"a": 1}, "a"), nil, ibisplatform.CommitApplied),
	Entry("did not arrive, so it is sent again", false, newCommit("x", versions{"a": 1}, "a"), nil, ibisplatform.CommitApplied),
	Entry("took effect, one of its rows was overwritten", true, newCommit("x", versions{"a": 1}, "a", "b"),
		new(newCommit("y", nil, "a")), ibisplatform.CommitApplied),
	Entry("all its rows were overwritten, so that its outcome can't be determined", true, newCommit("x", versions{"a": 1}, "a"),
		new(newCommit("y", nil, "a")), ibisplatform.CommitStatus("")),
	Entry("a row with a condition but no write changed before it", false, newCommit("x", versions{"a": 1, "b": 2}, "a"),
		new(newCommit("y", nil, "b")), ibisplatform.CommitConflict),
	Entry("a row with a condition but no write changed after it", true, newCommit("x", versions{"a": 1, "b": 2}, "a"),
		new(newCommit("y", nil, "b")), ibisplatform.CommitApplied),
	Entry("no condition prevents a second application", false, newCommit("x", nil, "a"), nil, ibisplatform.CommitStatus("")),
	Entry("a row that must not exist may be deleted later", false, newCommit("x", versions{"a": 1, "c": 0}, "a"),
		new(newCommit("y", nil, "c")), ibisplatform.CommitStatus("")),
)
