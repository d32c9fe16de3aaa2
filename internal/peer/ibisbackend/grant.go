package ibisbackend

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Grant is the permission, protected by a fencing token, under which a node sends one request to its backend server.
type Grant struct {
	// Slot is the slot that the node owns, as SPACE/INDEX.
	Slot string
	// Token is the fencing token of the slot.
	Token ibisid.Token
	// Until is the end of the node's lease, in whole milliseconds.
	Until time.Time
}

func (g Grant) setHeaders(header http.Header) {
	header.Set(HeaderSlot, g.Slot)
	header.Set(HeaderToken, strconv.FormatUint(uint64(g.Token), 10))
	header.Set(HeaderLeaseEnd, strconv.FormatInt(g.Until.UnixMilli(), 10))
}

// ParseGrant parses the grant in the headers of a request that a node sent, and reports whether there is one; it fails if
// the grant is malformed.
func ParseGrant(header http.Header) (Grant, bool, error) {
	slot := header.Get(HeaderSlot)
	if slot == "" {
		return Grant{}, false, nil
	}
	token, err := strconv.ParseUint(header.Get(HeaderToken), 10, 64)
	if err != nil {
		return Grant{}, false, fmt.Errorf("%s: %q is not a decimal number", HeaderToken, header.Get(HeaderToken))
	}
	until, err := parseUnixMillis(header, HeaderLeaseEnd)
	if err != nil {
		return Grant{}, false, err
	}
	return Grant{
		Slot:  slot,
		Token: ibisid.Token(token),
		Until: until,
	}, true, nil
}

// ParseDeadline parses the deadline in the headers of a request that a node sent, zero if there is none; it fails if the
// deadline is malformed.
func ParseDeadline(header http.Header) (time.Time, error) {
	if header.Get(HeaderDeadline) == "" {
		return time.Time{}, nil
	}
	return parseUnixMillis(header, HeaderDeadline)
}

func parseUnixMillis(header http.Header, name string) (time.Time, error) {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s: %q is not a time in Unix milliseconds", name, header.Get(name))
	}
	return time.UnixMilli(ms), nil
}
