package ibisidempotency_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

const (
	retention = time.Hour
	skew      = 2 * time.Second
	maxBytes  = 1600
)

var slot = ibisid.Slot{
	Space: ibisid.SlotSpace{
		Service: "print-floor",
	},
	Index: 7,
}

// model simulates three nodes that own one slot in turn, and records which requests ran. The clock of a node is the model's
// time plus the node's offset. The kinds of keys are 0 (ticket), 1 (UUID of version 7) and 2 (other text). For each key,
// lastRun holds the time of its last run and answers the status of its answer.
type model struct {
	t        *rapid.T
	now      time.Time
	offsets  []time.Duration
	nodes    []*ibisidempotency.Memory
	owner    int
	token    ibisid.Token
	kinds    []int
	keys     []string
	openRuns []openRun
	lastRun  map[string]time.Time
	answers  map[string]int
	status   int
	lossyAt  time.Time
}

type openRun struct {
	key  string
	run  ibisidempotency.Run
	sent bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:       t,
		now:     time.Unix(1_000_000, 0),
		kinds:   rapid.SampledFrom([][]int{{0}, {1}, {2}, {0, 1, 2}}).Draw(t, "kinds"),
		token:   1,
		lastRun: make(map[string]time.Time),
		answers: make(map[string]int),
	}
	for i := range 3 {
		m.offsets = append(m.offsets, time.Duration(i)*skew/2)
		m.nodes = append(m.nodes, ibisidempotency.New(ibisidempotency.Config{
			Retention: retention,
			Skew:      skew,
			NodeSkew:  skew,
			MaxBytes:  maxBytes,
			MaxAnswer: 600,
			TicketKey: []byte("0123456789abcdef"),
		}))
	}
	m.memory().Acquire(slot, m.token, ibisidempotency.TakeoverFresh, m.clock())
	return m
}

func (m *model) memory() *ibisidempotency.Memory { return m.nodes[m.owner] }

func (m *model) clock() time.Time { return m.now.Add(m.offsets[m.owner]) }

func (m *model) newKey(t *rapid.T) {
	switch rapid.SampledFrom(m.kinds).Draw(t, "kind") {
	case 0:
		if key, ok := m.memory().IssueTicket(slot, "kandy"); ok {
			m.keys = append(m.keys, key)
		}
	case 1:
		ahead := rapid.SampledFrom([]time.Duration{-5 * time.Second, 0, 1500 * time.Millisecond, 3500 * time.Millisecond, 8 * time.Second}).Draw(t, "ahead")
		m.keys = append(m.keys, uuidAt(m.now.Add(ahead), len(m.keys)))
	default:
		m.keys = append(m.keys, fmt.Sprintf("order-%d", len(m.keys)))
	}
}

func uuidAt(at time.Time, n int) string {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = 0x70
	id[8] = 0x80
	id[15] = byte(n)
	id[14] = byte(n >> 8)
	return id.String()
}

// begin sends a key, possibly one that was sent before.
func (m *model) begin(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no key")
	}
	m.sendKey(t, rapid.SampledFrom(m.keys).Draw(t, "key"))
}

