package ibiscell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Promise is one line of what must always hold.
type Promise string

// The promises, in the order in which the table lists them.
const (
	OneOwner       Promise = "oneOwner"
	AssignmentKept Promise = "assignmentKept"
	ColdBears      Promise = "coldBears"
	DomainOut      Promise = "domainOut"
	HomeOnly       Promise = "homeOnly"
	WholeAnswer    Promise = "wholeAnswer"
	NotRunTrue     Promise = "notRunTrue"
	AtMostOnce     Promise = "atMostOnce"
	LeavingIdle    Promise = "leavingIdle"
	StopCutsNone   Promise = "stopCutsNone"
	DocumentKept   Promise = "documentKept"
	// ServedAgain is that fresh orders are served in time once the fault is over.
	ServedAgain Promise = "servedAgain"
)

const wholeAnswer = WholeAnswer

// Promises lists all of them.
func Promises() []Promise {
	return []Promise{
		OneOwner, AssignmentKept, ColdBears, DomainOut, HomeOnly, WholeAnswer, NotRunTrue, AtMostOnce, LeavingIdle,
		StopCutsNone, DocumentKept, ServedAgain,
	}
}

const (
	// shortly is the brief's "a few seconds" for work that must no longer come.
	shortly = 5 * time.Second
	// inForceTarget is the time in which a change is in force everywhere.
	inForceTarget = 16 * time.Second
	breachLimit   = 5
	// checkParts is the number of looks in which every slot is looked at once.
	checkParts = 3
)

// Breach is a promise that did not hold.
type Breach struct {
	// Promise is which.
	Promise Promise `json:"promise"`
	// After is the time since the start of the world.
	After time.Duration `json:"after"`
	// What tells what was seen.
	What string `json:"what"`
}

type breaches []Breach

func (b *breaches) add(w *world, p Promise, format string, args ...any) {
	if len(*b) < breachLimit {
		*b = append(*b, Breach{
			Promise: p,
			After:   w.now().Sub(w.started),
			What:    fmt.Sprintf(format, args...),
		})
	}
}

// check looks at what can be seen from outside at any moment.
func (w *world) check() {
	w.looks++
	for i, slot := range w.slots() {
		if i%checkParts == w.looks%checkParts {
			w.checkOwner(slot)
		}
	}
	for _, n := range w.live() {
		w.checkRevision(n)
	}
	if w.leaves != "" && w.taken() {
		w.out[w.leaves] = w.now()
		w.leaves = ""
	}
}

// taken reports whether the change that takes a failure domain out is accepted: in force at every live node, or overdue.
func (w *world) taken() bool {
	c := w.changes[0]
	return w.changed() || !c.accepted.IsZero() && w.now().Sub(c.accepted) > inForceTarget
}

func (w *world) checkOwner(slot ibisid.Slot) {
	var owners []ibisid.NodeName
	for _, n := range w.live() {
		permit := n.tryAdmit(slot)
		if permit == nil {
			continue
		}
		if permit.Check() == nil {
			owners = append(owners, n.name)
			w.pages.seen(w, slot, n, permit.Grant().Token)
		}
		permit.Release()
	}
	if len(owners) > 1 {
		w.broken.add(w, OneOwner, "slot %s is run by %v", slot, owners)
	}
}

func (w *world) checkRevision(n *node) {
	if n.follows.document == nil {
		return
	}
	revision := n.follows.document.Revision()
	if revision < n.server.revision {
		w.broken.add(w, DocumentKept, "%s went back from revision %d to %d", n.name, n.server.revision, revision)
	}
	n.server.revision = revision
}

// handedOver takes note of a request that a server begins to run.
func (w *world) handedOver(s *server, slot, key, attempt string) {
	n := s.node
	if s.running >= s.bears() && !w.now().Before(s.coldFrom.Add(coldNotice)) {
		w.broken.add(w, ColdBears, "%s bears %d and began one more", n.name, s.bears())
	}
	if since, out := w.out[n.place.Domain]; out && w.now().Sub(later(since, w.upset)) > shortly {
		w.broken.add(w, DomainOut, "%s ran a request %s after its failure domain was taken out", n.name, w.now().Sub(since))
	}
	if n.leaving && w.now().Sub(later(n.left, w.upset)) > shortly {
		w.broken.add(w, LeavingIdle, "%s ran a request %s after it began to leave", n.name, w.now().Sub(n.left))
	}
	for _, other := range w.nodes {
		if slot != "" && other != n && w.excludes(other, n) && other.server.busy[slot] > 0 {
			w.broken.add(w, OneOwner, "%s runs slot %s while %s still does", n.name, slot, other.name)
		}
	}
	if owner, ok := w.pages.owners[slot]; ok && owner != n.manager.Self().Member {
		w.broken.add(w, OneOwner, "%s runs slot %s, which is assigned to %s", n.name, slot, owner.Name)
	}
	o := w.orders[key]
	o.runs++
	o.by[attempt]++
	if !o.idempotent && o.runs > 1 {
		w.broken.add(w, AtMostOnce, "order %s ran %d times, last at %s", key, o.runs, n.name)
	}
	if len(o.homes) > 0 && !slices.Contains(o.homes, n.place.Region) {
		w.broken.add(w, HomeOnly, "order %s ran in %s", key, n.place.Region)
	}
	if o.by[attempt] > 0 && o.denied[attempt] {
		w.broken.add(w, NotRunTrue, "attempt %s ran after it was answered not run", attempt)
	}
}

// excludes reports whether the two may not run one slot at once: a fenced server may still end what a lost owner gave it.
func (w *world) excludes(other, n *node) bool {
	if other.server.dead {
		return false
	}
	return !w.checks || !other.hurt && !n.hurt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) runsOf(key string) int { return w.orders[key].runs }

