package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

type (
	// Page is the content of one page row.
	Page = ibisslot.Page
	// PageID identifies a page.
	PageID = ibisslot.PageID
	// Override is the assignment of one hot key independently of its slot; it has no standbys.
	Override = ibisslot.Override
)

// ErrMalformedPage is returned for a page row that cannot be decoded.
var ErrMalformedPage = ibisslot.ErrMalformedPage

// NewPage returns a page of unowned slots that is not yet stored in the table.
func NewPage(id PageID, slots uint32) *Page { return ibisslot.NewPage(id, slots) }

// DecodePage decodes the value of a page row; it fails with ErrMalformedPage.
func DecodePage(id PageID, version TableVersion, value []byte) (*Page, error) {
	return ibisslot.DecodePage(id, version, value)
}
