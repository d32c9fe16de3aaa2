package ibisrange

import (
	"encoding/json"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// pageRow is the stored form of a page: owners are listed once and ranges are stored in columns, so that 1,000 ranges fit
// into a row.
type pageRow struct {
	// Era is the era of the store in which the page was written.
	Era uint64 `json:"era,omitempty"`
	// Owners lists the owners.
	Owners []Owner `json:"owners"`
	// To lists the last key of each range; the first range begins at key 0, each other one after the end of the previous one.
	To []int `json:"to"`
	// Owner lists the index of each range's owner in Owners.
	Owner []int `json:"owner"`
	// Token lists the token of each range.
	Token []ibisid.Token `json:"token"`
	// Handover maps the indexes of ranges to their handover texts, if they have one.
	Handover map[int]string `json:"handover,omitempty"`
	// Next maps the indexes of ranges with a planned move to the nodes that they move to.
	Next map[int]ibisid.NodeName `json:"next,omitempty"`
}

// Encode returns the page as the content of its row.
func (p Page) Encode() []byte {
	row := pageRow{
		Era:      p.Era,
		Handover: make(map[int]string),
		Next:     make(map[int]ibisid.NodeName),
	}
	indexes := make(map[Owner]int)
	for i, r := range p.Ranges {
		index, listed := indexes[r.Owner]
		if !listed {
			index = len(row.Owners)
			indexes[r.Owner] = index
			row.Owners = append(row.Owners, r.Owner)
		}
		row.To = append(row.To, r.To)
		row.Owner = append(row.Owner, index)
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
		panic(fmt.Sprintf("page row can't be encoded as JSON: %v", err))
	}
	return value
}

// DecodePage decodes the content of a page's row. It returns an error if the content is no valid JSON, columns differ in
// length, the ranges don't contain every key exactly once, the owner of a range isn't listed, or no token can be given above one of them.
func DecodePage(value []byte) (Page, error) {
	var row pageRow
	if err := json.Unmarshal(value, &row); err != nil {
		return Page{}, fmt.Errorf("decode page row: %w", err)
	}
	if len(row.Owner) != len(row.To) || len(row.Token) != len(row.To) {
		return Page{}, fmt.Errorf("page row: columns differ in length: %d ranges, %d owners, %d tokens", len(row.To), len(row.Owner), len(row.Token))
	}
	p := Page{
		Era: row.Era,
	}
	next := 0
	for i, to := range row.To {
		if to > Keys {
			return Page{}, fmt.Errorf("page row: a range ends at key %d, but there are %d keys", to, Keys)
		}
		if row.Token[i] > MaxToken {
			return Page{}, fmt.Errorf("page row: the range that ends at key %d has token %d, must be at most %d", to, row.Token[i], uint64(MaxToken))
		}
		if to < next {
			return Page{}, fmt.Errorf("page row: a range ends at key %d but must begin at key %d", to, next)
		}
		if row.Owner[i] < 0 || row.Owner[i] >= len(row.Owners) {
			return Page{}, fmt.Errorf("page row: the range that ends at key %d has owner index %d, but %d owners are listed", to, row.Owner[i], len(row.Owners))
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
		return Page{}, fmt.Errorf("page row: ranges contain %d keys but must contain %d", next, Keys)
	}
	return p, nil
}
