package ibisnode

import (
	"context"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrequestrouter"
)

// ownership adapts the ownership manager to ibisrequestrouter.Ownership, whose permits are an interface type.
type ownership struct{ *ibisowner.Manager }

// AcquirePermit returns a permit to run a request for a key of the slot, or the error of ibisowner.Manager.AcquirePermit.
func (o ownership) AcquirePermit(ctx context.Context, slot ibisid.Slot, key string) (ibisrequestrouter.Permit, error) {
	permit, err := o.Manager.AcquirePermit(ctx, slot, key)
	if err != nil {
		return nil, err
	}
	return permit, nil
}
