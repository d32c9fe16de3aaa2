package ibissection_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

func TestSections(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibissection")
}

// auditLog records the audit events.
type auditLog struct {
	events []ibissection.AuditEvent
}

func (a *auditLog) Audit(event ibissection.AuditEvent) { a.events = append(a.events, event) }

// fixture is a store over a fake platform, with a first document that has two teams.
type fixture struct {
	platform      *platform
	store         *ibissection.Store
	audit         *auditLog
	platformToken string
	deskToken     string
	minRevision   ibisid.Revision
}

const classes = `{"order": {"priority": 80, "deadline": "5s"}, "stock": {"priority": 100}}`

func newFixture() *fixture {
	b := &fixture{
		platform: newPlatform(),
		audit:    &auditLog{},
	}
	b.store = b.open()
	platformToken, platformHash := ibisdoc.NewTeamToken("platform")
	deskToken, deskHash := ibisdoc.NewTeamToken("desk")
	b.platformToken, b.deskToken = platformToken, deskToken
	teams := map[string]ibisdoc.Team{
		"platform": {
			Sections: []string{"teams", "topology", "classes"},
			Tokens:   []ibisdoc.TokenHash{platformHash},
		},
		"desk": {
			Sections: []string{"services/*", "routes/*"},
			Tokens:   []ibisdoc.TokenHash{deskHash},
		},
	}
	text, err := json.Marshal(teams)
	Expect(err).NotTo(HaveOccurred())
	outcome := b.store.Init(context.Background(), "first", ibisdoc.Sections{
		"teams":         text,
		"topology":      json.RawMessage(`{"storeRegion": "uusimaa", "regions": {"uusimaa": {"domains": {"helsinki-a": {}, "espoo-b": {}}}}}`),
		"classes":       json.RawMessage(classes),
		"services/desk": json.RawMessage(`{"order-desk": {}}`),
	})
	Expect(outcome.Status).To(Equal(ibissection.StatusApplied), outcome.Reason)
	return b
}

// open returns another store over the same platform, as if on another node.
func (b *fixture) open() *ibissection.Store {
	return ibissection.New(b.platform, b.platform, ibistimer.NewFake(time.Unix(1000, 0)), ibissection.WithAuditor(b.audit),
		ibissection.WithMinRevision(func() ibisid.Revision { return b.minRevision }))
}

