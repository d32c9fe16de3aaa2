package ibisnode

import (
	"context"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
)

// ownership adapts the permits of the ownership manager to the interface of the router.
type ownership struct{ *ibisowner.Manager }

// AcquirePermit returns a permit to run a request for a key of the slot.
func (o ownership) AcquirePermit(ctx context.Context, slot ibisid.Slot, key string) (ibisrequestrouter.Permit, error) {
	permit, err := o.Manager.Admit(ctx, slot, key)
	if err != nil {
		return nil, err
	}
	return permit, nil
}
