package ibiscell_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	root = "../../.."
	// mutationSwitch turns the mutations on, which compile the project anew for each.
	mutationSwitch = "IBISRIDGE_MUTATIONS"
)

// edit replaces one text of a file, for one build only.
type edit struct {
	file string
	from string
	to   string
}

// overlay writes the mutated files aside and returns the file that tells the go command of them.
func overlay(dir string, edits []edit) string {
	replace := make(map[string]string)
	for _, e := range edits {
		path, err := filepath.Abs(filepath.Join(root, e.file))
		Expect(err).NotTo(HaveOccurred())
		source := path
		if aside, ok := replace[path]; ok {
			source = aside
		}
		text, err := os.ReadFile(source)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(text), e.from)).To(Equal(1), "%s: %q", e.file, e.from)
		aside := filepath.Join(dir, strings.ReplaceAll(e.file, "/", "_"))
		Expect(os.WriteFile(aside, []byte(strings.Replace(string(text), e.from, e.to, 1)), 0o600)).To(Succeed())
		replace[path] = aside
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(dir, "overlay.json")
	Expect(os.WriteFile(file, list, 0o600)).To(Succeed())
	return file
}

func matrix(args ...string) []string {
	return append([]string{"run", "-overlay", "OVERLAY", "./cmd/ibisridge", "matrix", "--pairs", "0"}, args...)
}

func tests(name string) []string {
	return []string{"test", "-count=1", "-overlay", "OVERLAY", name}
}

