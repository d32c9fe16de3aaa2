package ibislease

import (
	"bytes"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// FuzzRows checks that member and deaths rows survive encoding and decoding, and that no row content makes a holder or a
// claimant panic.
func FuzzRows(f *testing.F) {
	row := Row{
		Member: member("n", 1),
		Place: ibisid.Place{
			Region: "uusimaa",
			Domain: "helsinki-a",
		},
		Witnesses: []ibisid.Member{member("w", 0), member("w", 1), member("w", 2)},
		State:     StateLive,
	}
	f.Add(row.Encode(), Deaths{Members: []ibisid.Member{member("n", 1), member("n", 2)}}.Encode())
	f.Add([]byte(`{"member":{"name":"n1","incarnation":1},"direct":true}`), []byte(nil))
	f.Add([]byte(`not JSON`), []byte(`{"members":7}`))
	f.Add([]byte(`null`), []byte(`{"members":[{},{}]}`))
	f.Fuzz(func(t *testing.T, memberValue, deathsValue []byte) {
		if decoded, err := DecodeRow(memberValue); err == nil {
			again, err := DecodeRow(decoded.Encode())
			if err != nil || !bytes.Equal(again.Encode(), decoded.Encode()) {
				t.Fatalf("member row %s decoded as %s after encoding: %v", decoded.Encode(), again.Encode(), err)
			}
		}
		if decoded, err := DecodeDeaths(deathsValue); err == nil {
			for _, m := range decoded.Members {
				if !decoded.Has(m) || decoded.Without([]ibisid.Member{m}).Has(m) {
					t.Fatalf("deaths row %s: Has or Without fails for member %v", decoded.Encode(), m)
				}
			}
		}
		feedHolder(t, row, memberValue, deathsValue)
		feedClaimant(row, memberValue, deathsValue)
	})
}

// feedHolder answers the reads of a joining holder with rows of any content; the holder must not become valid without a
// commit.
func feedHolder(t *testing.T, row Row, memberValue, deathsValue []byte) {
	now := time.Unix(1, 0)
	h := NewHolder(DefaultTerms(), row)
	for range 4 {
		for _, effect := range h.Update(TickEvent{}, now) {
			if read, ok := effect.(ReadEffect); ok {
				h.Update(ReadEvent{
					Sequence: read.Sequence,
					Rows:     fuzzRows(h.Self(), row.Place.Domain, memberValue, deathsValue),
				}, now)
			}
		}
		now = now.Add(DefaultHeartbeat)
	}
	if _, valid := h.Valid(now); valid {
		t.Fatal("holder became valid although none of its commits took effect")
	}
}

func feedClaimant(row Row, memberValue, deathsValue []byte) {
	now := time.Unix(1, 0)
	c := NewClaimant(DefaultTerms(), member("c", 1))
	c.Update(SuspectEvent{Members: []ibisid.Member{row.Member}}, now)
	for range 4 {
		for _, effect := range c.Update(TickEvent{}, now) {
			if read, ok := effect.(ReadEffect); ok {
				c.Update(ReadEvent{
					Sequence: read.Sequence,
					Rows:     fuzzRows(row.Member, row.Place.Domain, memberValue, deathsValue),
				}, now)
			}
		}
		now = now.Add(DefaultHeartbeat)
	}
}

func fuzzRows(m ibisid.Member, domain ibisid.DomainName, memberValue, deathsValue []byte) []ibisplatform.Row {
	rows := []ibisplatform.Row{
		{
			Key:      RowKey(m.Name),
			Value:    memberValue,
			Version:  7,
			CommitID: "other",
		},
		{
			Key:      DeathsKey(domain, m.Name),
			Value:    deathsValue,
			Version:  8,
			CommitID: "other",
		},
	}
	return rows
}