func (b *fixture) version(section ibisdoc.SectionName) ibissection.Version {
	snapshot, err := b.open().Load(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return snapshot.VersionOf(section)
}

func (b *fixture) content(section ibisdoc.SectionName) string {
	snapshot, err := b.open().Load(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return string(snapshot.Sections()[section])
}

// edit returns a change of one section that is based on its current version.
func (b *fixture) edit(id string, section ibisdoc.SectionName, content string) ibissection.Change {
	return ibissection.Change{
		ID: id,
		Edits: []ibissection.Edit{{
			Section: section,
			Base:    b.version(section),
			Content: json.RawMessage(content),
		}},
	}
}

// recordCount returns the number of records of a change in the chain.
func (b *fixture) recordCount(id string) int {
	records, err := b.open().Log(context.Background(), 1000)
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, record := range records {
		if strings.HasPrefix(record.Version.ChangeID(), id+".") {
			count++
		}
	}
	return count
}

var _ = Describe("Store", func() {
	ctx := context.Background()

	It("applies concurrent changes of two teams to different sections", func() {
		b := newFixture()
		one := b.edit("one", "classes", `{"order": {"priority": 1}, "stock": {"priority": 2}}`)
		two := b.edit("two", "services/desk", `{"order-desk": {"slots": 64}}`)
		b.platform.concurrentChange = func() { Expect(b.open().Put(ctx, b.platformToken, one).Status).To(Equal(ibissection.StatusApplied)) }
		b.platform.failAt(2, faultConcurrentChange)
		Expect(b.store.Put(ctx, b.deskToken, two).Status).To(Equal(ibissection.StatusApplied))
		Expect(b.recordCount("one")).To(Equal(1))
		Expect(b.content("services/desk")).To(Equal(`{"order-desk":{"slots":64}}`))
	})

	It("validates the whole document again after a concurrent change of another team", func() {
		b := newFixture()
		route := b.edit("route", "routes/desk", `{"status": {"methods": ["GET"], "path": "/status", "service": "order-desk", "class": "stock"}}`)
		b.platform.concurrentChange = func() {
			remove := b.edit("remove", "classes", `{"order": {"priority": 1}}`)
			Expect(b.open().Put(ctx, b.platformToken, remove).Status).To(Equal(ibissection.StatusApplied))
		}
		b.platform.failAt(2, faultConcurrentChange)
		outcome := b.store.Put(ctx, b.deskToken, route)
		Expect(outcome.Status).To(Equal(ibissection.StatusInvalid))
		Expect(outcome.Faults[0].Path).To(Equal("routes/desk.status.class"))
	})

	It("returns all three contents of a conflict, and a merge where the changes do not clash", func() {
		b := newFixture()
		mine := b.edit("mine", "classes", `{"order": {"priority": 80, "deadline": "9s"}, "stock": {"priority": 100}}`)
		clash := b.edit("clash", "classes", `{"order": {"priority": 80, "deadline": "5s"}, "stock": {"priority": 7}}`)
		theirs := b.edit("theirs", "classes", `{"order": {"priority": 80, "deadline": "5s"}, "stock": {"priority": 99}}`)
		Expect(b.store.Put(ctx, b.platformToken, theirs).Status).To(Equal(ibissection.StatusApplied))
		outcome := b.open().Put(ctx, b.platformToken, mine)
		Expect(outcome.Status).To(Equal(ibissection.StatusConflict))
		Expect(outcome.Conflicts[0].Base).To(MatchJSON(classes))
		Expect(outcome.Conflicts[0].Merged).To(MatchJSON(`{"order": {"priority": 80, "deadline": "9s"}, "stock": {"priority": 99}}`))
		Expect(outcome.Conflicts[0].Differences).To(HaveLen(2))
		outcome = b.open().Put(ctx, b.platformToken, clash)
		Expect(outcome.Conflicts[0].Merged).To(BeEmpty())
		Expect(outcome.Conflicts[0].Differences).To(ConsistOf(HaveField("Clash", true)))
		Expect(b.content("classes")).To(MatchJSON(string(theirs.Edits[0].Content)))
	})

	It("applies drafts that are based on an older revision of the whole document", func() {
		b := newFixture()
		put := func(id string, seen ibisid.Revision, section ibisdoc.SectionName, content string) ibissection.Outcome {
			token := b.deskToken
			if section == "classes" {
				token = b.platformToken
			}
			return b.open().PutDraft(ctx, token, ibissection.Draft{
				ID:           id,
				BaseRevision: seen,
				Contents:     ibisdoc.Sections{section: json.RawMessage(content)},
			})
		}
		Expect(put("a", 1, "classes", `{"order": {"priority": 1}}`).Revision).To(Equal(ibisid.Revision(2)))
		Expect(put("b", 1, "services/desk", `{"order-desk": {"slots": 2}}`).Revision).To(Equal(ibisid.Revision(3)))
		Expect(put("c", 2, "classes", `{"order": {"priority": 2}}`).Revision).To(Equal(ibisid.Revision(4)))
		Expect(put("a", 1, "classes", `{"order": {"priority": 1}}`).Revision).To(Equal(ibisid.Revision(2)), "a retry returns the first outcome")
		outcome := put("d", 1, "classes", `{"order": {"priority": 3}}`)
		Expect(outcome.Status).To(Equal(ibissection.StatusConflict))
		Expect(outcome.Conflicts[0].Base).To(MatchJSON(classes))
		Expect(put("e", 4, "services/desk", `null`).Status).To(Equal(ibissection.StatusApplied))
		Expect(b.content("services/desk")).To(BeEmpty())
	})

	It("allows a team to write only its own sections, and audits each attempt without secrets", func() {
		b := newFixture()
		change := b.edit("x", "classes", `{"order": {"priority": 1}}`)
		for _, token := range []string{"", "ibisteam_platform_0", b.deskToken, b.platformToken[:len(b.platformToken)-1] + "x"} {
			Expect(b.store.Put(ctx, token, change).Status).To(Equal(ibissection.StatusForbidden))
		}
		Expect(b.store.Put(ctx, b.platformToken, change).Status).To(Equal(ibissection.StatusApplied))
		Expect(b.audit.events).To(HaveLen(6))
		Expect(b.audit.events[5].Team).To(Equal(ibisid.TeamName("platform")))
		Expect(fmt.Sprint(b.audit.events)).NotTo(ContainSubstring(b.deskToken))
		Expect(fmt.Sprint(b.audit.events)).NotTo(ContainSubstring("priority"))
	})

	It("initialises only an empty store, and only with teams", func() {
		b := newFixture()
		Expect(b.open().Init(ctx, "second", ibisdoc.Sections{"teams": nil}).Status).To(Equal(ibissection.StatusForbidden))
		empty := ibissection.New(newPlatform(), newPlatform(), ibistimer.NewFake(time.Unix(0, 0)))
		Expect(empty.Init(ctx, "first", ibisdoc.Sections{"classes": json.RawMessage(`{}`)}).Status).To(Equal(ibissection.StatusForbidden))
	})

	It("keeps every revision, and undoes a revision by a new one", func() {
		b := newFixture()
		var want []string
		for i := range 150 {
			content := fmt.Sprintf(`{"order":{"priority":%d}}`, i)
			Expect(b.store.Put(ctx, b.platformToken, b.edit(fmt.Sprintf("c%d", i), "classes", content)).Status).To(Equal(ibissection.StatusApplied))
			want = append(want, content)
		}
		for _, i := range []int{0, 62, 63, 64, 127, 149} {
			version, err := b.open().VersionAt(ctx, ibisid.Revision(i+2))
			Expect(err).NotTo(HaveOccurred())
			sections, err := b.open().At(ctx, version)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(sections["classes"])).To(Equal(want[i]))
			Expect(sections).To(HaveLen(4))
		}
		Expect(b.store.Undo(ctx, b.platformToken, "u1", 100).Status).To(Equal(ibissection.StatusConflict))
		outcome := b.store.Undo(ctx, b.platformToken, "u2", 151)
		Expect(outcome.Status).To(Equal(ibissection.StatusApplied))
		Expect(outcome.Revision).To(Equal(ibisid.Revision(152)))
		Expect(b.content("classes")).To(Equal(want[148]))
		records, err := b.store.Log(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(records[0].Summary).To(Equal("undo of revision 151"))
		Expect(records[0].Team).To(Equal(ibisid.TeamName("platform")))
	})

	It("rejects changes to a store below the minimum revision until it is recovered", func() {
		b := newFixture()
		old := maps.Clone(b.platform.rows)
		for i := range 3 {
			Expect(b.store.Put(ctx, b.platformToken, b.edit(fmt.Sprintf("c%d", i), "classes", fmt.Sprintf(`{"order":{"priority":%d}}`, i))).Status).To(Equal(ibissection.StatusApplied))
		}
		inForce, err := b.store.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		b.platform.rows = old
		b.minRevision = 4
		outcome := b.open().Put(ctx, b.platformToken, b.edit("x", "classes", `{"order":{"priority":9}}`))
		Expect(outcome.Status).To(Equal(ibissection.StatusStaleStore))
		outcome = b.open().Recover(ctx, "r", inForce.Head().Version, inForce.Sections())
		Expect(outcome.Status).To(Equal(ibissection.StatusApplied), outcome.Reason)
		Expect(outcome.Revision).To(Equal(ibisid.Revision(5)))
		Expect(b.content("classes")).To(Equal(`{"order":{"priority":2}}`))
		Expect(b.open().Put(ctx, b.platformToken, b.edit("x", "classes", `{"order":{"priority":9}}`)).Status).To(Equal(ibissection.StatusApplied))
		sections, err := b.open().At(ctx, outcome.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(sections).To(HaveLen(4))
	})

	DescribeTable("reports the actual outcome of a change for a fault at any step", func(f fault, stepsBeforeOutage int) {
		for step := 0; ; step++ {
			b := newFixture()
			b.platform.concurrentChange = func() {
				concurrent := b.edit("rival", "services/desk", `{"order-desk": {"slots": 64}}`)
				Expect(b.open().Put(ctx, b.deskToken, concurrent).Status).To(Equal(ibissection.StatusApplied))
			}
			change := b.edit("x", "classes", `{"order": {"priority": 1}}`)
			b.platform.failAt(step, f)
			b.platform.stepsBeforeOutage = stepsBeforeOutage
			outcome := b.open().Put(ctx, b.platformToken, change)
			reached := b.platform.steps > step
			b.platform.clearFault()
			count := b.recordCount("x")
			description := fmt.Sprintf("fault at step %d: status %s, %d records of the change", step, outcome.Status, count)
			switch outcome.Status {
			case ibissection.StatusApplied:
				Expect(count).To(Equal(1), description)
			case ibissection.StatusUnavailable:
				Expect(count).To(BeZero(), description)
			default:
				Expect(outcome.Status).To(Equal(ibissection.StatusUnknown), description)
			}
			outcome = b.open().Put(ctx, b.platformToken, change)
			Expect(outcome.Status).To(Equal(ibissection.StatusApplied), description)
			Expect(b.recordCount("x")).To(Equal(1), description)
			if !reached {
				Expect(step).To(BeNumerically(">", 4))
				return
			}
		}
	},
		Entry("unavailable", faultUnavailable, 0),
		Entry("answer lost", faultAnswerLost, 0),
		Entry("commit delayed", faultDelayedCommit, 0),
		Entry("answer lost, then unavailable", faultAnswerLostThenUnavailable, 0),
		Entry("commit delayed, then unavailable", faultDelayedCommitThenUnavailable, 0),
		Entry("commit delayed, one step, then unavailable", faultDelayedCommitThenUnavailable, 1),
		Entry("commit delayed, two steps, then unavailable", faultDelayedCommitThenUnavailable, 2),
		Entry("commit delayed, three steps, then unavailable", faultDelayedCommitThenUnavailable, 3),
		Entry("commit delayed, five steps, then unavailable", faultDelayedCommitThenUnavailable, 5),
		Entry("concurrent change", faultConcurrentChange, 0),
	)
})