var _ = Describe("a mutation", func() {
	DescribeTable("is caught",
		func(command []string, want string, edits ...edit) {
			if os.Getenv(mutationSwitch) == "" {
				Skip("set " + mutationSwitch + "=1 to run it")
			}
			file := overlay(GinkgoT().TempDir(), edits)
			args := make([]string, len(command))
			for i, arg := range command {
				args[i] = strings.Replace(arg, "OVERLAY", file, 1)
			}
			run := exec.Command("go", args...)
			run.Dir = root
			out, err := run.CombinedOutput()
			Expect(err).To(HaveOccurred(), string(out))
			Expect(string(out)).To(MatchRegexp(want))
			_, _ = GinkgoWriter.Write(out)
		},
		Entry("witness forgets its promise", tests("./internal/ownership/ibislease"), "FAIL", edit{
			"internal/ownership/ibislease/witness.go", "	entry.promised = true\n", "",
		}),
		Entry("witness promises without waiting for the term", tests("./internal/ownership/ibislease"), "FAIL", edit{
			"internal/ownership/ibislease/witness.go", "return now.Sub(since) >= w.terms.Term ||", "return true ||",
		}),
		Entry("no check before the hand-over", matrix("--flow", "orderUnfenced", "--fault", "freeze"), "oneOwner", edit{
			"internal/node/ibisowner/permit.go", "if p.holding.gone.Load() || p.manager.lease.left(p.manager.timer.Now()) <= 0 {", "if p.manager == nil {",
		}),
		Entry("no takeover wait", matrix("--flow", "orderUnfenced", "--fault", "cutBothWays", "--fault", "cutIncoming", "--fault", "cutOutgoing", "--fault", "freeze"), "oneOwner", edit{
			"internal/node/ibisowner/takeover.go", "wait := m.terms.TakeoverWait(", "wait := 0 * m.terms.TakeoverWait(",
		}),
		Entry("memory dropped on a move", matrix("--flow", "stop", "--fault", "serverCold"), "atMostOnce", edit{
			"internal/node/ibisowner/takeover.go", "if a.Inherited && arrived && core.Import(record, a.Token, ibistimer.WallTime(m.timer, now)) {",
			"if a.Inherited && arrived && record.Token > 0 {\n\t\t\tcore.Acquire(slot, a.Token, ibisidempotency.TakeoverFresh, ibistimer.WallTime(m.timer, now))",
		}),
		Entry("takeover without memory taken for a fresh slot", matrix("--flow", "order", "--fault", "death"), "atMostOnce", edit{
			"internal/node/ibisowner/takeover.go", "takeover := ibisidempotency.TakeoverLossy", "takeover := ibisidempotency.TakeoverFresh",
		}),
		Entry("slot released before its requests finished", matrix("--flow", "stop", "--fault", "serverCold", "--fault", "messageLost"), "red: ", edit{
			"internal/node/ibisowner/holdings.go", "	if found.running == 0 {\n		return true\n	}\n	found.idle = idle", "	if found.running >= 0 {\n		return true\n	}\n	found.idle = idle",
		}),
		Entry("lost commit of a move taken for not done", matrix("--flow", "move", "--fault", "commitAnswerLost"), "red: ", edit{
			"internal/ownership/ibismove/commit.go", "if e.CommitID != b.commit.ID || b.state != stateCommitting {\n		return nil\n	}\n	return b.readCurrentPage(now)",
			"if e.CommitID != b.commit.ID || b.state != stateCommitting {\n		return nil\n	}\n	return b.continueWith(now, func(Transfer) bool { return false })",
		}),
		Entry("unknown answered as not run", matrix("--flow", "order", "--fault", "serverAnswerLost"), "notRunTrue", edit{
			"internal/node/ibisrequestrouter/owner.go", "Outcome: sent.Outcome,", "Outcome: \"notRun\",",
		}),
		Entry("failure domain out ignored", matrix("--flow", "domainOut", "--fault", "serverCold"), "domainOut", edit{
			"internal/node/ibisowner/drain.go", "m.domains.ownOut = out\n", "m.domains.ownOut = false\n",
		}),
		Entry("served outside the home region", matrix("--flow", "hedge", "--fault", "serverCold"), "homeOnly",
			edit{"internal/request/ibisbalancer/home.go", "if len(homes) == 0 ||", "if len(homes) >= 0 ||"},
			edit{"internal/request/ibisbalancer/choice.go", "if len(r.Homes) == 0 {", "if len(r.Homes) >= 0 {"},
		),
		Entry("cold start ignored", matrix("--flow", "hedge", "--fault", "restart"), "coldBears", edit{
			"internal/request/ibisadmit/gate.go", "if config.StartCold {", "if config.StartCold && config.Slots < 0 {",
		}),
		Entry("what other gates reported ignored", matrix("--flow", "move", "--fault", "serverCold"), "coldBears", edit{
			"internal/request/ibisadmit/gate.go", "g.limit.learn(e)", "_ = e",
		}),
		Entry("runs of slow answers ignored", matrix("--flow", "takeOverUnfenced", "--fault", "serverCold"), "coldBears", edit{
			"internal/request/ibisadmit/limit.go", "l.streak.showsCold() || l.runShowsCold()", "l.streak.showsCold()",
		}),
		Entry("lower revision accepted", tests("./internal/document/ibisrollout"), "FAIL",
			edit{"internal/document/ibisrollout/replica.go", "if e.Version.Revision() <= r.inForce.Revision() {", "if e.Version == \"\" {"},
			edit{"internal/document/ibisrollout/replica.go", "if version.Revision() <= r.known.Revision() {", "if version.Revision() == r.known.Revision() {"},
		),
		Entry("unknown order retried", tests("./internal/request/ibisretry"), "FAIL", edit{
			"internal/request/ibisretry/policy.go", "return outcome == ibisid.OutcomeUnknown && r.start.Idempotent", "return outcome == ibisid.OutcomeUnknown",
		}),
		Entry("order hedged", tests("./internal/request/ibisretry"), "FAIL", edit{
			"internal/request/ibisretry/policy.go", "if !e.Hedge || !e.Idempotent ||", "if !e.Hedge ||",
		}),
		Entry("memory forgets within the retention time", tests("./internal/request/ibisidempotency"), "FAIL", edit{
			"internal/request/ibisidempotency/bounds.go", "now.Sub(e.ended) < m.config.Retention", "now.Sub(e.ended) < m.config.Retention/2",
		}),
	)
})
