package ibiskeep

import (
	"encoding/json"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// pageRow is a page as its row holds it: owners are named once and ranges stand in columns, so that a row bears a thousand.
type pageRow struct {
	// Owners lists the owners.
	Owners []Owner `json:"owners"`
	// To lists the last key of each range; the first range begins at 0, each other one after the one before.
	To []int `json:"to"`
	// Owner lists the position of each range's owner.
	Owner []int `json:"owner"`
	// Token lists the token of each range.
	Token []ibisid.Token `json:"token"`
	// Handover maps positions of ranges to their handovers, where there are any.
	Handover map[int]string `json:"handover,omitempty"`
	// Next maps positions of ranges to the nodes that they are to move to.
	Next map[int]ibisid.NodeName `json:"next,omitempty"`
}

// Encode returns the page as the content of its row.
func (p Page) Encode() []byte {
	row := pageRow{
		Handover: make(map[int]string),
		Next:     make(map[int]ibisid.NodeName),
	}
	position := make(map[Owner]int)
	for i, r := range p.Ranges {
		at, listed := position[r.Owner]
		if !listed {
			at = len(row.Owners)
			position[r.Owner] = at
			row.Owners = append(row.Owners, r.Owner)
		}
		row.To = append(row.To, r.To)
		row.Owner = append(row.Owner, at)
		row.Token = append(row.Token, r.Token)
		if r.Handover != "" {
			row.Handover[i] = r.Handover
		}
		if r.Next != "" {
			row.Next[i] = r.Next
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("page can't be encoded: %v", err))
	}
	return value
}

// DecodePage reads the content of a page's row; it fails where columns differ in length, ranges are missing or overlap, or
// an owner isn't listed.
func DecodePage(value []byte) (Page, error) {
	var row pageRow
	if err := json.Unmarshal(value, &row); err != nil {
		return Page{}, fmt.Errorf("row of a page: %w", err)
	}
	if len(row.Owner) != len(row.To) || len(row.Token) != len(row.To) {
		return Page{}, fmt.Errorf("row of a page: %d ranges have %d owners and %d tokens", len(row.To), len(row.Owner), len(row.Token))
	}
	var p Page
	next := 0
	for i, to := range row.To {
		if to < next {
			return Page{}, fmt.Errorf("row of a page: a range ends at %d where it must begin at %d", to, next)
		}
		if row.Owner[i] < 0 || row.Owner[i] >= len(row.Owners) {
			return Page{}, fmt.Errorf("row of a page: the range that ends at %d has owner %d of %d", to, row.Owner[i], len(row.Owners))
		}
		p.Ranges = append(p.Ranges, Range{
			Span: Span{
				From: next,
				To:   to,
			},
			Owner:    row.Owners[row.Owner[i]],
			Token:    row.Token[i],
			Handover: row.Handover[i],
			Next:     row.Next[i],
		})
		next = to + 1
	}
	if next != Keys {
		return Page{}, fmt.Errorf("row of a page: its ranges end at %d and must end at %d", next, Keys)
	}
	return p, nil
}
