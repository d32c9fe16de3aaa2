package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

type (
	// Page is the content of one page row.
	Page = ibisslot.Page
	// PageID names a page.
	PageID = ibisslot.PageID
	// Override assigns one hot key apart from its slot; it has no standbys.
	Override = ibisslot.Override
)

// ErrMalformedPage is returned for a page row that cannot be decoded.
var ErrMalformedPage = ibisslot.ErrMalformedPage

// NewPage returns a page of unowned slots that no row holds yet.
func NewPage(id PageID, slots uint32) *Page { return ibisslot.NewPage(id, slots) }

// DecodePage reads a page row of the table; it fails with ErrMalformedPage.
func DecodePage(id PageID, version TableVersion, value []byte) (*Page, error) {
	return ibisslot.DecodePage(id, version, value)
}
