package ibisidempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	ticketPrefix   = "ibt_"
	ticketMACBytes = 16
)

// ticket binds an idempotency key to the owner's fencing token, so that its age relative to a takeover can be decided
// without a clock.
type ticket struct {
	Slot     ibisid.Slot       `json:"slot"`
	Tenant   ibisid.TenantName `json:"tenant"`
	Token    ibisid.Token      `json:"token"`
	Sequence uint64            `json:"sequence"`
}

// IssueTicket returns a new ticket for requests of the tenant to the slot, and false where the node does not own the slot
// or the slot is being moved.
func (m *Memory) IssueTicket(slot ibisid.Slot, tenant ibisid.TenantName) (string, bool) {
	s := m.slots[slot]
	if s == nil || s.moving {
		return "", false
	}
	s.ticketsIssued++
	return m.sign(ticket{
		Slot:     slot.WithoutHotKey(),
		Tenant:   tenant,
		Token:    s.token,
		Sequence: s.ticketsIssued,
	}), true
}

// TicketSlot returns the slot that a ticket is bound to, for routing, and false where the key is not a valid ticket.
func (m *Memory) TicketSlot(key string) (ibisid.Slot, bool) {
	t, ok := m.parseTicket(key)
	return t.Slot, ok
}

// isTicket reports whether the key has the prefix of tickets; it does not check the signature.
func isTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

func (m *Memory) sign(t ticket) string {
	content, err := json.Marshal(t)
	if err != nil {
		panic("ibisidempotency: encode a ticket as JSON: " + err.Error())
	}
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(append(m.mac(content), content...))
}

func (m *Memory) mac(content []byte) []byte {
	h := hmac.New(sha256.New, m.config.TicketKey)
	h.Write(content)
	return h.Sum(nil)[:ticketMACBytes]
}

func (m *Memory) parseTicket(key string) (ticket, bool) {
	var t ticket
	raw, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(key, ticketPrefix))
	if err != nil || !isTicket(key) || len(raw) <= ticketMACBytes {
		return t, false
	}
	if !hmac.Equal(raw[:ticketMACBytes], m.mac(raw[ticketMACBytes:])) {
		return t, false
	}
	return t, json.Unmarshal(raw[ticketMACBytes:], &t) == nil
}