// repeat sends a key that has run.
func (m *model) repeat(t *rapid.T) {
	var keys []string
	for _, key := range m.keys {
		if _, ran := m.lastRun[key]; ran {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		t.Skip("no key has run")
	}
	m.sendKey(t, rapid.SampledFrom(keys).Draw(t, "key"))
}

func (m *model) sendKey(t *rapid.T, key string) {
	response := m.memory().Begin(ibisidempotency.BeginEvent{
		Slot:   slot,
		Tenant: "kandy",
		Key:    key,
	}, m.clock())
	switch response.Verdict {
	case ibisidempotency.VerdictRun:
		m.openRuns = append(m.openRuns, openRun{
			key: key,
			run: response.Run,
		})
	case ibisidempotency.VerdictRepeat:
		if response.Answer.Status != m.answers[key] {
			t.Fatalf("the repeat of %s got status %d, want %d from its first answer", key, response.Answer.Status, m.answers[key])
		}
	}
}

func (m *model) drawOpenRun(t *rapid.T) int {
	if len(m.openRuns) == 0 {
		t.Skip("no open run")
	}
	return rapid.IntRange(0, len(m.openRuns)-1).Draw(t, "run")
}

func (m *model) removeOpenRun(i int) { m.openRuns = append(m.openRuns[:i], m.openRuns[i+1:]...) }

func (m *model) markSent(t *rapid.T) { m.markSentAt(t, m.drawOpenRun(t)) }

// markSentAt marks a run as sent and fails the test if its key has run before. An "order-" key has no time in it, so it may
// run again once the retention time, less a margin for the difference of the nodes' clocks, has passed.
func (m *model) markSentAt(t *rapid.T, i int) {
	o := &m.openRuns[i]
	if !m.memory().MarkSent(o.run) {
		return
	}
	if o.sent {
		t.Fatalf("%s was marked as sent twice in one run", o.key)
	}
	o.sent = true
	last, again := m.lastRun[o.key]
	if again && (!strings.HasPrefix(o.key, "order-") || m.now.Sub(last) < retention-2*skew) {
		t.Fatalf("%s ran twice, at %v and %v", o.key, last, m.now)
	}
	m.lastRun[o.key] = m.now
}

func (m *model) finish(t *rapid.T) { m.finishAt(t, m.drawOpenRun(t)) }

func (m *model) finishAt(t *rapid.T, i int) {
	m.status++
	body := make([]byte, rapid.IntRange(0, 900).Draw(t, "body"))
	answer := ibisidempotency.Answer{
		Status: 200 + m.status,
		Body:   body,
	}
	if m.memory().Finish(m.openRuns[i].run, answer, m.clock()) {
		m.answers[m.openRuns[i].key] = answer.Status
		m.lastRun[m.openRuns[i].key] = m.now
		m.removeOpenRun(i)
	}
}

// serve sends a new key and, if it is admitted, marks it as sent and finishes it.
func (m *model) serve(t *rapid.T) {
	m.newKey(t)
	before := len(m.openRuns)
	m.sendKey(t, m.keys[len(m.keys)-1])
	if len(m.openRuns) == before {
		return
	}
	m.markSentAt(t, before)
	m.finishAt(t, before)
}

func (m *model) lose(t *rapid.T) {
	i := m.drawOpenRun(t)
	if m.memory().FinishUnknown(m.openRuns[i].run, m.clock()) {
		m.lastRun[m.openRuns[i].key] = m.now
		m.removeOpenRun(i)
	}
}

func (m *model) abandon(t *rapid.T) {
	i := m.drawOpenRun(t)
	wasSent := m.openRuns[i].sent
	if m.memory().Abandon(m.openRuns[i].run) {
		if wasSent {
			t.Fatalf("Abandon accepted a run that was marked as sent")
		}
		m.removeOpenRun(i)
	}
}

// move moves the slot to the next node, or cancels the move after the export.
func (m *model) move(t *rapid.T) {
	m.memory().StopAdmission(slot)
	record, ok := m.memory().Export(slot, m.clock())
	if !ok || rapid.Bool().Draw(t, "givenUp") {
		m.memory().ResumeAdmission(slot)
		return
	}
	data, err := ibisidempotency.EncodeRecord(record)
	if err != nil {
		t.Fatal(err)
	}
	if record, err = ibisidempotency.DecodeRecord(data); err != nil {
		t.Fatal(err)
	}
	m.memory().Drop(slot)
	m.owner = (m.owner + 1) % len(m.nodes)
	m.token++
	if !m.memory().Import(record, m.token, m.clock()) {
		t.Fatalf("Import refused a record that another memory of the same size exported")
	}
}

// takeOver gives the slot to a node without its memory; requests in flight may have run.
func (m *model) takeOver(t *rapid.T) {
	m.memory().Drop(slot)
	m.openRuns = nil
	m.owner = rapid.IntRange(0, 2).Draw(t, "owner")
	m.token++
	m.memory().Acquire(slot, m.token, ibisidempotency.TakeoverLossy, m.clock())
	m.lossyAt = m.now
}

// beginNewKeys checks that keys issued after a takeover are admitted unless the memory is full. It uses a UUID only once the
// time in it is later than the lossy takeover by Skew and NodeSkew on the clock of every node.
func (m *model) beginNewKeys(t *rapid.T) {
	key, ok := m.memory().IssueTicket(slot, "kandy")
	if !ok {
		t.Fatalf("the owner issued no ticket")
	}
	keys := []string{key}
	if m.now.Sub(m.lossyAt) > 3*skew {
		keys = append(keys, uuidAt(m.now, len(m.keys)+1))
	}
	m.keys = append(m.keys, keys...)
	for _, k := range keys {
		r := m.memory().Begin(ibisidempotency.BeginEvent{
			Slot:   slot,
			Tenant: "kandy",
			Key:    k,
		}, m.clock())
		if r.Verdict != ibisidempotency.VerdictRun && r.Reason != ibisidempotency.ReasonFull {
			t.Fatalf("the new key %s got verdict %q and reason %q, want it admitted", k, r.Verdict, r.Reason)
		}
		if r.Verdict == ibisidempotency.VerdictRun {
			m.openRuns = append(m.openRuns, openRun{
				key: k,
				run: r.Run,
			})
		}
	}
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond,
		time.Second,
		3 * time.Second,
		retention / 2,
		retention,
	}).Draw(t, "sleep"))
}

func (m *model) checkMemoryBytes(t *rapid.T) {
	if got := m.memory().Bytes(); got < 0 || got > maxBytes {
		t.Fatalf("the memory counts %d bytes, want 0 to %d", got, maxBytes)
	}
}
