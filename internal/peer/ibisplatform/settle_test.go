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

// lossyTable loses the answer to its first commit: it applies the commit if applies is set, then applies the commit
// in then, which stands for that of another node, and returns ErrUnavailable.
type lossyTable struct {
	ibisplatform.Table
	applies bool
	then    *ibisplatform.Commit
	lost    bool
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
	if l.then != nil {
		_, err := l.Table.Commit(ctx, *l.then)
		Expect(err).NotTo(HaveOccurred())
	}
	return ibisplatform.CommitResult{}, fmt.Errorf("%w: lost", ibisplatform.ErrUnavailable)
}

func write(id string, conditions map[string]ibisplatform.Version, keys ...string) ibisplatform.Commit {
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
var _ = DescribeTable("CommitSettled after a lost answer",
	func(applies bool, commit ibisplatform.Commit, then *ibisplatform.Commit, want ibisplatform.CommitStatus) {
		ctx := context.Background()
		store := ibisstore.New()
		for _, key := range []string{"a", "b"} {
			_, err := store.Commit(ctx, write("seed-"+key, nil, key))
			Expect(err).NotTo(HaveOccurred())
		}
		table := &lossyTable{
			Table:   store,
			applies: applies,
			then:    then,
		}
		result, err := ibisplatform.CommitSettled(ctx, table, commit)
		if want == "" {
			Expect(err).To(MatchError(ibisplatform.ErrUnsettled))
			Expect(err).To(MatchError(ibisplatform.ErrUnavailable))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(want))
	},
	Entry("took effect", true, write("x", versions{"a": 1}, "a"), nil, ibisplatform.CommitApplied),
	Entry("did not arrive, so it is sent again", false, write("x", versions{"a": 1}, "a"), nil, ibisplatform.CommitApplied),
	Entry("took effect, one of its rows was overwritten", true, write("x", versions{"a": 1}, "a", "b"),
		new(write("y", nil, "a")), ibisplatform.CommitApplied),
	Entry("all its rows were overwritten, so that its outcome can't be determined", true, write("x", versions{"a": 1}, "a"),
		new(write("y", nil, "a")), ibisplatform.CommitStatus("")),
	Entry("a row with a condition but no write changed before it", false, write("x", versions{"a": 1, "b": 2}, "a"),
		new(write("y", nil, "b")), ibisplatform.CommitConflict),
	Entry("a row with a condition but no write changed after it", true, write("x", versions{"a": 1, "b": 2}, "a"),
		new(write("y", nil, "b")), ibisplatform.CommitApplied),
	Entry("no condition prevents a second application", false, write("x", nil, "a"), nil, ibisplatform.CommitStatus("")),
	Entry("a row that must not exist may be deleted later", false, write("x", versions{"a": 1, "c": 0}, "a"),
		new(write("y", nil, "c")), ibisplatform.CommitStatus("")),
)