// noteAttempt takes note of how an attempt ended for its entry node.
func (w *world) noteAttempt(o *order, attempt string, f final) {
	if f.outcome != ibisid.OutcomeNotRun {
		return
	}
	if o.by[attempt] > 0 {
		w.broken.add(w, NotRunTrue, "attempt %s ran and was answered not run", attempt)
	}
	if o.denied == nil {
		o.denied = make(map[string]bool)
	}
	o.denied[attempt] = true
}

// checkFinal judges what a caller got. A refusal speaks of its own sending: an impatient caller may have sent the order through
// another entry node as well, where it runs.
func (w *world) checkFinal(s *sending, f final) {
	o := s.order
	ran := slices.ContainsFunc(s.attempts, func(attempt string) bool { return o.by[attempt] > 0 })
	if f.outcome == ibisid.OutcomeNotRun && !o.idempotent && ran {
		w.broken.add(w, NotRunTrue, "order %s ran and was answered not run", o.key)
	}
	if f.outcome != ibisid.OutcomeDone {
		return
	}
	if o.runs == 0 {
		w.broken.add(w, WholeAnswer, "order %s was answered done and never ran", o.key)
	}
	if want := o.path + "|" + o.key + "|"; len(f.body) < len(want) || f.body[:len(want)] != want {
		w.broken.add(w, WholeAnswer, "order %s got the answer %q", o.key, f.body)
	}
	for _, earlier := range o.finals[:len(o.finals)-1] {
		if !o.idempotent && earlier.outcome == ibisid.OutcomeDone && earlier.body != f.body {
			w.broken.add(w, WholeAnswer, "the repeat of order %s got another answer", o.key)
		}
	}
}

// checkEnd judges what can only be judged at the end.
func (w *world) checkEnd() {
	for _, c := range w.changes {
		if c.accepted.IsZero() {
			w.broken.add(w, ServedAgain, "change %s was not accepted", c.draft.ID)
			continue
		}
		for _, n := range w.live() {
			if n.follows.document == nil || n.follows.document.Revision() < c.revision {
				w.broken.add(w, DocumentKept, "revision %d is not in force at %s", c.revision, n.name)
			}
		}
	}
	for _, n := range w.nodes {
		if n.leaving && n.dead && !n.hurt && n.server.running > 0 {
			w.broken.add(w, StopCutsNone, "%s ended with %d requests running", n.name, n.server.running)
		}
	}
}

// pageRecord follows the committed pages of the world's slot spaces.
type pageRecord struct {
	spaces []ibisid.SlotSpace
	ids    map[string]ibisslot.PageID
	pages  map[string]*ibisslot.Page
	tokens map[ibisid.Slot]ibisid.Token
	owners map[string]ibisid.Member
}

func newPageRecord(service ibisid.ServiceName) pageRecord {
	common := ibisid.SlotSpace{
		Service: service,
		Hidden:  service == deskService,
	}
	home := common
	home.Home = homeTenant
	r := pageRecord{
		spaces: []ibisid.SlotSpace{common, home},
		ids:    make(map[string]ibisslot.PageID),
		pages:  make(map[string]*ibisslot.Page),
		tokens: make(map[ibisid.Slot]ibisid.Token),
		owners: make(map[string]ibisid.Member),
	}
	for _, space := range r.spaces {
		for number := range ibisslot.PageCount(worldSlots) {
			id := ibisslot.PageID{
				Space:  space,
				Number: number,
			}
			r.ids[id.RowKey()] = id
		}
	}
	return r
}

// follow checks that a committed page loses no assignment and lowers no token.
func (r *pageRecord) follow(w *world, commit ibisplatform.Commit, version ibisplatform.Version) {
	for _, write := range commit.Writes {
		id, ok := r.ids[write.Key]
		if !ok {
			continue
		}
		page, err := ibisslot.DecodePage(id, version, write.Value)
		if err != nil {
			w.broken.add(w, AssignmentKept, "page %s: %v", write.Key, err)
			continue
		}
		if old := r.pages[write.Key]; old != nil {
			if err := page.ValidateReplacement(old); err != nil {
				w.broken.add(w, AssignmentKept, "page %s: %v", write.Key, err)
			}
		}
		r.pages[write.Key] = page
		for i := range page.Len() {
			slot := ibisid.Slot{
				Space: id.Space,
				Index: id.First() + ibisid.SlotIndex(i),
			}
			r.owners[slot.String()] = page.Slot(i).Owner
		}
	}
}

// seen checks that no owner acts under a lower token than an earlier one did.
func (r *pageRecord) seen(w *world, slot ibisid.Slot, n *node, token ibisid.Token) {
	if token < r.tokens[slot] {
		w.broken.add(w, AssignmentKept, "%s acts on slot %s with token %d after %d", n.name, slot, token, r.tokens[slot])
	}
	r.tokens[slot] = max(token, r.tokens[slot])
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}

// withState returns the topology with one failure domain turned out or in.
func withState(text json.RawMessage, domain ibisid.DomainName, state ibisdoc.DomainState) json.RawMessage {
	var content struct {
		StoreRegion string `json:"storeRegion"`
		Regions     map[string]struct {
			Domains map[ibisid.DomainName]map[string]any `json:"domains"`
		} `json:"regions"`
	}
	if err := json.Unmarshal(text, &content); err != nil {
		panic("topology: " + err.Error())
	}
	for _, region := range content.Regions {
		if d, ok := region.Domains[domain]; ok {
			d["state"] = state
			d["rampUp"] = "2s"
		}
	}
	changed, err := json.Marshal(content)
	if err != nil {
		panic("topology: " + err.Error())
	}
	return changed
}
