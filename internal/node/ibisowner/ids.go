package ibisowner

import (
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// ids generates commit ids that are unique to the incarnation.
type ids struct {
	member ibisid.Member
	next   uint64
}

// Next returns an id that has not been returned before.
func (i *ids) Next() string {
	i.next++
	return fmt.Sprintf("page/%s/%d/%d", i.member.Name, i.member.Incarnation, i.next)
}
